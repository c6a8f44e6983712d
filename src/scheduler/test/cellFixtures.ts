/** Shared fixtures of the cell tests: work rows, zones and expectations. */
import { expect } from 'vitest';

import { zoneKey, type ZoneState } from '../../services/configuration/common/documents.js';
import type { Resources } from '../../services/worker/common/resources.js';
import { workKey, type WorkRow, workRowSchema } from '../../services/workload/common/workRows.js';
import { CELL, GIBIBYTE, VirtualCell, type VirtualCellOptions } from './virtualCell.js';

export const SIZE = { processorMillis: 2_000, memoryBytes: 2 * GIBIBYTE, acceleratorCount: 0 };
export const CAPACITY = {
  processorMillis: 32_000,
  memoryBytes: 125 * GIBIBYTE,
  acceleratorCount: 0,
};

export const shard = (
  taskCount: number,
  workMs: number,
  jobId = 'kitchen.plan',
  size: Resources = SIZE,
): WorkRow => ({
  shardId: `${jobId}~${CELL}`,
  jobId,
  team: 'kitchen',
  size,
  urgency: 'normal',
  workMs,
  tasks: Array.from({ length: taskCount }, (_, index) => ({
    index,
    state: 'queued',
    attempt: 1,
    checkpoint: null,
    evictionCount: 0,
    failureWeight: 0,
  })),
});

export const submit = (cell: VirtualCell, row: WorkRow, zone = CELL): void =>
  cell.writeRow(workKey(zone, row.shardId), row);

export const setZone = (cell: VirtualCell, state: ZoneState, zone = CELL): void => {
  cell.writeRow(zoneKey(zone), { name: zone, region: 'r', state });
  cell.judge.markZone(zone, state === 'withdrawn', cell.nowMs);
};

/** Several cells with one daemon and three workers each. All their zones are in use. */
export const startCells = (
  seed: number,
  zones: readonly string[],
  options: Partial<VirtualCellOptions> = {},
): VirtualCell => {
  const workerCount = 3 * zones.length;
  const cell = new VirtualCell({ seed, workerCount, capacity: CAPACITY, zones, ...options });
  zones.forEach((zone) => {
    setZone(cell, 'in-use', zone);
    cell.addDaemon(`d-${zone}`, zone);
  });
  return cell;
};

/** A cell with two daemons whose zone is in use. */
export const startCell = (seed: number, options: Partial<VirtualCellOptions> = {}): VirtualCell => {
  const cell = new VirtualCell({ seed, workerCount: 4, capacity: CAPACITY, ...options });
  setZone(cell, 'in-use');
  cell.addDaemon('d1');
  cell.addDaemon('d2');
  return cell;
};

/** The work rows in the table whose keys start with `prefix`. */
export const workRowsOf = (cell: VirtualCell, prefix: string): readonly WorkRow[] =>
  cell.table
    .read({ keys: [], prefixes: [prefix] })
    .rows.map((row) => workRowSchema.parse(row.value));

/**
 * Expects that no safety property was violated, and that no invariant check prevented a step except
 * the expected ones.
 */
export const expectNoViolations = (
  cell: VirtualCell,
  expectedInvariants: readonly string[] = [],
): void => {
  const verdict = cell.judge.verdict();
  expect(verdict.doubleRuns).toEqual([]);
  expect(verdict.doubleCompletions).toEqual([]);
  expect(verdict.overcommittedWorkers).toEqual([]);
  expect(verdict.lostCheckpoints).toEqual([]);
  expect(verdict.startsInWithdrawnZones).toBe(0);
  const broken = [...cell.counters.keys()].filter((name) => name.startsWith('invariant_'));
  expect(broken).toEqual(expectedInvariants);
};
