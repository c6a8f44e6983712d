/**
 * The state machine of one daemon for one cell: `decide(state, event, nowMs)` gives the next
 * state and what to do. It holds no socket, timer or clock.
 */
import {
  isZoneInUse,
  zoneRowVersion,
} from '../../services/configuration/common/configurationView.js';
import { NO_ENDPOINTS } from '../../services/workload/common/endpointView.js';
import { cellOwnerKey } from '../../services/workload/common/workRows.js';
import { zoneKey } from '../../services/configuration/common/documents.js';
import type { Transaction } from '../../services/table/common/table.js';
import { absorb, counted, unchanged } from './cellEvents.js';
import { initialCellLease, LeaseStepKind, nextLeaseStep } from './cellLease.js';
import { startRead } from './cellReads.js';
import type { CellRows } from './cellRows.js';
import type { CellDecision, CellEffect, CellEvent, CellState, CellTiming } from './cellState.js';
import { fenceCondition, startFence } from './fence.js';
import { NO_HAND_ON } from './handOn.js';
import { LearntSizes } from './learntSizes.js';
import { initialInterference } from './interference/interferenceState.js';
import { stepInterference } from './interference/interferenceStep.js';
import { brokenByRound, brokenByStarts, ledgerChange } from './invariants.js';
import type { PlacementPolicy } from './placement.js';
import { hasSettled, mayAssign, planRound, type Round } from './round.js';
import { oversizedSince } from './oversizedWork.js';
import { learnFromUsage } from './usageLearning.js';
import { isStartAllowed, planCommand } from './workerCommands.js';
import { WorkerHealth } from './workerHealth.js';
import { attemptKey, type WorkerView } from './workerView.js';

/** How often a round is worked out although nothing is known to have changed: leases run out. */
const FULL_ROUND_INTERVAL_MS = 1_000;

const MS_PER_SECOND = 1_000;

export const initialCellState = (
  cell: string,
  selfId: string,
  timing: CellTiming,
  nowMs: number,
): CellState => ({
  cell,
  timing: { ...timing, isClockKept: true },
  lease: initialCellLease(cell, selfId, nowMs),
  rows: undefined,
  lastRows: undefined,
  unreachedWorkerIds: new Set(),
  surplusTaskIds: new Set(),
  endpointView: NO_ENDPOINTS,
  exchangeElsewhere: new Map(),
  nextWholeLookAtMs: nowMs,
  arrivals: undefined,
  workers: new Map(),
  pending: undefined,
  configuration: undefined,
  zoneProvedAtMs: Number.NEGATIVE_INFINITY,
  withdrawnSinceMs: undefined,
  returnedAtMs: undefined,
  tookOverAtMs: nowMs,
  nextLookAtMs: nowMs,
  isFenceDue: false,
  operationCount: 0,
  preempted: new Set(),
  interference: initialInterference(timing.interference, nowMs),
  oversizedSinceMs: new Map(),
  workerHealth: new WorkerHealth(),
  retryAtMs: new Map(),
  handOn: NO_HAND_ON,
  learntSizes: new LearntSizes(),
  nextLearningAtMs: nowMs,
  readDivision: '',
  quotaWaits: new Map(),
  isRoundStale: true,
  nextRoundAtMs: nowMs,
  nextFullRoundAtMs: nowMs,
});

/**
 * The transaction of a round. It names the owner's row, so that two daemons that both believe
 * they own the cell cannot both commit, and the zone's row, so that a withdrawal that has been
 * accepted stops every later assignment.
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
  counted('tasks_assigned', round.assignedCount),
  counted('tasks_handed_on', round.draft.handedOnCount),
  ...round.ends.map(({ end }) => counted(`assignments_${end.replace('-', '_')}`)),
];

/** Works a round out; one that breaks an invariant is done again without new assignments. */
const checkedRound = (
  state: CellState,
  rows: CellRows,
  policy: PlacementPolicy,
  operationId: string,
  nowMs: number,
): { readonly round: Round | undefined; readonly effects: readonly CellEffect[] } => {
  const isAssigning = mayAssign(state, nowMs) && hasSettled(state, nowMs);
  const round = planRound(state, rows, policy, operationId, isAssigning, nowMs);
  const broken = brokenByRound(state, rows, round.draft, isAssigning);
  if (broken.length === 0) return { round, effects: [] };
  const effects = broken.map((invariant) => counted(invariant));
  const bare = planRound(state, rows, policy, operationId, false, nowMs);
  const isBareBroken = brokenByRound(state, rows, bare.draft, false).length > 0;
  return { round: isBareBroken ? undefined : bare, effects };
};

const isRoundDue = (state: CellState, nowMs: number): boolean =>
  nowMs >= state.nextRoundAtMs && (state.isRoundStale || nowMs >= state.nextFullRoundAtMs);

/**
 * When the next transaction may follow. Changes gather meanwhile, so that one row written
 * carries many of them, and a backlog after an outage does not use the table up for others.
 */
const nextRoundAtMs = (state: CellState, rowCount: number, nowMs: number): number => {
  const { roundIntervalMs, rowsPerSecond } = state.timing;
  return nowMs + Math.max(roundIntervalMs, (rowCount * MS_PER_SECOND) / rowsPerSecond);
};

/** Adds the attempts that have to leave for urgent work and drops those that have left. */
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
      if (view !== undefined) workers.set(workerId, { ...view, isMessageStale: true });
    }),
  );
  return { ...state, preempted, workers };
};

const startRound = (before: CellState, policy: PlacementPolicy, nowMs: number): CellDecision => {
  const { rows, pending } = before;
  if (rows === undefined || pending !== undefined || !isRoundDue(before, nowMs)) {
    return unchanged(before);
  }
  // What a look has found is read first: urgent work among it would wait for another round.
  if (before.arrivals !== undefined) return unchanged(before);
  const state = { ...before, oversizedSinceMs: oversizedSince(before, rows, nowMs) };
  const operationId = `${state.lease.selfId}:${state.cell}:${state.operationCount}`;
  const { round, effects } = checkedRound(state, rows, policy, operationId, nowMs);
  const planned = {
    ...withPreempted(state, rows, round),
    quotaWaits: round?.quotaWaits ?? state.quotaWaits,
    handOn: round?.handOn ?? state.handOn,
    isRoundStale: false,
    nextFullRoundAtMs: nowMs + FULL_ROUND_INTERVAL_MS,
  };
  if (round === undefined || !round.draft.hasChanges) return { state: planned, effects };
  const transaction = toTransaction(state, rows, round, operationId);
  const { dropped } = ledgerChange(rows, round.draft);
  const zones = state.configuration?.view;
  return {
    state: {
      ...planned,
      ...round.learnt,
      operationCount: state.operationCount + 1,
      unreachedWorkerIds: new Set([...state.unreachedWorkerIds, ...round.draft.unreached.keys()]),
      nextRoundAtMs: nextRoundAtMs(state, transaction.writes.length, nowMs),
      pending: {
        kind: 'commit',
        draft: round.draft,
        sentAtMs: nowMs,
        droppedAttempts: new Set(dropped.map(attemptKey)),
        provesZone: zones !== undefined && isZoneInUse(zones, state.cell),
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
    broken.forEach((invariant) => effects.push(counted(invariant)));
    const command = broken.length === 0 ? planned.command : { ...planned.command, starts: [] };
    effects.push({ kind: 'command', workerId, command });
  });
  return workers === undefined ? unchanged(state) : { state: { ...state, workers }, effects };
};

const stepLease = (state: CellState, nowMs: number): CellDecision => {
  const operationId = `${state.lease.selfId}:${state.cell}:lease:${state.operationCount}`;
  const next = nextLeaseStep(state.lease, state.timing, operationId, nowMs);
  if (next === undefined) return unchanged(state);
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
    (current) => unchanged(learnFromUsage(current, nowMs)),
    (current) => startRound(current, policy, nowMs),
    (current) => startFence(current, nowMs),
    (current) => startRead(current, nowMs),
    (current) => stepInterference(current, nowMs),
    (current) => sendCommands(current, nowMs),
  ]);
};
