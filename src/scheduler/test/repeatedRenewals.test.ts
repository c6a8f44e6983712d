import { describe, expect, it } from 'vitest';

import { expectNoViolations, shard, startCell, submit } from './cellFixtures.js';
import type { VirtualCell } from './virtualCell.js';

const LONG_MS = 600_000;
const LEASE_MS = 10_000;

/** A cell whose workers have received only renewals for some seconds. */
const cellWithRepeatedRenewals = (seed: number): VirtualCell => {
  const cell = startCell(seed);
  Array.from({ length: 8 }, (_, index) => submit(cell, shard(2, LONG_MS, `kitchen.${index}`)));
  cell.runFor(15_000);
  return cell;
};

const repeatingWorkerCount = (cell: VirtualCell): number =>
  [...(cell.owner()?.state.workers.values() ?? [])].filter(
    ({ repeatableRenewal }) => repeatableRenewal !== undefined,
  ).length;

describe('renewals that repeat the previous command', () => {
  // Batch tasks run on for minutes while nothing else happens in the cell.
  it('keep the leases of all running tasks', () => {
    const cell = cellWithRepeatedRenewals(1);
    expect(repeatingWorkerCount(cell)).toBeGreaterThan(0);
    cell.runFor(5 * LEASE_MS);
    expect(cell.judge.verdict()).toMatchObject({ lapsedCount: 0, startCount: 16 });
    expectNoViolations(cell);
  });

  // Computing each command again took four times the processor time in a cell of 123 workers.
  it('are not computed again, even for workers with batch tasks', () => {
    const cell = cellWithRepeatedRenewals(4);
    const renewals = () =>
      [...(cell.owner()?.state.workers.values() ?? [])].map(
        ({ repeatableRenewal }) => repeatableRenewal,
      );
    const before = renewals();
    cell.runFor(5_000);
    expect(before.some((renewal) => (renewal?.attempts.length ?? 0) > 0)).toBe(true);
    renewals().forEach((renewal, index) => expect(renewal).toBe(before[index]));
  });

  // A worker is drained while its commands only repeat renewals. Its tasks must be evicted at once.
  it('end as soon as a worker needs another command', () => {
    const cell = cellWithRepeatedRenewals(2);
    const busy = [...cell.workers.values()].filter(({ workerId, incarnation }) => {
      const view = cell.owner()?.state.workers.get(workerId);
      return view?.repeatableRenewal?.incarnation === incarnation;
    });
    const workerId = busy[0]?.workerId ?? '';
    const taskCount = cell.owner()?.state.workers.get(workerId)?.tasks.size ?? 0;
    cell.updateInstance(workerId, { state: 'leaving' });
    cell.runFor(2_000);
    expect(taskCount).toBeGreaterThan(0);
    expect(cell.judge.verdict().evictionCount).toBe(taskCount);
    expectNoViolations(cell);
  });

  // The worker restarts and has lost its tasks, so renewals to it would have no effect.
  it('end when the incarnation of the worker changes', () => {
    const cell = cellWithRepeatedRenewals(3);
    const view = [...(cell.owner()?.state.workers.values() ?? [])].find(
      ({ repeatableRenewal }) => repeatableRenewal,
    );
    cell.restartWorker(view?.instance.id ?? '');
    cell.runFor(10_000);
    expect(cell.judge.verdict().startCount).toBe(16 + (view?.tasks.size ?? 0));
    expectNoViolations(cell);
  });
});
