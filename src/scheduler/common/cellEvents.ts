/** Takes an event into the state of a cell, without saying yet what follows from it. */
import { type Either, isLeft } from 'fp-ts/lib/Either.js';

import { isZoneInUse } from '../../services/configuration/common/configurationView.js';
import type { Failure } from '../../services/errors/common/errorKinds.js';
import type { WorkerInstance } from '../../services/instanceList/common/instanceList.js';
import {
  type ReadResult,
  TransactionOutcome,
  type TransactionResult,
} from '../../services/table/common/table.js';
import {
  TaskClass,
  type WorkerReport,
  WorkerTaskState,
} from '../../services/worker/common/workerClient.js';
import {
  type LeaseStepKind,
  withLeaseCallFailed,
  withLeaseCommitted,
  withLeaseLost,
  withLeaseRows,
} from './cellLease.js';
import { publishedDivision, withLoaded } from './cellReads.js';
import { assignmentsOf } from './cellRows.js';
import type {
  CellDecision,
  CellEffect,
  CellEvent,
  CellState,
  ConfirmedConfiguration,
} from './cellState.js';
import { needsFence } from './fence.js';
import { NO_HAND_ON } from './handOn.js';
import { LearntSizes } from './learntSizes.js';
import { initialInterference, withPendingSamples } from './interference/interferenceState.js';
import { unrecordedFinishes } from './lateFinishes.js';
import { mayAssign } from './round.js';
import { withAllStale, withNewRows, withRowsInDoubt } from './staleness.js';
import { WorkerHealth } from './workerHealth.js';
import {
  attemptKey,
  presumedLeaseEndMs,
  unreachedWorker,
  withReport,
  type WorkerView,
} from './workerView.js';
import { returnedAtMs } from './zoneReturn.js';

export const unchanged = (state: CellState): CellDecision => ({ state, effects: [] });

export const counted = (counter: string, amount = 1): CellEffect => ({
  kind: 'count',
  counter,
  amount,
});

const withInstances = (state: CellState, workers: readonly WorkerInstance[]): CellState => {
  const listed = new Map(
    workers
      .filter(({ availabilityZone }) => availabilityZone === state.cell)
      .map((instance) => [instance.id, instance]),
  );
  // A worker that left the list keeps its view, for its tasks may still run; it takes no new
  // ones, and is forgotten once nothing is assigned to it any more.
  const unlisted = [...state.workers]
    .filter(([id]) => !listed.has(id))
    .filter(([id]) => state.rows === undefined || state.rows.assignmentsByWorker.has(id))
    .map(([id, view]): [string, WorkerView] => [id, { ...view, isListed: false }]);
  const views = [...listed].map(([id, instance]): [string, WorkerView] => {
    const known = state.workers.get(id) ?? unreachedWorker(instance, presumedLeaseEndMs(state));
    return [id, { ...known, instance, isListed: true }];
  });
  return withAllStale({ ...state, workers: new Map([...unlisted, ...views]) });
};

/**
 * Invariant: the configuration never goes back. A zone that was withdrawn in a later version
 * would otherwise be started in again by a reader that got an old answer.
 */
const withConfiguration = (
  state: CellState,
  configuration: ConfirmedConfiguration,
  nowMs: number,
): CellDecision => {
  const before = state.configuration;
  if (before !== undefined && configuration.view.version < before.view.version) {
    return { state, effects: [counted('invariant_configuration_reverted')] };
  }
  const isInUse = isZoneInUse(configuration.view, state.cell);
  const next = {
    ...state,
    configuration,
    withdrawnSinceMs: isInUse ? undefined : (state.withdrawnSinceMs ?? nowMs),
    returnedAtMs: returnedAtMs(state, before?.view, configuration.view, nowMs),
  };
  const isSame =
    before?.view === configuration.view || before?.view.version === configuration.view.version;
  if (!isSame) return unchanged(withAllStale(next));
  const isRoundStale = state.isRoundStale || (!mayAssign(state, nowMs) && mayAssign(next, nowMs));
  return unchanged({ ...next, isRoundStale });
};

/** Forgets everything that only an owner may know; it is learnt anew after a take-over. */
const withOwnershipChange = (before: CellState, after: CellState, nowMs: number): CellDecision => {
  const isSameOwnership =
    before.lease.isOwner === after.lease.isOwner && before.lease.epoch === after.lease.epoch;
  if (isSameOwnership || (!before.lease.isOwner && !after.lease.isOwner)) return unchanged(after);
  const fresh = {
    ...after,
    rows: undefined,
    lastRows: undefined,
    unreachedWorkerIds: new Set<string>(),
    pending: undefined,
    arrivals: undefined,
    // The owner row's new version stops whatever a former ownership left under way.
    isFenceDue: false,
    tookOverAtMs: nowMs,
    isRoundStale: true,
    nextRoundAtMs: nowMs,
    preempted: new Set<string>(),
    interference: initialInterference(after.timing.interference, nowMs),
    oversizedSinceMs: new Map<string, number>(),
    workerHealth: new WorkerHealth(),
    retryAtMs: new Map<string, number>(),
    handOn: NO_HAND_ON,
    learntSizes: new LearntSizes(),
    readDivision: '',
    quotaWaits: new Map<string, number>(),
  };
  const workers = new Map(
    [...after.workers].map(([id, view]): [string, WorkerView] => [
      id,
      unreachedWorker(view.instance, presumedLeaseEndMs(fresh)),
    ]),
  );
  const event = after.lease.isOwner ? 'cell-acquired' : 'cell-lost';
  return { state: { ...fresh, workers }, effects: [{ kind: 'log', event }] };
};

const withLeaseRead = (
  state: CellState,
  result: Either<Failure, ReadResult>,
  sentAtMs: number,
  nowMs: number,
): CellDecision => {
  const lease = isLeft(result)
    ? withLeaseCallFailed(state.lease, state.timing, nowMs)
    : withLeaseRows(state.lease, state.timing, result.right, sentAtMs, nowMs);
  return withOwnershipChange(state, { ...state, lease }, nowMs);
};

const withLeaseWritten = (
  state: CellState,
  step: LeaseStepKind,
  result: Either<Failure, TransactionResult>,
  sentAtMs: number,
  nowMs: number,
): CellDecision => {
  if (isLeft(result)) {
    return unchanged({ ...state, lease: withLeaseCallFailed(state.lease, state.timing, nowMs) });
  }
  const lease =
    result.right.outcome === TransactionOutcome.Committed
      ? withLeaseCommitted(state.lease, state.timing, step, result.right, sentAtMs, nowMs)
      : withLeaseLost(state.lease, state.timing, nowMs);
  return withOwnershipChange(state, { ...state, lease }, nowMs);
};

/**
 * True when an answer belongs to this ownership of the cell. A daemon that lost the cell and got
 * it back would otherwise take a worker's old answer for first contact: it would believe the
 * leases named there, although the owner in between granted longer ones, give the worker's tasks
 * up while they run, and start them a second time.
 */
const isOfThisOwnership = (state: CellState, epoch: number): boolean =>
  state.lease.isOwner && state.lease.epoch === epoch;

/** Takes in the end of a write to the fence; it stays due until one has surely taken effect. */
const withFenced = (state: CellState, result: Either<Failure, TransactionResult>): CellDecision => {
  const settled = { ...state, pending: undefined };
  const isFenced = !isLeft(result) && result.right.outcome === TransactionOutcome.Committed;
  return isFenced
    ? { state: { ...settled, isFenceDue: false }, effects: [counted('cell_fenced')] }
    : unchanged(settled);
};

/**
 * Takes in the end of a transaction. After a conflict or a lost answer the rows are read again
 * before anything depends on them, after a lost one behind a fence.
 */
const withCommitted = (
  state: CellState,
  result: Either<Failure, TransactionResult>,
  nowMs: number,
): CellDecision => {
  const { pending } = state;
  if (pending?.kind === 'fence') return withFenced(state, result);
  if (pending?.kind !== 'commit') return unchanged(state);
  const settled = { ...state, pending: undefined };
  if (isLeft(result)) {
    const isFenceDue = needsFence(result.left);
    const next = withRowsInDoubt({ ...settled, isFenceDue });
    return { state: next, effects: [counted('cell_transaction_failed')] };
  }
  if (result.right.outcome === TransactionOutcome.Conflict) {
    return { state: withRowsInDoubt(settled), effects: [counted('cell_transaction_conflict')] };
  }
  const provedAtMs = pending.provesZone ? pending.sentAtMs : Number.NEGATIVE_INFINITY;
  const proved = { ...settled, zoneProvedAtMs: Math.max(state.zoneProvedAtMs, provedAtMs) };
  const rows = pending.draft.committed(result.right.version);
  // Nothing of a team with a quota starts until the others are read behind a new division.
  const isDivisionNew = publishedDivision(rows) !== state.readDivision;
  const nextLookAtMs = isDivisionNew ? nowMs : state.nextLookAtMs;
  return unchanged(withNewRows({ ...proved, nextLookAtMs }, rows));
};

/**
 * True when the report tells of something that a round may have to record: an end, or a change
 * of a service's task, which its entry points depend on. A batch task that has started is none.
 */
const tellsNews = (state: CellState, before: WorkerView, after: WorkerView): boolean => {
  if (before.report?.incarnation !== after.report?.incarnation) return true;
  if (before.tasks === after.tasks) return false;
  if (state.rows === undefined) return true;
  if (unrecordedFinishes(state.rows, after).size > 0) return true;
  const assignments = assignmentsOf(state.rows, after.instance.id);
  return assignments.some((assignment) => {
    const task = after.tasks.get(attemptKey(assignment));
    if (task === undefined) return false;
    const isReplica = assignment.taskClass === TaskClass.LatencyCritical;
    return isReplica || task.state !== WorkerTaskState.Running;
  });
};

const withWorkerAnswer = (
  state: CellState,
  workerId: string,
  result: Either<Failure, WorkerReport>,
  nowMs: number,
): CellState => {
  const view = state.workers.get(workerId);
  if (view === undefined) return state;
  const next = isLeft(result)
    ? { ...view, isCommandInFlight: false }
    : withReport(view, result.right, nowMs);
  // A call that failed may have been the last that a worker's assignments waited for.
  const isRoundStale = state.isRoundStale || isLeft(result) || tellsNews(state, view, next);
  return { ...state, isRoundStale, workers: new Map(state.workers).set(workerId, next) };
};

/** Answers to calls that only an owner makes. */
const absorbAnswer = (
  state: CellState,
  event: CellEvent & { readonly kind: 'loaded' | 'committed' | 'worker-answered' },
  nowMs: number,
): CellDecision => {
  if (!isOfThisOwnership(state, event.epoch)) {
    return { state, effects: [counted('cell_stale_answer')] };
  }
  if (event.kind === 'loaded') return unchanged(withLoaded(state, event.result));
  if (event.kind === 'committed') return withCommitted(state, event.result, nowMs);
  return unchanged(withWorkerAnswer(state, event.workerId, event.result, nowMs));
};

export const absorb = (state: CellState, event: CellEvent, nowMs: number): CellDecision => {
  switch (event.kind) {
    case 'configuration':
      return withConfiguration(state, event.configuration, nowMs);
    case 'instances':
      return unchanged(withInstances(state, event.workers));
    case 'latency-measured': {
      if (!state.lease.isOwner) return unchanged(state);
      const own = event.samples.filter(({ workerId }) => state.workers.has(workerId));
      return unchanged({ ...state, interference: withPendingSamples(state.interference, own) });
    }
    case 'lease-read':
      return withLeaseRead(state, event.result, event.sentAtMs, nowMs);
    case 'lease-written':
      return withLeaseWritten(state, event.step, event.result, event.sentAtMs, nowMs);
    case 'loaded':
    case 'committed':
    case 'worker-answered':
      return absorbAnswer(state, event, nowMs);
    default:
      return unchanged(state);
  }
};
