/** Records finishes that a worker reports after the scheduler has given up the attempt. */
import { TaskClass, WorkerTaskState } from '../../services/worker/common/workerClient.js';
import {
  type Assignment,
  batchTaskId,
  BatchTaskState,
  isEnded,
  type WorkRow,
} from '../../services/workload/common/workRows.js';
import type { CellDraft } from './cellDraft.js';
import { assignmentsOf, type CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import { attemptKey, type WorkerView } from './workerView.js';

interface LateFinish {
  readonly row: WorkRow;
  readonly taskIndex: number;
}

/** Task ids of attempts that the worker reports as finished and the ledger no longer holds. */
const finishedOutsideLedger = (view: WorkerView, rows: CellRows): readonly string[] => {
  const finished = [...view.tasks.values()].filter(
    ({ state }) => state === WorkerTaskState.Finished,
  );
  if (finished.length === 0) return [];
  const ledgerKeys = new Set(assignmentsOf(rows, view.instance.id).map(attemptKey));
  return finished.filter((task) => !ledgerKeys.has(attemptKey(task))).map(({ taskId }) => taskId);
};

const findOpenTask = (rows: readonly WorkRow[], taskId: string): LateFinish | undefined =>
  rows
    .filter((row) => taskId.startsWith(`${row.jobId}/`))
    .flatMap((row) =>
      row.tasks
        .filter((task) => batchTaskId(row.jobId, task.index) === taskId && !isEnded(task))
        .map(({ index }) => ({ row, taskIndex: index })),
    )[0];

/**
 * Task ids whose late finish is not recorded yet; the worker must keep reporting them until then.
 */
export const unrecordedFinishes = (rows: CellRows, view: WorkerView): ReadonlySet<string> =>
  new Set(
    finishedOutsideLedger(view, rows).filter(
      (taskId) => findOpenTask([...rows.work.values()], taskId) !== undefined,
    ),
  );

/**
 * Records finishes that arrive late. A worker that was cut off may have finished a task before the
 * task's lease ended. The owner received no report, gave up the attempt and queued the task again.
 * If the worker's report arrives while the task is still open, the finish counts: the task is
 * marked done, and its next attempt, if it runs, is removed from the ledger and stopped as a task
 * without an assignment. Otherwise the task would be completed twice.
 */
export const recordLateFinishes = (state: CellState, rows: CellRows, draft: CellDraft): void => {
  state.workers.forEach((view) => {
    finishedOutsideLedger(view, rows).forEach((taskId) => {
      const workRows = draft.shardIds
        .map((shardId) => draft.work(shardId))
        .filter((row): row is WorkRow => row !== undefined);
      const late = findOpenTask(workRows, taskId);
      if (late === undefined || draft.rowCount >= state.timing.maximumRowsPerRound) return;
      const tasks = late.row.tasks.map((task) =>
        task.index === late.taskIndex ? { ...task, state: BatchTaskState.Done } : task,
      );
      draft.setWork({ ...late.row, tasks });
      const isNextAttempt = (one: Assignment): boolean =>
        one.taskClass === TaskClass.Batch && one.taskId === taskId;
      draft.racks
        .filter((rack) => draft.assignments(rack).some(isNextAttempt))
        .forEach((rack) =>
          draft.setAssignments(
            rack,
            draft.assignments(rack).filter((one) => !isNextAttempt(one)),
          ),
        );
    });
  });
};
