import { describe, expect, it } from 'vitest';

import { serviceKey, zoneKey } from '../../services/configuration/common/documents.js';
import {
  endpointRowSchema,
  ledgerPrefix,
  ledgerRowSchema,
} from '../../services/workload/common/workRows.js';
import { openShare } from '../common/zoneReturn.js';
import {
  expectNoViolations,
  setZone,
  shard,
  SIZE,
  startCells,
  submit,
  workRowsOf,
} from './cellFixtures.js';
import { GIBIBYTE, TEST_TIMING, type VirtualCell } from './virtualCell.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const RETURNING = 'zone-c';
const REPLICA_COUNT = 24;

const assignedIn = (cell: VirtualCell, zone: string): number =>
  cell.table
    .read({ keys: [], prefixes: [ledgerPrefix(zone)] })
    .rows.reduce((sum, { value }) => sum + ledgerRowSchema.parse(value).assignments.length, 0);

const servingCount = (cell: VirtualCell): number =>
  cell.table
    .read({ keys: [], prefixes: ['endpoints/'] })
    .rows.reduce((sum, { value }) => sum + endpointRowSchema.parse(value).servers.length, 0);

/** A service and much batch work in three zones. One of them has been withdrawn for a while. */
const startWithZoneOut = (seed: number): VirtualCell => {
  const cell = startCells(seed, ZONES);
  cell.writeRow(serviceKey('rounds'), {
    name: 'rounds',
    team: 'kitchen',
    replicaCount: REPLICA_COUNT,
    size: { ...SIZE, memoryBytes: GIBIBYTE },
    urgency: 'urgent',
  });
  cell.runFor(6_000);
  setZone(cell, 'withdrawn', RETURNING);
  cell.runFor(12_000);
  ZONES.slice(0, 2).forEach((zone) => {
    const row = shard(120, 120_000, `kitchen.plan-${zone}`);
    submit(cell, row, zone);
  });
  cell.runFor(8_000);
  return cell;
};

describe('a zone that returns to use', () => {
  // Its whole share of replicas and all work that waits in other zones used to start in it within
  // one or two seconds. If it is withdrawn again, as is likely shortly after a return, all of that
  // is evicted again. The zone has to fill gradually while every service keeps all its replicas.
  it.each([501, 502, 503])('fills gradually, seed %i', (seed) => {
    const cell = startWithZoneOut(seed);
    expect(servingCount(cell)).toBe(REPLICA_COUNT);
    setZone(cell, 'in-use', RETURNING);
    let maximumPerSecond = 0;
    for (let second = 0; second < 40; second += 1) {
      const before = assignedIn(cell, RETURNING);
      for (let part = 0; part < 10; part += 1) {
        cell.runFor(100);
        expect(servingCount(cell)).toBeGreaterThanOrEqual(REPLICA_COUNT);
      }
      maximumPerSecond = Math.max(maximumPerSecond, assignedIn(cell, RETURNING) - before);
    }
    // The zone has 48 places. When it opened at once, 40 of them were filled from 1 s to 2 s later.
    expect(maximumPerSecond).toBeLessThanOrEqual(24);
    expect(assignedIn(cell, RETURNING)).toBeGreaterThan(40);
    expectNoViolations(cell);
  });

  // Another zone is withdrawn during the return. Its tasks need room, so the gradual opening ends.
  it('opens its whole capacity at once when another zone leaves', () => {
    const cell = startWithZoneOut(504);
    setZone(cell, 'in-use', RETURNING);
    cell.runFor(2_000);
    expect(assignedIn(cell, RETURNING)).toBeLessThan(20);
    setZone(cell, 'withdrawn', 'zone-b');
    cell.runFor(6_000);
    expect(assignedIn(cell, RETURNING)).toBeGreaterThan(40);
    expectNoViolations(cell);
  });

  // An urgent job is submitted to the zone that has just returned.
  it('starts urgent work at once', () => {
    const cell = startWithZoneOut(505);
    setZone(cell, 'in-use', RETURNING);
    const urgent = { ...shard(30, 60_000, 'kitchen.urgent'), urgency: 'urgent' as const };
    submit(cell, urgent, RETURNING);
    cell.runFor(3_500);
    expect(assignedIn(cell, RETURNING)).toBeGreaterThanOrEqual(30);
    const tasks = workRowsOf(cell, 'work/').flatMap((row) => row.tasks);
    expect(tasks.filter(({ evictionCount }) => evictionCount > 0)).toEqual([]);
    expectNoViolations(cell);
  });

  // The two remaining zones have too little capacity for all replicas, so some are missing in every
  // zone. The returning zone starts these at once, because callers need them.
  it('starts replicas that no zone serves at once', () => {
    const cell = startCells(506, ZONES);
    setZone(cell, 'withdrawn', RETURNING);
    cell.writeRow(serviceKey('rounds'), {
      name: 'rounds',
      team: 'kitchen',
      replicaCount: 130,
      size: SIZE,
      urgency: 'urgent',
    });
    cell.runFor(12_000);
    expect(servingCount(cell)).toBe(96);
    setZone(cell, 'in-use', RETURNING);
    cell.runFor(4_500);
    expect(servingCount(cell)).toBe(130);
    cell.writeRow(zoneKey('zone-d'), { name: 'zone-d', region: 'r', state: 'withdrawn' });
    cell.runFor(1_000);
    expectNoViolations(cell);
  });

  it('opens linearly from an eighth to all of its capacity', () => {
    const share = (atMs: number): number => openShare(0, 16_000, atMs);
    expect([share(0), share(2_000), share(8_000), share(16_000)]).toEqual([0.125, 0.125, 0.5, 1]);
    expect(openShare(undefined, 16_000, 0)).toBe(1);
    expect(TEST_TIMING.zoneReturnMs).toBeGreaterThan(0);
  });
});
