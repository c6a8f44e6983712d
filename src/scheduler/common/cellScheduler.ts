/**
 * The state machine of one daemon for one cell: `decide(state, event, policy, nowMs)` returns the
 * next state and the effects to perform. It holds no socket, timer or clock.
 */
import {
  isZoneInUse,
  zoneRowVersion,
} from '../../services/configuration/common/configurationView.js';
import { NO_ENDPOINTS } from '../../services/workload/common/endpointView.js';
import { cellOwnerKey } from '../../services/workload/common/workRows.js';
import { zoneKey } from '../../services/configuration/common/documents.js';
import type { Transaction } from '../../services/table/common/table.js';
import { applyEvent, countEffect, withoutEffects } from './cellEvents.js';
import { initialCellLease, LeaseStepKind, nextLeaseStep } from './cellLease.js';
import { startRead } from './cellReads.js';
import type { CellRows } from './cellRows.js';
import type { CellDecision, CellEffect, CellEvent, CellState, CellTiming } from './cellState.js';
import { fenceCondition, startFence } from './fence.js';
import { INITIAL_TASK_TRANSFER } from './taskTransfer.js';
import { LearntSizes } from './learntSizes.js';
import { initialInterference } from './interference/interferenceState.js';
import { stepInterference } from './interference/interferenceStep.js';
import { brokenByRound, brokenByStarts, ledgerChange } from './invariants.js';
import type { PlacementPolicy } from './placement.js';
import { hasHeardFromWorkers, mayAssign, planRound, type Round } from './round.js';
import { oversizedSince } from './oversizedWork.js';
import { learnFromUsage } from './usageLearning.js';
import { isStartAllowed, planCommand } from './workerCommands.js';
import { WorkerHealth } from './workerHealth.js';
import { attemptKey, type WorkerView } from './workerView.js';

/** How often a round is planned even if nothing is known to have changed, because leases expire. */
const FULL_ROUND_INTERVAL_MS = 1_000;

const MS_PER_SECOND = 1_000;

export const initialCellState = (
  cell: string,
  selfId: string,
  timing: CellTiming,
  nowMs: number,
): CellState => ({
  cell,
  timing: { ...timing, writesCellClock: true },
  lease: initialCellLease(cell, selfId, nowMs),
  rows: undefined,
  lastKnownRows: undefined,
  unreachedWorkerIds: new Set(),
  surplusTaskIds: new Set(),
  endpointView: NO_ENDPOINTS,
  otherCellsExchange: new Map(),
  nextFullEndpointReadAtMs: nowMs,
  arrivals: undefined,
  workers: new Map(),
  pending: undefined,
  configuration: undefined,
  zoneProvedAtMs: Number.NEGATIVE_INFINITY,
  withdrawnSinceMs: undefined,
  returnedAtMs: undefined,
  tookOverAtMs: nowMs,
  nextPollAtMs: nowMs,
  isFenceDue: false,
  operationCount: 0,
  preempted: new Set(),
  interference: initialInterference(timing.interference, nowMs),
  oversizedSinceMs: new Map(),
  workerHealth: new WorkerHealth(),
  retryAtMs: new Map(),
  taskTransfer: INITIAL_TASK_TRANSFER,
  learntSizes: new LearntSizes(),
  nextLearningAtMs: nowMs,
  readQuotaDivision: '',
  quotaWaits: new Map(),
  isRoundStale: true,
  nextRoundAtMs: nowMs,
  nextFullRoundAtMs: nowMs,
});

/**
 * The transaction of a round. It requires the version of the owner row, so that two daemons that
 * both believe they own the cell cannot both commit, and the version of the zone row, so that an
 * accepted withdrawal blocks every later assignment.
 */
const toTransaction = (
  state: CellState,
  rows: CellRows,
  round: Round,
  operationId: string,
): Transaction => {
  const zoneVersion =
    state.configuration === undefined ? 0 : zoneRowVersion(state.configuration.view, state.cell);
  return {
    operationId,
    conditions: [
      { key: cellOwnerKey(state.cell), version: state.lease.ownerRowVersion },
      { key: zoneKey(state.cell), version: zoneVersion },
      fenceCondition(state.cell, rows),
      ...round.draft.conditions(),
    ],
    writes: round.draft.writes(operationId),
  };
};

const roundCounters = (round: Round): readonly CellEffect[] => [
  countEffect('tasks_assigned', round.assignedCount),
  countEffect('tasks_handed_on', round.draft.transferredTaskCount),
  ...round.ends.map(({ end }) => countEffect(`assignments_${end.replace('-', '_')}`)),
];

/** Plans a round. If it breaks an invariant, plans it again without new assignments. */
const planCheckedRound = (
  state: CellState,
  rows: CellRows,
  policy: PlacementPolicy,
  operationId: string,
  nowMs: number,
): { readonly round: Round | undefined; readonly effects: readonly CellEffect[] } => {
  const isAssigning = mayAssign(state, nowMs) && hasHeardFromWorkers(state, nowMs);
  const round = planRound(state, rows, policy, operationId, isAssigning, nowMs);
  const broken = brokenByRound(state, rows, round.draft, isAssigning);
  if (broken.length === 0) return { round, effects: [] };
  const effects = broken.map((invariant) => countEffect(invariant));
  const fallback = planRound(state, rows, policy, operationId, false, nowMs);
  const isFallbackBroken = brokenByRound(state, rows, fallback.draft, false).length > 0;
  return { round: isFallbackBroken ? undefined : fallback, effects };
};

const isRoundDue = (state: CellState, nowMs: number): boolean =>
  nowMs >= state.nextRoundAtMs && (state.isRoundStale || nowMs >= state.nextFullRoundAtMs);

/**
 * When the next transaction may follow. Changes are batched meanwhile, so that one written row
 * carries many of them, and a backlog after an outage does not use up the table's capacity.
 */
const nextRoundAtMs = (state: CellState, rowCount: number, nowMs: number): number => {
  const { roundIntervalMs, rowsPerSecond } = state.timing;
  return nowMs + Math.max(roundIntervalMs, (rowCount * MS_PER_SECOND) / rowsPerSecond);
};

/** Adds the attempts that the round preempts, and drops those that have left their worker. */
const withPreempted = (state: CellState, rows: CellRows, round: Round | undefined): CellState => {
  const added = round?.preempted ?? new Set();
  if (added.size === 0 && state.preempted.size === 0) return state;
  const preempted = new Set<string>();
  const workers = new Map(state.workers);
  rows.assignmentsByWorker.forEach((assignments, workerId) =>
    assignments.map(attemptKey).forEach((key) => {
      if (!added.has(key) && !state.preempted.has(key)) return;
      preempted.add(key);
      const view = workers.get(workerId);
      if (view !== undefined) workers.set(workerId, { ...view, isCommandStale: true });
    }),
  );
  return { ...state, preempted, workers };
};

const startRound = (before: CellState, policy: PlacementPolicy, nowMs: number): CellDecision => {
  const { rows, pending } = before;
  if (rows === undefined || pending !== undefined || !isRoundDue(before, nowMs)) {
    return withoutEffects(before);
  }
  // Rows that a poll found are read first. Otherwise urgent work among them would wait for the next
  // round.
  if (before.arrivals !== undefined) return withoutEffects(before);
  const state = { ...before, oversizedSinceMs: oversizedSince(before, rows, nowMs) };
  const operationId = `${state.lease.selfId}:${state.cell}:${state.operationCount}`;
  const { round, effects } = planCheckedRound(state, rows, policy, operationId, nowMs);
  const planned = {
    ...withPreempted(state, rows, round),
    quotaWaits: round?.quotaWaits ?? state.quotaWaits,
    taskTransfer: round?.taskTransfer ?? state.taskTransfer,
    isRoundStale: false,
    nextFullRoundAtMs: nowMs + FULL_ROUND_INTERVAL_MS,
  };
  if (round === undefined || !round.draft.hasChanges) return { state: planned, effects };
  const transaction = toTransaction(state, rows, round, operationId);
  const { dropped } = ledgerChange(rows, round.draft);
  const view = state.configuration?.view;
  return {
    state: {
      ...planned,
      ...round.failureTracking,
      operationCount: state.operationCount + 1,
      unreachedWorkerIds: new Set([...state.unreachedWorkerIds, ...round.draft.unreached.keys()]),
      nextRoundAtMs: nextRoundAtMs(state, transaction.writes.length, nowMs),
      pending: {
        kind: 'commit',
        draft: round.draft,
        sentAtMs: nowMs,
        droppedAttempts: new Set(dropped.map(attemptKey)),
        provesZone: view !== undefined && isZoneInUse(view, state.cell),
      },
    },
    effects: [
      ...effects,
      { kind: 'commit', epoch: state.lease.epoch, transaction },
      ...roundCounters(round),
    ],
  };
};

const sendCommands = (state: CellState, nowMs: number): CellDecision => {
  let workers: Map<string, WorkerView> | undefined;
  const effects: CellEffect[] = [];
  state.workers.forEach((view, workerId) => {
    const planned = planCommand(state, view, nowMs);
    if (planned === undefined) return;
    workers ??= new Map(state.workers);
    workers.set(workerId, planned.view);
    if (planned.command === undefined) return;
    const broken = brokenByStarts(state, workerId, planned.command, isStartAllowed(state, nowMs));
    broken.forEach((invariant) => effects.push(countEffect(invariant)));
    const command = broken.length === 0 ? planned.command : { ...planned.command, starts: [] };
    effects.push({ kind: 'command', workerId, command });
  });
  return workers === undefined ? withoutEffects(state) : { state: { ...state, workers }, effects };
};

const stepLease = (state: CellState, nowMs: number): CellDecision => {
  const operationId = `${state.lease.selfId}:${state.cell}:lease:${state.operationCount}`;
  const next = nextLeaseStep(state.lease, state.timing, operationId, nowMs);
  if (next === undefined) return withoutEffects(state);
  const stepped = { ...state, lease: next.lease, operationCount: state.operationCount + 1 };
  const { step } = next;
  const effect: CellEffect =
    step.kind === LeaseStepKind.Watch
      ? { kind: 'lease-read', request: step.request }
      : { kind: 'lease-write', step: step.kind, transaction: step.transaction };
  return { state: stepped, effects: [effect] };
};

type Step = (state: CellState) => CellDecision;

const runSteps = (initial: CellDecision, steps: readonly Step[]): CellDecision =>
  steps.reduce((decision, step) => {
    const next = step(decision.state);
    return { state: next.state, effects: [...decision.effects, ...next.effects] };
  }, initial);

/** Applies an event and runs every step that is due. Returns the new state and the effects. */
export const decide = (
  state: CellState,
  event: CellEvent,
  policy: PlacementPolicy,
  nowMs: number,
): CellDecision => {
  const applied = applyEvent(state, event, nowMs);
  const leaseStep: Step = (current) => stepLease(current, nowMs);
  if (!applied.state.lease.isOwner) return runSteps(applied, [leaseStep]);
  return runSteps(applied, [
    leaseStep,
    (current) => withoutEffects(learnFromUsage(current, nowMs)),
    (current) => startRound(current, policy, nowMs),
    (current) => startFence(current, nowMs),
    (current) => startRead(current, nowMs),
    (current) => stepInterference(current, nowMs),
    (current) => sendCommands(current, nowMs),
  ]);
};
