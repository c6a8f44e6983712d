import { describe, expect, it } from 'vitest';

import type { Transaction } from '../../services/table/common/table.js';
import {
  type Assignment,
  ledgerPrefix,
  ledgerRowSchema,
} from '../../services/workload/common/workRows.js';
import { CAPACITY, expectNoHarm, shard, startCell, submit } from './cellFixtures.js';
import { CELL, type VirtualCell } from './virtualCell.js';

const STEP_MS = 5;
const WORK_MS = 20_000;
/** Two tasks never fit onto one worker, so a second attempt goes to the other one. */
const ONE_TASK_CAPACITY = { ...CAPACITY, processorMillis: 3_000 };

const assignmentsIn = (cell: VirtualCell): readonly Assignment[] =>
  cell.table
    .read({ keys: [], prefixes: [ledgerPrefix(CELL)] })
    .rows.flatMap((row) => ledgerRowSchema.parse(row.value).assignments);

/** True for the transaction that takes the first attempt back. */
const takesAssignmentBack = (transaction: Transaction): boolean =>
  transaction.writes.some(
    ({ key, value }) =>
      key.startsWith(ledgerPrefix(CELL)) &&
      !ledgerRowSchema.parse(value).assignments.some(({ attempt }) => attempt === 1),
  );

const runUntil = (cell: VirtualCell, isReached: () => boolean): void => {
  for (let step = 0; step < 20_000 && !isReached(); step += 1) cell.runFor(STEP_MS);
  expect(isReached()).toBe(true);
};

describe('a transaction whose answer was lost and that lands late', () => {
  // A task is assigned, its worker is cut off before the start arrives, and after the lease the
  // owner takes the assignment back. The store is slow: the answer is lost, and the rows read
  // again still show the assignment. The worker returns and is sent the start from these rows.
  // Now the old transaction lands and queues the next attempt: the task would run twice.
  it('does not take back an assignment that has been started since', () => {
    const cell = startCell(21, { workerCount: 2, capacity: ONE_TASK_CAPACITY });
    cell.runFor(3_000);
    submit(cell, shard(1, WORK_MS));
    runUntil(cell, () => assignmentsIn(cell).length === 1);
    const workerId = assignmentsIn(cell)[0]?.workerId ?? '';
    cell.unreachableWorkers.add(workerId);
    cell.shouldDelayTransaction = takesAssignmentBack;
    runUntil(cell, () => cell.delayedTransactions.length > 0);
    cell.unreachableWorkers.delete(workerId);
    runUntil(cell, () => cell.judge.verdict().startCount > 0);
    cell.shouldDelayTransaction = undefined;
    cell.releaseDelayedTransactions();
    cell.runFor(3 * WORK_MS);
    expect(cell.judge.verdict().completedBatchCount).toBe(1);
    expect(cell.judge.verdict().startCount).toBe(1);
    expectNoHarm(cell);
  });
});
