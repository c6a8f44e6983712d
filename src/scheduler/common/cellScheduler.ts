/**
 * The state machine of one daemon for one cell: `decide(state, event, nowMs)` gives the next
 * state and what to do. It holds no socket, timer or clock.
 */
import { type Either, isLeft } from 'fp-ts/lib/Either.js';

import {
  isZoneInUse,
  zoneRowVersion,
} from '../../platform/configuration/common/configurationView.js';
import { zoneKey } from '../../platform/configuration/common/documents.js';
import type { Failure } from '../../platform/errors/common/errorKinds.js';
import type { WorkerInstance } from '../../platform/instanceList/common/instanceList.js';
import {
  type ReadResult,
  type Transaction,
  TransactionOutcome,
  type TransactionResult,
} from '../../platform/table/common/table.js';
import { cellInboxKey, cellOwnerKey } from '../../platform/work/common/workRows.js';
import {
  initialCellLease,
  LeaseStepKind,
  nextLeaseStep,
  withLeaseCallFailed,
  withLeaseCommitted,
  withLeaseLost,
  withLeaseRows,
} from './cellLease.js';
import { cellPrefixes, toCellRows } from './cellRows.js';
import type {
  CellDecision,
  CellEffect,
  CellEvent,
  CellState,
  CellTiming,
  ConfirmedConfiguration,
} from './cellState.js';
import type { PlacementPolicy } from './placement.js';
import { overcommittedWorkers, planRound, type Round } from './round.js';
import { planCommand } from './workerCommands.js';
import { unreachedWorker, withDriftMargin, withReport, type WorkerView } from './workerView.js';

/** How often the owner looks whether work was added to its cell. */
const LOOK_INTERVAL_MS = 500;

export const initialCellState = (
  cell: string,
  selfId: string,
  timing: CellTiming,
  nowMs: number,
): CellState => ({
  cell,
  timing,
  lease: initialCellLease(cell, selfId, nowMs),
  rows: undefined,
  workers: new Map(),
  pending: undefined,
  configuration: undefined,
  zoneProvedAtMs: Number.NEGATIVE_INFINITY,
  withdrawnSinceMs: undefined,
  tookOverAtMs: nowMs,
  nextLookAtMs: nowMs,
  operationCount: 0,
});

const unchanged = (state: CellState): CellDecision => ({ state, effects: [] });

/** The worst case of a former owner: it renewed until its limit, a moment before that. */
const presumedLeaseEndMs = (state: CellState): number =>
  state.tookOverAtMs +
  withDriftMargin(state.timing.maximumRenewalWithoutTableMs + state.timing.workerLeaseMs);

const withInstances = (state: CellState, workers: readonly WorkerInstance[]): CellState => {
  const ownWorkers = workers.filter(({ availabilityZone }) => availabilityZone === state.cell);
  const views = ownWorkers.map((instance): [string, WorkerView] => {
    const known = state.workers.get(instance.id);
    const view = known ?? unreachedWorker(instance, presumedLeaseEndMs(state));
    return [instance.id, { ...view, instance }];
  });
  const listed = new Map(views);
  // A worker that left the list keeps its view, for its tasks may still run.
  return { ...state, workers: new Map([...state.workers, ...listed]) };
};

const withConfiguration = (
  state: CellState,
  configuration: ConfirmedConfiguration,
  nowMs: number,
): CellState => {
  const isInUse = isZoneInUse(configuration.view, state.cell);
  return {
    ...state,
    configuration,
    withdrawnSinceMs: isInUse ? undefined : (state.withdrawnSinceMs ?? nowMs),
  };
};

/** Forgets everything that only an owner may know; it is learnt anew after a take-over. */
const withOwnershipChange = (before: CellState, after: CellState, nowMs: number): CellDecision => {
  if (before.lease.isOwner === after.lease.isOwner) return unchanged(after);
  const fresh = { ...after, rows: undefined, pending: undefined, tookOverAtMs: nowMs };
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
    : withLeaseRows(state.lease, state.timing, result.right.rows, sentAtMs, nowMs);
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
  const { outcome, version } = result.right;
  const lease =
    outcome === TransactionOutcome.Committed
      ? withLeaseCommitted(state.lease, state.timing, step, version, sentAtMs, nowMs)
      : withLeaseLost(state.lease, state.timing, nowMs);
  return withOwnershipChange(state, { ...state, lease }, nowMs);
};

const withLoaded = (state: CellState, result: Either<Failure, ReadResult>): CellState => {
  const { pending } = state;
  const settled = { ...state, pending: undefined };
  if (isLeft(result) || pending === undefined || !state.lease.isOwner) return settled;
  if (pending.kind === 'load')
    return { ...settled, rows: toCellRows(state.cell, result.right.rows) };
  const inboxVersion = result.right.rows[0]?.version ?? 0;
  const knownVersion = state.rows?.versions.get(cellInboxKey(state.cell)) ?? 0;
  return inboxVersion === knownVersion ? settled : { ...settled, rows: undefined };
};

/**
 * Takes in the end of a transaction. After a conflict or a lost answer the rows are read again
 * before anything depends on them: a lost transaction that takes effect later is conditional on
 * the same row versions, so it cannot slip in after a later transaction of this owner.
 */
const withCommitted = (
  state: CellState,
  result: Either<Failure, TransactionResult>,
): CellDecision => {
  const { pending } = state;
  const settled = { ...state, pending: undefined };
  if (pending?.kind !== 'commit' || !state.lease.isOwner) return unchanged(settled);
  if (isLeft(result)) {
    const effects: CellEffect[] = [
      { kind: 'count', counter: 'cell_transaction_failed', amount: 1 },
    ];
    return { state: { ...settled, rows: undefined }, effects };
  }
  if (result.right.outcome === TransactionOutcome.Conflict) {
    const effects: CellEffect[] = [
      { kind: 'count', counter: 'cell_transaction_conflict', amount: 1 },
    ];
    return { state: { ...settled, rows: undefined }, effects };
  }
  return unchanged({
    ...settled,
    rows: pending.draft.committed(result.right.version),
    zoneProvedAtMs: Math.max(state.zoneProvedAtMs, pending.sentAtMs),
  });
};

/**
 * The transaction of a round. It names the owner's row, so that two daemons that both believe
 * they own the cell cannot both commit, and the zone's row, so that a withdrawal that has been
 * accepted stops every later assignment.
 */
const toTransaction = (state: CellState, round: Round, operationId: string): Transaction => {
  const zoneVersion =
    state.configuration === undefined ? 0 : zoneRowVersion(state.configuration.view, state.cell);
  return {
    operationId,
    conditions: [
      { key: cellOwnerKey(state.cell), version: state.lease.ownerRowVersion },
      { key: zoneKey(state.cell), version: zoneVersion },
      ...round.draft.conditions(),
    ],
    writes: round.draft.writes(operationId),
  };
};

const roundCounters = (round: Round): readonly CellEffect[] => [
  { kind: 'count', counter: 'tasks_assigned', amount: round.assignedCount },
  ...round.ends.map((end): CellEffect => ({
    kind: 'count',
    counter: `assignments_${end.replace('-', '_')}`,
    amount: 1,
  })),
];

const startRound = (state: CellState, policy: PlacementPolicy, nowMs: number): CellDecision => {
  const { rows, pending } = state;
  if (rows === undefined || pending !== undefined) return unchanged(state);
  const operationId = `${state.lease.selfId}:${state.cell}:${state.operationCount}`;
  const counted = { ...state, operationCount: state.operationCount + 1 };
  const round = planRound(counted, rows, policy, operationId, nowMs);
  if (!round.draft.hasChanges) return unchanged(state);
  if (overcommittedWorkers(counted, round.draft).length > 0) {
    const effects: CellEffect[] = [
      { kind: 'count', counter: 'invariant_overcommitted', amount: 1 },
    ];
    return { state: counted, effects };
  }
  const transaction = toTransaction(counted, round, operationId);
  return {
    state: { ...counted, pending: { kind: 'commit', draft: round.draft, sentAtMs: nowMs } },
    effects: [{ kind: 'commit', transaction }, ...roundCounters(round)],
  };
};

const startRead = (state: CellState, nowMs: number): CellDecision => {
  if (state.pending !== undefined) return unchanged(state);
  if (state.rows === undefined) {
    const request = { keys: [], prefixes: cellPrefixes(state.cell) };
    return { state: { ...state, pending: { kind: 'load' } }, effects: [{ kind: 'load', request }] };
  }
  if (nowMs < state.nextLookAtMs) return unchanged(state);
  const request = { keys: [cellInboxKey(state.cell)], prefixes: [] };
  return {
    state: { ...state, pending: { kind: 'look' }, nextLookAtMs: nowMs + LOOK_INTERVAL_MS },
    effects: [{ kind: 'load', request }],
  };
};

const sendCommands = (state: CellState, nowMs: number): CellDecision => {
  const workers = new Map(state.workers);
  const effects: CellEffect[] = [];
  state.workers.forEach((view, workerId) => {
    const planned = planCommand(state, view, nowMs);
    if (planned === undefined) return;
    workers.set(workerId, planned.view);
    effects.push({ kind: 'command', workerId, command: planned.command });
  });
  return effects.length === 0 ? unchanged(state) : { state: { ...state, workers }, effects };
};

const stepLease = (state: CellState, nowMs: number): CellDecision => {
  const operationId = `${state.lease.selfId}:${state.cell}:lease:${state.operationCount}`;
  const next = nextLeaseStep(state.lease, state.timing, operationId, nowMs);
  if (next === undefined) return unchanged(state);
  const counted = { ...state, lease: next.lease, operationCount: state.operationCount + 1 };
  const { step } = next;
  const effect: CellEffect =
    step.kind === LeaseStepKind.Watch
      ? { kind: 'lease-read', request: step.request }
      : { kind: 'lease-write', step: step.kind, transaction: step.transaction };
  return { state: counted, effects: [effect] };
};

const withWorkerAnswer = (
  state: CellState,
  workerId: string,
  result: CellEvent & { readonly kind: 'worker-answered' },
  nowMs: number,
): CellState => {
  const view = state.workers.get(workerId);
  if (view === undefined) return state;
  const next = isLeft(result.result)
    ? { ...view, isCommandInFlight: false }
    : withReport(view, result.result.right, nowMs);
  return { ...state, workers: new Map(state.workers).set(workerId, next) };
};

const absorb = (state: CellState, event: CellEvent, nowMs: number): CellDecision => {
  switch (event.kind) {
    case 'tick':
      return unchanged(state);
    case 'configuration':
      return unchanged(withConfiguration(state, event.configuration, nowMs));
    case 'instances':
      return unchanged(withInstances(state, event.workers));
    case 'lease-read':
      return withLeaseRead(state, event.result, event.sentAtMs, nowMs);
    case 'lease-written':
      return withLeaseWritten(state, event.step, event.result, event.sentAtMs, nowMs);
    case 'loaded':
      return unchanged(withLoaded(state, event.result));
    case 'committed':
      return withCommitted(state, event.result);
    case 'worker-answered':
      return unchanged(withWorkerAnswer(state, event.workerId, event, nowMs));
    default:
      return unchanged(state);
  }
};

type Step = (state: CellState) => CellDecision;

const runSteps = (initial: CellDecision, steps: readonly Step[]): CellDecision =>
  steps.reduce((decision, step) => {
    const next = step(decision.state);
    return { state: next.state, effects: [...decision.effects, ...next.effects] };
  }, initial);

/** Takes in one event and says what to do next. */
export const decide = (
  state: CellState,
  event: CellEvent,
  policy: PlacementPolicy,
  nowMs: number,
): CellDecision => {
  const absorbed = absorb(state, event, nowMs);
  const leaseStep: Step = (current) => stepLease(current, nowMs);
  if (!absorbed.state.lease.isOwner) return runSteps(absorbed, [leaseStep]);
  return runSteps(absorbed, [
    leaseStep,
    (current) => startRound(current, policy, nowMs),
    (current) => startRead(current, nowMs),
    (current) => sendCommands(current, nowMs),
  ]);
};
