/** Removes assignments that have ended and queues again what has to run once more. */
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
import { isInContact, reportedTask, type WorkerView } from './workerView.js';

export const AssignmentEnd = {
  Finished: 'finished',
  Failed: 'failed',
  Evicted: 'evicted',
  /** The worker lost the task: its lease ran out, it restarted, or it is gone. */
  Lost: 'lost',
  /** The start message can no longer take effect. */
  NeverStarted: 'never-started',
} as const;
export type AssignmentEnd = (typeof AssignmentEnd)[keyof typeof AssignmentEnd];

/** An end with what it tells of the worker and the task. */
export interface RecordedEnd {
  readonly end: AssignmentEnd;
  readonly assignment: Assignment;
  /** What the task's failures weigh, this one included. */
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
 * Tells whether an assignment has surely ended. Giving a task to another worker while the first
 * may still run it would run it twice, so silence alone never ends an assignment: either the
 * worker says so, or its incarnation is gone, or its leases have surely run out on its clock.
 */
export const assignmentEnd = (
  state: CellState,
  view: WorkerView | undefined,
  assignment: Assignment,
  nowMs: number,
): AssignmentEnd | undefined => {
  // A worker that this owner has not reached may still run what a former owner gave it.
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
  // A worker that holds no lease because its first start has yet to be sent is not a lost one:
  // taking that start back while it is being sent ran tasks twice.
  if (!isInContact(view, state.timing.reportFreshnessMs, nowMs)) {
    // An owner that was paused itself has not listened: tasks that ended well inside their
    // leases would all run again. So the worker is asked once more after the leases have ended.
    const wasAskedAfterLeases =
      view.commandSentAtMs > view.leasesOverAtMs && !view.isCommandInFlight;
    return areLeasesOver && wasAskedAfterLeases ? AssignmentEnd.Lost : undefined;
  }
  // Not started yet. It is taken back only when it will not be started any more (the zone is
  // withdrawn, the job cancelled, the worker draining) and no start that was sent can still take
  // effect on the worker's clock. Without this it would hold its capacity for ever.
  const isUnwanted =
    state.withdrawnSinceMs !== undefined || isEvictionWanted(state, assignment, nowMs);
  const isStartExpired = report.workerNowMs > view.startsGoodUntilWorkerMs;
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

/** Puts the end of an assignment into the work row of its shard. */
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

/** One rack's assignments without those that have ended. */
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

/** Lists of assignments with the report in which none of them had ended. */
const reportsWithoutEnds = new WeakMap<readonly Assignment[], WorkerView['tasks']>();

/**
 * True when a worker's assignments were looked at before with the same report and nothing but
 * the time has passed, which ends nothing while the worker is in contact. Of a cell's 123
 * workers some twelve report between two rounds, and only these are looked at.
 */
const isUnchanged = (
  state: CellState,
  workerId: string,
  assignments: readonly Assignment[],
  nowMs: number,
): boolean => {
  const view = state.workers.get(workerId);
  if (view === undefined || !isInContact(view, state.timing.reportFreshnessMs, nowMs)) return false;
  if (state.withdrawnSinceMs !== undefined || isWorkerDraining(state, workerId)) return false;
  // What is not wanted any more ends an assignment that never started, without any new report.
  const mayBeUnwanted =
    (state.rows?.cancelledJobIds.size ?? 0) + state.preempted.size + state.surplusTaskIds.size > 0;
  if (!mayBeUnwanted && reportsWithoutEnds.get(assignments) === view.tasks) return true;
  const hasEnd = assignments.some(
    (assignment) => assignmentEnd(state, view, assignment, nowMs) !== undefined,
  );
  if (!hasEnd) reportsWithoutEnds.set(assignments, view.tasks);
  return !hasEnd;
};

/** Records all ends that are certain by now and returns them for the counters. */
export const recordEnds = (
  state: CellState,
  rows: CellRows,
  draft: CellDraft,
  nowMs: number,
): readonly RecordedEnd[] => {
  const workerIdsToCheck = new Set(
    [...rows.assignmentsByWorker]
      .filter(([workerId, assignments]) => !isUnchanged(state, workerId, assignments, nowMs))
      .map(([workerId]) => workerId),
  );
  if (workerIdsToCheck.size === 0) return [];
  return draft.racks.flatMap((rack) =>
    draft.rowCount >= state.timing.maximumRowsPerRound
      ? []
      : recordRackEnds(state, draft, rack, workerIdsToCheck, nowMs),
  );
};
