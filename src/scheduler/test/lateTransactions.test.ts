import { describe, expect, it } from 'vitest';

import type { Transaction } from '../../services/table/common/table.js';
import {
  type Assignment,
  ledgerPrefix,
  ledgerRowSchema,
} from '../../services/workload/common/workRows.js';
import { CAPACITY, expectNoViolations, shard, startCell, submit } from './cellFixtures.js';
import { CELL, type VirtualCell } from './virtualCell.js';

const STEP_MS = 5;
const WORK_MS = 20_000;
/** Two tasks do not fit on one worker, so a second attempt goes to the other worker. */
const ONE_TASK_CAPACITY = { ...CAPACITY, processorMillis: 3_000 };

const assignmentsIn = (cell: VirtualCell): readonly Assignment[] =>
  cell.table
    .read({ keys: [], prefixes: [ledgerPrefix(CELL)] })
    .rows.flatMap((row) => ledgerRowSchema.parse(row.value).assignments);

/** True for the transaction that removes the first attempt from the ledger. */
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

describe('a transaction whose answer is lost and that commits late', () => {
  // A task is assigned, its worker becomes unreachable before the start arrives, and after the
  // lease the owner removes the assignment. The store is slow: the answer is lost, and the rows
  // read again still contain the assignment. The worker returns and gets the start based on these
  // rows. If the old transaction then committed and queued the next attempt, the task would run
  // twice.
  it('does not remove an assignment that has been started since', () => {
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
    expectNoViolations(cell);
  });
});
