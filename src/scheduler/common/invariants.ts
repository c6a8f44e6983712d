/**
 * Invariants of everything that a cell's owner writes or sends. They are checked on the resulting
 * changes and commands, independently of the code that decided them. A step that breaks an
 * invariant is not taken, and a counter is incremented.
 */
import { fitsInto, sumResources } from '../../services/worker/common/resources.js';
import type { WorkerCommand } from '../../services/worker/common/workerClient.js';
import {
  type Assignment,
  type BatchTask,
  BatchTaskState,
  isEnded,
  type WorkRow,
} from '../../services/workload/common/workRows.js';
import type { CellDraft } from './cellDraft.js';
import { assignmentsOf, type CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import { isQuotaExceeded } from './quotaRound.js';
import { attemptKey } from './workerView.js';

export const Invariant = {
  Overcommitted: 'invariant_overcommitted',
  DoubleAssignment: 'invariant_double_assignment',
  Resumption: 'invariant_resumption',
  WithdrawnZone: 'invariant_withdrawn_zone',
  UncommittedStart: 'invariant_uncommitted_start',
  QuotaExceeded: 'invariant_quota_exceeded',
} as const;
export type Invariant = (typeof Invariant)[keyof typeof Invariant];

/** The attempts that a round adds to the ledger and removes from it. */
export interface LedgerChange {
  readonly gained: readonly Assignment[];
  readonly dropped: readonly Assignment[];
}

/**
 * Compares by object identity, because assignments that a round does not change stay the same
 * objects. A rack has 160 assignments and few change. Building keys for all of them three times a
 * round took a sixth of the decision time.
 */
const missingFrom = (
  list: readonly Assignment[],
  other: ReadonlySet<Assignment>,
): readonly Assignment[] => list.filter((assignment) => !other.has(assignment));

export const ledgerChange = (rows: CellRows, draft: CellDraft): LedgerChange => {
  const before = draft.changedRacks.flatMap((rack) => rows.ledger.get(rack)?.assignments ?? []);
  const after = draft.changedRacks.flatMap((rack) => draft.assignments(rack));
  const gained = missingFrom(after, new Set(before));
  const dropped = missingFrom(before, new Set(after));
  const keysGained = new Set(gained.map(attemptKey));
  const keysDropped = new Set(dropped.map(attemptKey));
  return {
    gained: gained.filter((assignment) => !keysDropped.has(attemptKey(assignment))),
    dropped: dropped.filter((assignment) => !keysGained.has(attemptKey(assignment))),
  };
};

/**
 * Checks only workers that gain a task. A round cannot help a worker whose capacity has shrunk
 * below its usage, and refusing every round because of it stopped the whole cell.
 */
const isOvercommitted = (state: CellState, rows: CellRows, change: LedgerChange): boolean => {
  const dropped = new Set(change.dropped.map(attemptKey));
  const workerIds = new Set(change.gained.map(({ workerId }) => workerId));
  return [...workerIds].some((workerId) => {
    const kept = assignmentsOf(rows, workerId).filter((one) => !dropped.has(attemptKey(one)));
    const gained = change.gained.filter((one) => one.workerId === workerId);
    const capacity = state.workers.get(workerId)?.instance.capacity;
    const used = sumResources([...kept, ...gained].map(({ size }) => size));
    return capacity === undefined || !fitsInto(used, capacity);
  });
};

/** True if a task would be in the ledger twice, under any attempt numbers. */
const isAssignedTwice = (rows: CellRows, change: LedgerChange): boolean => {
  const dropped = new Set(change.dropped.map(attemptKey));
  const gainedIds = new Set(change.gained.map(({ taskId }) => taskId));
  if (gainedIds.size < change.gained.length) return true;
  return [...rows.assignmentsByWorker.values()].some((assignments) =>
    assignments.some((one) => gainedIds.has(one.taskId) && !dropped.has(attemptKey(one))),
  );
};

/** True if a task's record would go back to an earlier state or lose its checkpoint. */
const isRegression = (before: BatchTask, after: BatchTask): boolean => {
  if (isEnded(before)) return after.state !== before.state;
  if (after.attempt < before.attempt) return true;
  const isRequeued =
    before.state === BatchTaskState.Assigned && after.state === BatchTaskState.Queued;
  // A requeued task needs a new attempt number. Otherwise a late message could start the old
  // attempt again.
  if (isRequeued && after.attempt === before.attempt) return true;
  return before.checkpoint !== null && after.checkpoint === null;
};

/**
 * True if a task of the shard regresses, is lost or is duplicated. A task may leave the shard only
 * by a split of the same transaction, which keeps its record.
 */
const hasRegression = (
  before: WorkRow | undefined,
  after: WorkRow | undefined,
  splitTasks: readonly BatchTask[],
): boolean => {
  if (before === undefined || after === undefined) return false;
  const kept = new Map(after.tasks.map((task) => [task.index, task]));
  const split = new Map(splitTasks.map((task) => [task.index, task]));
  const isDuplicated = splitTasks.some(({ index }) => kept.has(index));
  const isCountWrong = kept.size + split.size !== before.tasks.length;
  return (
    isDuplicated ||
    isCountWrong ||
    before.tasks.some((task) => {
      const next = kept.get(task.index) ?? split.get(task.index);
      return next === undefined || isRegression(task, next);
    })
  );
};

/** True if a batch assignment is dropped without its end being recorded in the work row. */
const isEndUnrecorded = (draft: CellDraft, dropped: Assignment): boolean => {
  const task = draft.work(dropped.shardId)?.tasks.find(({ index }) => index === dropped.taskIndex);
  return task?.state === BatchTaskState.Assigned && task.attempt === dropped.attempt;
};

/**
 * True if a new batch assignment has another attempt or checkpoint than its task in the work row.
 */
const isStartMismatched = (draft: CellDraft, gained: Assignment): boolean => {
  if (gained.shardId === '') return false;
  const task = draft.work(gained.shardId)?.tasks.find(({ index }) => index === gained.taskIndex);
  return (
    task?.state !== BatchTaskState.Assigned ||
    task.attempt !== gained.attempt ||
    task.checkpoint !== gained.checkpoint
  );
};

/**
 * The invariants that a round would break. If there are any, none of its changes may be written.
 */
export const brokenByRound = (
  state: CellState,
  rows: CellRows,
  draft: CellDraft,
  isAssigningAllowed: boolean,
): readonly Invariant[] => {
  const change = ledgerChange(rows, draft);
  const isResumptionBroken =
    draft.changedShardIds.some((id) =>
      hasRegression(rows.work.get(id), draft.work(id), draft.splitTasks(id)),
    ) ||
    change.dropped.some((one) => isEndUnrecorded(draft, one)) ||
    change.gained.some((one) => isStartMismatched(draft, one));
  const isAssigningForbidden = change.gained.length > 0 && !isAssigningAllowed;
  return [
    ...(isOvercommitted(state, rows, change) ? [Invariant.Overcommitted] : []),
    ...(isAssignedTwice(rows, change) ? [Invariant.DoubleAssignment] : []),
    ...(isResumptionBroken ? [Invariant.Resumption] : []),
    ...(isAssigningForbidden ? [Invariant.WithdrawnZone] : []),
    ...(isQuotaExceeded(state, rows, draft, change.gained) ? [Invariant.QuotaExceeded] : []),
  ];
};

/**
 * The invariants that the starts of a command would break. If there are any, it is sent without
 * starts.
 */
export const brokenByStarts = (
  state: CellState,
  workerId: string,
  command: WorkerCommand,
  isStartingAllowed: boolean,
): readonly Invariant[] => {
  if (command.starts.length === 0) return [];
  const { rows, pending } = state;
  const committed = rows === undefined ? [] : assignmentsOf(rows, workerId);
  const keys = new Set(
    committed
      .filter(({ incarnation }) => incarnation === command.incarnation)
      .map(attemptKey)
      .filter((key) => pending?.kind !== 'commit' || !pending.droppedAttempts.has(key)),
  );
  const isUncommitted = command.starts.some((start) => !keys.has(attemptKey(start)));
  return [
    ...(isUncommitted ? [Invariant.UncommittedStart] : []),
    ...(isStartingAllowed ? [] : [Invariant.WithdrawnZone]),
  ];
};
