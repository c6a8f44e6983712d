/**
 * Applies an event to the state of a cell. The steps of `decide` act on the new state afterwards.
 */
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
import { publishedQuotaDivision, withReadResult } from './cellReads.js';
import { assignmentsOf } from './cellRows.js';
import type {
  CellDecision,
  CellEffect,
  CellEvent,
  CellState,
  ConfirmedConfiguration,
} from './cellState.js';
import { needsFence } from './fence.js';
import { INITIAL_TASK_TRANSFER } from './taskTransfer.js';
import { LearntSizes } from './learntSizes.js';
import { initialInterference, withPendingSamples } from './interference/interferenceState.js';
import { unrecordedFinishes } from './lateFinishes.js';
import { mayAssign } from './round.js';
import { withAllStale, withNewRows, withRowsInDoubt } from './staleness.js';
import { WorkerHealth } from './workerHealth.js';
import {
  attemptKey,
  presumedLeaseEndMs,
  unreachedWorkerView,
  withReport,
  type WorkerView,
} from './workerView.js';
import { returnedAtMs } from './zoneReturn.js';

export const withoutEffects = (state: CellState): CellDecision => ({ state, effects: [] });

export const countEffect = (counter: string, amount = 1): CellEffect => ({
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
  // A worker that left the list keeps its view while tasks are assigned to it, because they may
  // still run. It gets no new tasks.
  const unlisted = [...state.workers]
    .filter(([id]) => !listed.has(id))
    .filter(([id]) => state.rows === undefined || state.rows.assignmentsByWorker.has(id))
    .map(([id, view]): [string, WorkerView] => [id, { ...view, isListed: false }]);
  const views = [...listed].map(([id, instance]): [string, WorkerView] => {
    const knownView =
      state.workers.get(id) ?? unreachedWorkerView(instance, presumedLeaseEndMs(state));
    return [id, { ...knownView, instance, isListed: true }];
  });
  return withAllStale({ ...state, workers: new Map([...unlisted, ...views]) });
};

/**
 * Invariant: the configuration never reverts to an older version. Otherwise a late answer to an
 * earlier read would allow starts in a zone that has been withdrawn since.
 */
const withConfiguration = (
  state: CellState,
  configuration: ConfirmedConfiguration,
  nowMs: number,
): CellDecision => {
  const before = state.configuration;
  if (before !== undefined && configuration.view.version < before.view.version) {
    return { state, effects: [countEffect('invariant_configuration_reverted')] };
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
  if (!isSame) return withoutEffects(withAllStale(next));
  const isRoundStale = state.isRoundStale || (!mayAssign(state, nowMs) && mayAssign(next, nowMs));
  return withoutEffects({ ...next, isRoundStale });
};

/** Resets the state that belongs to an ownership. A new owner learns it again after a takeover. */
const withOwnershipChange = (before: CellState, after: CellState, nowMs: number): CellDecision => {
  const isSameOwnership =
    before.lease.isOwner === after.lease.isOwner && before.lease.epoch === after.lease.epoch;
  if (isSameOwnership || (!before.lease.isOwner && !after.lease.isOwner))
    return withoutEffects(after);
  const reset = {
    ...after,
    rows: undefined,
    lastKnownRows: undefined,
    unreachedWorkerIds: new Set<string>(),
    pending: undefined,
    arrivals: undefined,
    // The new version of the owner row blocks every transaction that a former ownership sent.
    isFenceDue: false,
    tookOverAtMs: nowMs,
    isRoundStale: true,
    nextRoundAtMs: nowMs,
    preempted: new Set<string>(),
    interference: initialInterference(after.timing.interference, nowMs),
    oversizedSinceMs: new Map<string, number>(),
    workerHealth: new WorkerHealth(),
    retryAtMs: new Map<string, number>(),
    taskTransfer: INITIAL_TASK_TRANSFER,
    learntSizes: new LearntSizes(),
    readQuotaDivision: '',
    quotaWaits: new Map<string, number>(),
  };
  const workers = new Map(
    [...after.workers].map(([id, view]): [string, WorkerView] => [
      id,
      unreachedWorkerView(view.instance, presumedLeaseEndMs(reset)),
    ]),
  );
  const event = after.lease.isOwner ? 'cell-acquired' : 'cell-lost';
  return { state: { ...reset, workers }, effects: [{ kind: 'log', event }] };
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
    return withoutEffects({
      ...state,
      lease: withLeaseCallFailed(state.lease, state.timing, nowMs),
    });
  }
  const lease =
    result.right.outcome === TransactionOutcome.Committed
      ? withLeaseCommitted(state.lease, state.timing, step, result.right, sentAtMs, nowMs)
      : withLeaseLost(state.lease, state.timing, nowMs);
  return withOwnershipChange(state, { ...state, lease }, nowMs);
};

/**
 * True if an answer belongs to this ownership of the cell. A daemon that lost the cell and regained
 * it would otherwise take a worker's old answer for the first report of this ownership. It would
 * rely on the leases named there, although the owner in between granted longer ones, give up the
 * worker's tasks while they run, and start them a second time.
 */
const isOfThisOwnership = (state: CellState, epoch: number): boolean =>
  state.lease.isOwner && state.lease.epoch === epoch;

/**
 * Applies the result of a fence write. The fence stays due until a write is known to have
 * committed.
 */
const withFenceResult = (
  state: CellState,
  result: Either<Failure, TransactionResult>,
): CellDecision => {
  const settled = { ...state, pending: undefined };
  const isFenced = !isLeft(result) && result.right.outcome === TransactionOutcome.Committed;
  return isFenced
    ? { state: { ...settled, isFenceDue: false }, effects: [countEffect('cell_fenced')] }
    : withoutEffects(settled);
};

/**
 * Applies the result of a transaction. After a conflict or a lost answer the rows are read again
 * before anything depends on them; after a lost answer the fence is written first.
 */
const withCommitResult = (
  state: CellState,
  result: Either<Failure, TransactionResult>,
  nowMs: number,
): CellDecision => {
  const { pending } = state;
  if (pending?.kind === 'fence') return withFenceResult(state, result);
  if (pending?.kind !== 'commit') return withoutEffects(state);
  const settled = { ...state, pending: undefined };
  if (isLeft(result)) {
    const isFenceDue = needsFence(result.left);
    const next = withRowsInDoubt({ ...settled, isFenceDue });
    return { state: next, effects: [countEffect('cell_transaction_failed')] };
  }
  if (result.right.outcome === TransactionOutcome.Conflict) {
    return { state: withRowsInDoubt(settled), effects: [countEffect('cell_transaction_conflict')] };
  }
  const provedAtMs = pending.provesZone ? pending.sentAtMs : Number.NEGATIVE_INFINITY;
  const proved = { ...settled, zoneProvedAtMs: Math.max(state.zoneProvedAtMs, provedAtMs) };
  const rows = pending.draft.committed(result.right.version);
  // No task of a team with a quota starts under a new quota division until the other cells' rows
  // have been read after its publication, so they are read at once.
  const isDivisionNew = publishedQuotaDivision(rows) !== state.readQuotaDivision;
  const nextPollAtMs = isDivisionNew ? nowMs : state.nextPollAtMs;
  return withoutEffects(withNewRows({ ...proved, nextPollAtMs }, rows));
};

/**
 * True if the report contains a change that a round may have to record: the end of a task, or a
 * change of a service task, on which the published endpoints depend. The start of a batch task
 * needs no round.
 */
const requiresRound = (state: CellState, before: WorkerView, after: WorkerView): boolean => {
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
  // The end of a worker's assignments may have been waiting for this call, even if it failed.
  const isRoundStale = state.isRoundStale || isLeft(result) || requiresRound(state, view, next);
  return { ...state, isRoundStale, workers: new Map(state.workers).set(workerId, next) };
};

/** Applies an answer to a call that only an owner makes. */
const applyOwnerAnswer = (
  state: CellState,
  event: CellEvent & { readonly kind: 'loaded' | 'committed' | 'worker-answered' },
  nowMs: number,
): CellDecision => {
  if (!isOfThisOwnership(state, event.epoch)) {
    return { state, effects: [countEffect('cell_stale_answer')] };
  }
  if (event.kind === 'loaded') return withoutEffects(withReadResult(state, event.result));
  if (event.kind === 'committed') return withCommitResult(state, event.result, nowMs);
  return withoutEffects(withWorkerAnswer(state, event.workerId, event.result, nowMs));
};

export const applyEvent = (state: CellState, event: CellEvent, nowMs: number): CellDecision => {
  switch (event.kind) {
    case 'configuration':
      return withConfiguration(state, event.configuration, nowMs);
    case 'instances':
      return withoutEffects(withInstances(state, event.workers));
    case 'latency-measured': {
      if (!state.lease.isOwner) return withoutEffects(state);
      const ownSamples = event.samples.filter(({ workerId }) => state.workers.has(workerId));
      return withoutEffects({
        ...state,
        interference: withPendingSamples(state.interference, ownSamples),
      });
    }
    case 'lease-read':
      return withLeaseRead(state, event.result, event.sentAtMs, nowMs);
    case 'lease-written':
      return withLeaseWritten(state, event.step, event.result, event.sentAtMs, nowMs);
    case 'loaded':
    case 'committed':
    case 'worker-answered':
      return applyOwnerAnswer(state, event, nowMs);
    default:
      return withoutEffects(state);
  }
};
