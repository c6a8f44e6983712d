import { describe, expect, it } from 'vitest';

import { serviceKey } from '../../services/configuration/common/documents.js';
import { endpointKey, type EndpointRow } from '../../services/workload/common/workRows.js';
import { expectNoViolations, shard, SIZE, startCell, submit } from './cellFixtures.js';
import { CELL } from './virtualCell.js';

describe('a new owner of a cell', () => {
  it('keeps endpoints published whose workers have not reported to it yet', () => {
    const cell = startCell(2, { workerCount: 12 });
    const service = { name: 'rounds', team: 'kitchen', replicaCount: 24, size: SIZE };
    cell.writeRow(serviceKey('rounds'), { ...service, urgency: 'urgent' });
    cell.runFor(20_000);
    const published = (): number => {
      const [row] = cell.table.read({ keys: [endpointKey(CELL)], prefixes: [] }).rows;
      return (row?.value as unknown as EndpointRow).servers.length;
    };
    expect(published()).toBe(24);
    Object.assign(cell.owner() ?? {}, { isAlive: false });
    let minimumPublished = published();
    for (let tick = 0; tick < 400; tick += 1) {
      cell.runFor(25);
      minimumPublished = Math.min(minimumPublished, published());
    }
    expect(minimumPublished).toBe(24);
  });

  it('removes the endpoints of a worker that answers no owner for a whole lease', () => {
    const cell = startCell(2, { workerCount: 12 });
    const service = { name: 'rounds', team: 'kitchen', replicaCount: 24, size: SIZE };
    cell.writeRow(serviceKey('rounds'), { ...service, urgency: 'urgent' });
    cell.runFor(20_000);
    const publishedOnW0 = (): number => {
      const [row] = cell.table.read({ keys: [endpointKey(CELL)], prefixes: [] }).rows;
      const { servers } = row?.value as unknown as EndpointRow;
      return servers.filter(({ workerId }) => workerId === 'w0').length;
    };
    expect(publishedOnW0()).toBeGreaterThan(0);
    cell.unreachableWorkers.add('w0');
    Object.assign(cell.owner() ?? {}, { isAlive: false });
    cell.runFor(5_000 + cell.timing.workerLeaseMs);
    expect(publishedOnW0()).toBe(0);
  });

  it('does not wait again for a lost worker after each change of owner', () => {
    const cell = startCell(2);
    for (let index = 0; index < 10; index += 1) cell.addDaemon(`e${index}`);
    submit(cell, shard(48, 30_000));
    cell.runFor(4_000);
    cell.unreachableWorkers.add('w0');
    cell.updateInstance('w0', null);
    for (let round = 0; round < 8; round += 1) {
      Object.assign(cell.owner() ?? {}, { isAlive: false });
      cell.runFor(30_000);
    }
    expect(cell.judge.verdict().completedBatchCount).toBe(48);
    expectNoViolations(cell);
  });
});
