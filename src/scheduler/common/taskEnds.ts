/** Removes ended assignments from the ledger and queues the tasks that have to run again. */
import {
  WorkerTaskState,
  type WorkerTaskReport,
} from '../../services/worker/common/workerClient.js';
import {
  type Assignment,
  type BatchTask,
  BatchTaskState,
} from '../../services/workload/common/workRows.js';
import type { CellDraft } from './cellDraft.js';
import type { CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import { isGivenUp, withFailureWeight } from './failureWeight.js';
import { isEvictionWanted, isWorkerDraining } from './wantedEvictions.js';
import { formerLeasesOverAtMs } from './unreachedWorkers.js';
import { hasRecentReport, reportedTask, type WorkerView } from './workerView.js';

export const AssignmentEnd = {
  Finished: 'finished',
  Failed: 'failed',
  Evicted: 'evicted',
  /** The worker lost the task: its lease ended, or the worker restarted or is gone. */
  Lost: 'lost',
  /** The task never started, and the start message can no longer take effect. */
  NeverStarted: 'never-started',
} as const;
export type AssignmentEnd = (typeof AssignmentEnd)[keyof typeof AssignmentEnd];

/** The end of an assignment, for updating the health of its worker and the backoff of its task. */
export interface RecordedEnd {
  readonly end: AssignmentEnd;
  readonly assignment: Assignment;
  /** The task's failure weight, including this end if it is a failure. */
  readonly failureWeight: number;
}

const ENDS_BY_REPORT: Readonly<Record<WorkerTaskState, AssignmentEnd | undefined>> = {
  [WorkerTaskState.Running]: undefined,
  [WorkerTaskState.Finished]: AssignmentEnd.Finished,
  [WorkerTaskState.Failed]: AssignmentEnd.Failed,
  [WorkerTaskState.Evicted]: AssignmentEnd.Evicted,
  [WorkerTaskState.Lapsed]: AssignmentEnd.Lost,
};

/**
 * How the assignment has certainly ended; undefined if it may still run. If a task went to another
 * worker while the first may still run it, it would run twice. Silence alone therefore never ends
 * an assignment: the worker reports the end, or the worker's incarnation is gone, or the worker's
 * leases have certainly ended.
 */
export const assignmentEnd = (
  state: CellState,
  view: WorkerView | undefined,
  assignment: Assignment,
  nowMs: number,
): AssignmentEnd | undefined => {
  // A worker that this owner has not reached may still run tasks that a former owner started.
  if (view?.report === undefined) {
    return nowMs > formerLeasesOverAtMs(state, state.rows, assignment.workerId)
      ? AssignmentEnd.Lost
      : undefined;
  }
  const { report } = view;
  const areLeasesOver = nowMs > view.leasesOverAtMs;
  if (report.incarnation !== assignment.incarnation) return AssignmentEnd.Lost;
  const task = reportedTask(view, assignment);
  const reportedEnd = task === undefined ? undefined : ENDS_BY_REPORT[task.state];
  if (reportedEnd !== undefined) return reportedEnd;
  // A worker that holds no lease because its first start message is not sent yet is not lost.
  // Taking the start back while it is being sent ran tasks twice.
  if (!hasRecentReport(view, state.timing.reportFreshnessMs, nowMs)) {
    // An owner that was paused has received no reports, so tasks that ended well within their
    // leases would all run again. The worker is therefore asked once more after its leases have
    // ended.
    const wasAskedAfterLeases =
      view.commandSentAtMs > view.leasesOverAtMs && !view.isCommandInFlight;
    return areLeasesOver && wasAskedAfterLeases ? AssignmentEnd.Lost : undefined;
  }
  // The task has not started. It is taken back only if it is no longer wanted (the zone is
  // withdrawn, the job cancelled or the worker draining) and no start that was sent can still take
  // effect by the worker's clock. Otherwise the assignment would hold its capacity forever.
  const isUnwanted =
    state.withdrawnSinceMs !== undefined || isEvictionWanted(state, assignment, nowMs);
  const isStartExpired = report.workerNowMs > view.startsValidUntilWorkerMs;
  return task === undefined && isUnwanted && isStartExpired
    ? AssignmentEnd.NeverStarted
    : undefined;
};

const endedTask = (
  task: BatchTask,
  end: AssignmentEnd,
  report: WorkerTaskReport | undefined,
  isCredible: boolean,
): BatchTask => {
  const checkpoint = report?.checkpoint ?? task.checkpoint;
  const nextAttempt = { ...task, checkpoint, attempt: task.attempt + 1 };
  switch (end) {
    case AssignmentEnd.Finished:
      return { ...task, state: BatchTaskState.Done };
    case AssignmentEnd.Evicted:
      return {
        ...nextAttempt,
        state: BatchTaskState.Queued,
        evictionCount: task.evictionCount + 1,
      };
    case AssignmentEnd.Failed: {
      const failureWeight = withFailureWeight(task.failureWeight, isCredible);
      const taskState = isGivenUp(failureWeight) ? BatchTaskState.Failed : BatchTaskState.Queued;
      return { ...nextAttempt, state: taskState, failureWeight };
    }
    default:
      return { ...nextAttempt, state: BatchTaskState.Queued };
  }
};

/** Records the end of an assignment in the work row of its shard. */
const recordBatchEnd = (
  draft: CellDraft,
  assignment: Assignment,
  end: AssignmentEnd,
  report: WorkerTaskReport | undefined,
  isCredible: boolean,
): void => {
  const row = draft.work(assignment.shardId);
  if (row === undefined) return;
  const isCancelled = draft.cancelledJobIds.has(row.jobId);
  const tasks = row.tasks.map((task) => {
    if (task.index !== assignment.taskIndex || task.attempt !== assignment.attempt) return task;
    const ended = endedTask(task, end, report, isCredible);
    const isCancelledWhileQueued = isCancelled && ended.state === BatchTaskState.Queued;
    return isCancelledWhileQueued ? { ...ended, state: BatchTaskState.Cancelled } : ended;
  });
  draft.setWork({ ...row, tasks });
};

/** Removes a rack's ended assignments from the ledger and returns their ends. */
const recordRackEnds = (
  state: CellState,
  draft: CellDraft,
  rack: string,
  workerIdsToCheck: ReadonlySet<string>,
  nowMs: number,
): readonly RecordedEnd[] => {
  const ends: RecordedEnd[] = [];
  const remaining = draft.assignments(rack).filter((assignment) => {
    if (!workerIdsToCheck.has(assignment.workerId)) return true;
    const view = state.workers.get(assignment.workerId);
    const end = assignmentEnd(state, view, assignment, nowMs);
    if (end === undefined) return true;
    const task = draft
      .work(assignment.shardId)
      ?.tasks.find(({ index }) => index === assignment.taskIndex);
    const isCredible = state.workerHealth.isCredible(assignment.workerId, assignment.shardId);
    const failureWeight = withFailureWeight(task?.failureWeight ?? 0, isCredible);
    ends.push({ end, assignment, failureWeight });
    const report = view === undefined ? undefined : reportedTask(view, assignment);
    if (assignment.shardId !== '') recordBatchEnd(draft, assignment, end, report, isCredible);
    return false;
  });
  if (ends.length > 0) draft.setAssignments(rack, remaining);
  return ends;
};

/**
 * For each list of assignments, the reported tasks with which none of the assignments had ended.
 */
const reportsWithoutEnds = new WeakMap<readonly Assignment[], WorkerView['tasks']>();

/**
 * Whether none of the worker's assignments has ended. The result is kept for the same assignments
 * and the same report, because the passing of time alone ends no assignment while the worker is in
 * contact. About twelve of a cell's 123 workers report between two rounds, and only these are
 * checked.
 */
const hasNoEnd = (
  state: CellState,
  workerId: string,
  assignments: readonly Assignment[],
  nowMs: number,
): boolean => {
  const view = state.workers.get(workerId);
  if (view === undefined || !hasRecentReport(view, state.timing.reportFreshnessMs, nowMs))
    return false;
  if (state.withdrawnSinceMs !== undefined || isWorkerDraining(state, workerId)) return false;
  // An assignment that never started ends when it is no longer wanted, even without a new report.
  const mayBeUnwanted =
    (state.rows?.cancelledJobIds.size ?? 0) + state.preempted.size + state.surplusTaskIds.size > 0;
  if (!mayBeUnwanted && reportsWithoutEnds.get(assignments) === view.tasks) return true;
  const hasEnd = assignments.some(
    (assignment) => assignmentEnd(state, view, assignment, nowMs) !== undefined,
  );
  if (!hasEnd) reportsWithoutEnds.set(assignments, view.tasks);
  return !hasEnd;
};

/** Records all assignment ends that are certain by now, and returns them for the counters. */
export const recordEnds = (
  state: CellState,
  rows: CellRows,
  draft: CellDraft,
  nowMs: number,
): readonly RecordedEnd[] => {
  const workerIdsToCheck = new Set(
    [...rows.assignmentsByWorker]
      .filter(([workerId, assignments]) => !hasNoEnd(state, workerId, assignments, nowMs))
      .map(([workerId]) => workerId),
  );
  if (workerIdsToCheck.size === 0) return [];
  return draft.racks.flatMap((rack) =>
    draft.rowCount >= state.timing.maximumRowsPerRound
      ? []
      : recordRackEnds(state, draft, rack, workerIdsToCheck, nowMs),
  );
};
