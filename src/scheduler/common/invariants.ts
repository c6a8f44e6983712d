/**
 * What must hold of everything that a cell's owner writes or sends, checked on the outcome and
 * whatever the deciding code came to. A step that breaks one is not taken and is counted.
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

/** How a round changes the ledger: attempts it adds and attempts it takes away. */
export interface LedgerChange {
  readonly gained: readonly Assignment[];
  readonly dropped: readonly Assignment[];
}

/**
 * Assignments that a round leaves alone are the same objects before and after. Of the 160 of a rack
 * few change, and making keys of all, three times a round, was a sixth of deciding.
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
 * Only workers that gain a task are looked at: one whose capacity has shrunk below what runs on
 * it is beyond help by this round, and refusing all rounds for it stopped the whole cell.
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

/** No task stands in the ledger twice, under whatever attempt numbers. */
const isAssignedTwice = (rows: CellRows, change: LedgerChange): boolean => {
  const dropped = new Set(change.dropped.map(attemptKey));
  const gainedIds = new Set(change.gained.map(({ taskId }) => taskId));
  if (gainedIds.size < change.gained.length) return true;
  return [...rows.assignmentsByWorker.values()].some((assignments) =>
    assignments.some((one) => gainedIds.has(one.taskId) && !dropped.has(attemptKey(one))),
  );
};

/** A task's record only goes forward, and no checkpoint is lost on the way. */
const isRegression = (before: BatchTask, after: BatchTask): boolean => {
  if (isEnded(before)) return after.state !== before.state;
  if (after.attempt < before.attempt) return true;
  const isRequeued =
    before.state === BatchTaskState.Assigned && after.state === BatchTaskState.Queued;
  // The next attempt has to be told from the one before, or a late message starts that again.
  if (isRequeued && after.attempt === before.attempt) return true;
  return before.checkpoint !== null && after.checkpoint === null;
};

/** A task may leave its shard only for one that the same transaction hands over as it was. */
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

/** Each end of a batch assignment is recorded in its work row by the same transaction. */
const isEndUnrecorded = (draft: CellDraft, dropped: Assignment): boolean => {
  const task = draft.work(dropped.shardId)?.tasks.find(({ index }) => index === dropped.taskIndex);
  return task?.state === BatchTaskState.Assigned && task.attempt === dropped.attempt;
};

/** Each start of a batch task continues the attempt and the checkpoint that its row names. */
const isStartMismatched = (draft: CellDraft, gained: Assignment): boolean => {
  if (gained.shardId === '') return false;
  const task = draft.work(gained.shardId)?.tasks.find(({ index }) => index === gained.taskIndex);
  return (
    task?.state !== BatchTaskState.Assigned ||
    task.attempt !== gained.attempt ||
    task.checkpoint !== gained.checkpoint
  );
};

/** The invariants that a round would break; none of its changes may then be written. */
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

/** The invariants that the starts of a message would break; it is then sent without starts. */
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
