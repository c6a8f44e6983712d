import { describe, expect, it } from 'vitest';

import { TableStandIn } from '../../../../standIns/platform/tableStandIn.js';
import type { TableRow } from '../../table/common/table.js';
import {
  staleEndpointKeys,
  endpointReadRequest,
  NO_ENDPOINTS,
  WHOLE_ENDPOINT_PREFIXES,
  withEndpointRows,
} from '../common/endpointView.js';
import { arrivalsSince, nextInboxValue } from '../common/inbox.js';
import { cellInboxKey, endpointKey, endpointMarkKey } from '../common/workRows.js';

const KEY = cellInboxKey('zone-a');

class Inbox {
  readonly #table = new TableStandIn();

  #writeCount = 0;

  get row(): TableRow | undefined {
    return this.#table.read({ keys: [KEY], prefixes: [] }).rows[0];
  }

  get version(): number {
    return this.row?.version ?? 0;
  }

  write(value: unknown): void {
    this.#writeCount += 1;
    this.#table.transact({
      operationId: `w${this.#writeCount}`,
      conditions: [],
      writes: [{ key: KEY, value: value as never }],
    });
  }

  add(...keys: readonly string[]): void {
    this.write(nextInboxValue(this.row, 'submission', keys));
  }
}

describe("a cell's inbox", () => {
  it('lists the rows added since a version', () => {
    const inbox = new Inbox();
    inbox.add('work/zone-a/1');
    const knownVersion = inbox.version;
    inbox.add('work/zone-a/2', 'work/zone-a/3');
    inbox.add('work/zone-a/4');
    expect(arrivalsSince(inbox.row, knownVersion)).toEqual(
      [2, 3, 4].map((n) => `work/zone-a/${n}`),
    );
    expect(arrivalsSince(inbox.row, 0)?.length).toBe(4);
  });

  // Guards against an accepted job that waits forever. Between two submissions a writer that names
  // no rows (an older daemon, or an owner that moved a shard here) writes the inbox row. The list
  // of the second submission must not count as complete.
  it.each([{ operationId: 'older' }, { jobId: 'j' }, 7, { arrivals: 'of another form' }])(
    'reports no list across a write that names no rows: %j',
    (value) => {
      const inbox = new Inbox();
      inbox.add('work/zone-a/1');
      const knownVersion = inbox.version;
      inbox.add('work/zone-a/2');
      inbox.write(value);
      expect(arrivalsSince(inbox.row, knownVersion)).toBeUndefined();
      inbox.add('work/zone-a/3');
      expect(arrivalsSince(inbox.row, knownVersion)).toBeUndefined();
    },
  );

  it('stays small, and reports no list if rows are missing from it', () => {
    const inbox = new Inbox();
    Array.from({ length: 40 }, (_, index) => inbox.add(`work/zone-a/${index}`));
    expect(arrivalsSince(inbox.row, 0)).toBeUndefined();
    const knownVersion = inbox.version;
    inbox.add(...Array.from({ length: 500 }, (_, index) => `work/zone-a/of-wave-${index}`));
    expect(arrivalsSince(inbox.row, knownVersion)).toBeUndefined();
    expect(JSON.stringify(inbox.row).length).toBeLessThan(10_000);
  });
});

describe('the published backend servers', () => {
  const servers = (workerId: string) => ({
    servers: [{ serviceName: 's', workerId, taskId: 't' }],
  });
  const CELLS = ['zone-a', 'zone-b'];

  /** Creates a table and a writer that marks its changes if `isMarking`. */
  const createPublishedServers = () => {
    const table = new TableStandIn();
    const write = (cell: string, workerId: string, isMarking: boolean): void => {
      const row = { key: endpointKey(cell), value: servers(workerId) };
      const mark = { key: endpointMarkKey(cell), value: {} };
      const writes = isMarking ? [row, mark] : [row];
      table.transact({ operationId: 'w', conditions: [], writes });
    };
    return { table, write };
  };

  const workersIn = (view: typeof NO_ENDPOINTS) =>
    Object.fromEntries([...view.rows].map(([cell, row]) => [cell, row.servers[0]?.workerId]));

  it('are read only when their marks have changed', () => {
    const { table, write } = createPublishedServers();
    CELLS.forEach((cell) => write(cell, 'w1', true));
    const whole = table.read({ keys: [], prefixes: WHOLE_ENDPOINT_PREFIXES });
    const known = withEndpointRows(NO_ENDPOINTS, whole.rows);
    expect(endpointReadRequest(known, CELLS).keys).toEqual([]);
    write('zone-b', 'w2', true);
    const withNewMarks = withEndpointRows(
      known,
      table.read(endpointReadRequest(known, CELLS)).rows,
    );
    expect(withNewMarks.rows).toBe(known.rows);
    expect(staleEndpointKeys(withNewMarks)).toEqual([endpointKey('zone-b')]);
    const keys = staleEndpointKeys(withNewMarks);
    const read = withEndpointRows(withNewMarks, table.read({ keys, prefixes: [] }).rows);
    expect(workersIn(read)).toEqual({ 'zone-a': 'w1', 'zone-b': 'w2' });
    expect(staleEndpointKeys(read)).toEqual([]);
  });

  // During a rolling upgrade a cell may have an older owner, which writes no marks.
  it('are read each time if their writer sets no marks', () => {
    const { table, write } = createPublishedServers();
    write('zone-a', 'w1', false);
    let view = withEndpointRows(NO_ENDPOINTS, []);
    view = withEndpointRows(view, table.read(endpointReadRequest(view, CELLS)).rows);
    expect(workersIn(view)).toEqual({ 'zone-a': 'w1' });
    write('zone-a', 'w2', false);
    view = withEndpointRows(view, table.read(endpointReadRequest(view, CELLS)).rows);
    expect(workersIn(view)).toEqual({ 'zone-a': 'w2' });
    write('zone-a', 'w3', true);
    write('zone-a', 'w4', false);
    view = withEndpointRows(view, table.read(endpointReadRequest(view, CELLS)).rows);
    expect(workersIn(view)).toEqual({ 'zone-a': 'w4' });
    expect(endpointReadRequest(view, CELLS).keys).toContain(endpointKey('zone-a'));
  });

  it('do not revert to an older row', () => {
    const { table, write } = createPublishedServers();
    write('zone-a', 'w1', true);
    const older = table.read({ keys: [], prefixes: WHOLE_ENDPOINT_PREFIXES }).rows;
    write('zone-a', 'w2', true);
    const newer = table.read({ keys: [], prefixes: WHOLE_ENDPOINT_PREFIXES }).rows;
    const view = withEndpointRows(withEndpointRows(NO_ENDPOINTS, newer), older);
    expect(workersIn(view)).toEqual({ 'zone-a': 'w2' });
  });
});
