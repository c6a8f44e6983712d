/**
 * Schedules submissions on workers that enforce their own leases. One daemon at a time owns the
 * whole fleet. Events come in through the `handle` methods, each with the current time; `step`
 * returns the effects that are due. The class uses no socket, timer or clock.
 *
 * The assignment of a task to a worker is stored before the start is sent. Workers list their runs
 * and refuse orders under a lower fence than the highest they have seen. An owner that has received
 * a worker's hold answer under its own fence therefore knows all runs there. A worker that the
 * owner cannot reach can only run the tasks that are stored as assigned to it. Those tasks wait
 * until the worker's leases have ended.
 */
import { type Either, isLeft, isRight } from 'fp-ts/lib/Either.js';

import type { Failure } from '../../../services/errors/common/errorKinds.js';
import {
  NO_OPERATOR_STATE,
  type OperatorState,
} from '../../../services/fleet/common/fleetConfiguration.js';
import {
  type FleetWorkerEntry,
  type HoldOutcome,
  OrderOutcome,
  type RunReference,
  StartOutcome,
} from '../../../services/fleet/common/fleetWorker.js';
import {
  type RosterEntry,
  ROSTER_KEY,
} from '../../../services/submissions/common/submissionRows.js';
import type {
  ReadResult,
  Transaction,
  TransactionResult,
} from '../../../services/table/common/table.js';
import type { LeaseStepKind } from '../cellLease.js';
import {
  holdEffects,
  noteUnknownRun,
  startEffect,
  stopEffects,
  stopStuckRuns,
} from './fleetCalls.js';
import { FillerPacing } from './fillerPacing.js';
import type { FleetEffect } from './fleetEffects.js';
import { StopReason } from './decisionLog.js';
import { FleetOwnership } from './fleetOwnership.js';
import { DrainMoves } from './drainMoves.js';
import { placeWaiting } from './fleetRound.js';
import {
  dropExpiredRuns,
  followConfiguration,
  newFleetState,
  NOTHING_STORED,
  updateWorkers,
  roundInput,
  type StoredState,
  type SubmissionChange,
  applyChanges,
  type FleetState,
} from './fleetState.js';
import type { FleetPolicy } from './fleetPolicy.js';
import type { FleetTiming } from './fleetTiming.js';
import { HOLD_RETRY_MS } from './holdTiming.js';
import { isStartDue, NOT_SENT, otherRunsOfGang, splitRecorded } from './runStarts.js';
import { StartsInFlight } from './startsInFlight.js';
import { OwnerLoadLimiter } from './ownerLoadLimiter.js';
import { RunState, type TaskRun } from './taskRecords.js';
import { obstaclesOf, type RoundInput } from './usableWorkers.js';
import { DelayCause, WaitReason } from './waitReason.js';
import type { ObstaclesOf } from './waitReport.js';

export class FleetScheduler {
  readonly #timing: FleetTiming;

  readonly #policy: FleetPolicy;

  readonly #ownership: FleetOwnership;

  #operator: OperatorState = NO_OPERATOR_STATE;

  #operatorConfirmedAtMs = Number.NEGATIVE_INFINITY;

  #state: FleetState | undefined;

  #loadingEpoch = 0;

  /** Epochs that have ended and whose end has not been logged yet. */
  #endedEpochs: number[] = [];

  readonly #startsInFlight = new StartsInFlight();

  readonly #pacing = new FillerPacing();

  readonly #moves = new DrainMoves();

  readonly #loadLimiter = new OwnerLoadLimiter();

  constructor(
    selfId: string,
    timing: FleetTiming,
    acquireDelayMs: number,
    policy: FleetPolicy,
    nowMs: number,
  ) {
    this.#timing = timing;
    this.#policy = policy;
    this.#ownership = new FleetOwnership(selfId, timing, acquireDelayMs, nowMs);
  }

  get isOwner(): boolean {
    return this.#ownership.isOwner;
  }

  /** The epoch in which this daemon schedules; undefined until it has loaded the stored state. */
  get epoch(): number | undefined {
    return this.#state?.epoch;
  }

  /** The time in milliseconds since the previous owner's last seen heartbeat or its release. */
  predecessorQuietMs(nowMs: number): number {
    return nowMs - this.#ownership.predecessorQuietSinceMs;
  }

  liveEpoch(nowMs: number): number | undefined {
    return this.#ownership.liveEpoch(nowMs);
  }

  handleOperatorState(operator: OperatorState): void {
    this.#operator = operator;
  }

  /** Every change that operators made before `confirmedAtMs` has been handled. */
  handleOperatorConfirmed(confirmedAtMs: number): void {
    this.#operatorConfirmedAtMs = confirmedAtMs;
  }

  handleLeaseRead(result: Either<Failure, ReadResult>, sentAtMs: number, nowMs: number): void {
    this.#ownership.handleRead(result, sentAtMs, nowMs);
    this.#dropEndedState();
  }

  handleLeaseWritten(
    step: LeaseStepKind,
    result: Either<Failure, TransactionResult>,
    sentAtMs: number,
    nowMs: number,
  ): void {
    this.#ownership.handleWritten(step, result, sentAtMs, nowMs);
    this.#dropEndedState();
  }

  /**
   * Takes over the stored state, which was requested at `sentAtMs`. If it is undefined, reading
   * failed and `step` requests a new load.
   */
  handleLoaded(
    epoch: number,
    stored: StoredState | undefined,
    sentAtMs: number,
    nowMs: number,
  ): void {
    if (this.#loadingEpoch !== epoch) return;
    this.#loadingEpoch = 0;
    if (stored === undefined || !this.isOwner || this.#ownership.epoch !== epoch) return;
    const leasesOverAtMs = (entry: RosterEntry): number =>
      this.#ownership.formerLeasesOverAtMs(entry, stored.roster.epoch, nowMs);
    const operator = (): OperatorState => this.#operator;
    this.#state = newFleetState(epoch, stored, leasesOverAtMs, operator, this.#policy, nowMs);
    this.#state.workersReadAtMs = sentAtMs;
  }

  handleChanges(epoch: number, changes: readonly SubmissionChange[], nowMs: number): void {
    if (this.#state?.epoch !== epoch) return;
    applyChanges(this.#state, changes, NOTHING_STORED, nowMs);
  }

  /** All submissions and cancellations that callers made before `sentAtMs` have been handled. */
  handleCaughtUp(epoch: number, sentAtMs: number): void {
    if (this.#state?.epoch === epoch) this.#state.caughtUpAtMs = sentAtMs;
  }

  /** Handles the list of workers in the table, which was requested at `sentAtMs`. */
  handleWorkers(
    epoch: number,
    entries: readonly FleetWorkerEntry[],
    sentAtMs: number,
    nowMs: number,
  ): void {
    const state = this.#state;
    if (state?.epoch !== epoch || sentAtMs < state.workersReadAtMs) return;
    updateWorkers(state, entries, this.#timing, sentAtMs, nowMs);
  }

  handleHeld(
    epoch: number,
    workerId: string,
    result: Either<Failure, HoldOutcome>,
    sentAtMs: number,
    nowMs: number,
  ): void {
    const state = this.#state;
    const view = state?.views.get(workerId);
    if (state?.epoch !== epoch || view === undefined) return;
    view.isHoldInFlight = false;
    view.nextHoldAtMs = nowMs;
    const outcome = isRight(result) ? result.right : undefined;
    if (outcome?.kind === 'fenced') {
      this.#giveUpFleet(nowMs);
      return;
    }
    if (outcome?.kind !== 'held') {
      view.isSilent = true;
      view.nextHoldAtMs = nowMs + HOLD_RETRY_MS;
      return;
    }
    if (!view.hasAnswered) view.boundFormerLeases(this.#timing, nowMs);
    const unknown = state.runTracker.handleHoldAnswer(view, outcome.answer, sentAtMs, nowMs);
    if (view.isNewProcess) view.boundLeasesOfNewProcess(this.#timing, nowMs);
    unknown.forEach((running) => noteUnknownRun(state, view, running));
    state.interference.observe(view, nowMs);
    stopStuckRuns(state, view, nowMs);
  }

  handleStarted(
    epoch: number,
    reference: RunReference,
    result: Either<Failure, StartOutcome>,
    nowMs: number,
  ): void {
    const run = this.#startsInFlight.find(reference);
    if (this.#startsInFlight.delete(reference)) this.#loadLimiter.noteStartAnswered();
    if (this.#state?.epoch !== epoch || run === undefined) return;
    const isFenced = isRight(result) && result.right === StartOutcome.Fenced;
    if (isFenced && this.#isSuperseded(reference, epoch)) this.#giveUpFleet(nowMs);
    else {
      this.#state.runTracker.handleStarted(run, result, nowMs);
      this.#pacing.handleStarted(run);
    }
  }

  /** Whether a start that has waited for its turn may be sent now. */
  isStartDue(epoch: number, reference: RunReference, nowMs: number): boolean {
    const state = this.#state;
    const run = this.#startsInFlight.find(reference);
    if (state?.epoch !== epoch || run === undefined || !this.#mayStart(state, nowMs)) return false;
    const terms = { timing: this.#timing, roster: state.roster, operator: this.#operator };
    return isStartDue(run, state.views.get(run.workerId), terms, nowMs);
  }

  /** Handles a start that was not sent. A gang whose member is withheld does not start. */
  handleWithheld(epoch: number, reference: RunReference, nowMs: number): void {
    const run = this.#startsInFlight.find(reference);
    this.handleStarted(epoch, reference, NOT_SENT, nowMs);
    if (this.#state?.epoch !== epoch || run === undefined) return;
    this.#state.runTracker.requestStops(otherRunsOfGang(run), StopReason.NotWanted, nowMs);
  }

  handleStopped(
    epoch: number,
    reference: RunReference,
    result: Either<Failure, OrderOutcome>,
    nowMs: number,
  ): void {
    if (this.#state?.epoch !== epoch) return;
    const isFenced = isRight(result) && result.right === OrderOutcome.Fenced;
    if (isFenced && this.#isSuperseded(reference, epoch)) {
      this.#giveUpFleet(nowMs);
      return;
    }
    const view = this.#state.views.get(reference.workerId);
    const run = view?.findRun(reference);
    if (run !== undefined) this.#state.runTracker.handleStopped(run, result, nowMs);
  }

  handlePaced(
    epoch: number,
    reference: RunReference,
    percent: number,
    result: Either<Failure, OrderOutcome>,
    nowMs: number,
  ): void {
    const view = this.#state?.views.get(reference.workerId);
    const run = view?.findRun(reference);
    if (run === undefined || this.#state?.epoch !== epoch) return;
    this.#pacing.handleAnswered(run);
    if (isLeft(result)) return;
    if (result.right === OrderOutcome.Fenced) {
      if (this.#isSuperseded(reference, epoch)) this.#giveUpFleet(nowMs);
    } else FillerPacing.recordAccepted(run, percent, nowMs);
  }

  /** Returns the starts of runs whose assignments are now stored, or the rows to read again. */
  handleCommitted(
    epoch: number,
    result: Either<Failure, TransactionResult>,
    nowMs: number,
  ): readonly FleetEffect[] {
    const state = this.#state;
    if (state?.epoch !== epoch) return [];
    const { commits, registry, roster } = state;
    const { request, recorded } = commits.handleCommitted(result, registry, roster, nowMs);
    if (request !== undefined) return [{ kind: 'resolve', epoch, request }];
    const effects = [...this.#startRecorded(state, recorded, nowMs)];
    // Commits the changes that came in meanwhile at once, because the next step may be far off.
    this.#commit(state, effects, nowMs);
    return effects;
  }

  /** Returns false if the rows have to be read again. */
  handleResolved(epoch: number, result: Either<Failure, ReadResult>): boolean {
    if (this.#state?.epoch !== epoch) return true;
    return this.#state.commits.handleResolved(result);
  }

  /** Releases the fleet before the daemon ends. Returns the transaction to write. */
  release(): Transaction | undefined {
    const state = this.#state;
    this.#state = undefined;
    const transaction = this.#ownership.release();
    if (transaction === undefined || state === undefined) return transaction;
    const toTableMs = (atMs: number): number | undefined => this.#ownership.toTableMs(atMs);
    const row = state.roster.lastRow([...state.views.values()], toTableMs);
    // The roster row needs no condition of its own: a commit in flight has a condition on the owner
    // row, so it is stored either before this transaction or not at all.
    return { ...transaction, writes: [...transaction.writes, { key: ROSTER_KEY, value: row }] };
  }

  /** Records a step that was due at `dueAtMs`. Returns whether the start rate has been reduced. */
  handleStepTaken(dueAtMs: number, beganAtMs: number, endedAtMs: number): boolean {
    return this.#loadLimiter.noteStep(dueAtMs, beganAtMs, endedAtMs) && this.#state !== undefined;
  }

  /** The limit of starts per second, which follows what this daemon's processor can handle. */
  get startLimitPerS(): number {
    return this.#loadLimiter.startLimitPerS;
  }

  /** Returns the effects that are due now. */
  step(wallNowMs: number, nowMs: number): readonly FleetEffect[] {
    const effects: FleetEffect[] = [];
    const leaseEffect = this.#ownership.nextEffect(nowMs);
    if (leaseEffect !== undefined) effects.push(leaseEffect);
    this.#followOwnership(effects);
    const state = this.#state;
    if (state === undefined) return effects;
    followConfiguration(state, this.#operator.configuration, this.#timing, nowMs);
    dropExpiredRuns(state, this.#timing, nowMs);
    state.registry.openDueOccurrences(wallNowMs, nowMs);
    state.runTracker.inherit(state.registry.takeInherited(), nowMs);
    this.#placeWaiting(state, nowMs);
    effects.push(...stopEffects(state, nowMs));
    effects.push(...holdEffects(state, this.#timing, this.#ownership, nowMs));
    effects.push(...this.#pacing.effects(state, nowMs));
    this.#commit(state, effects, nowMs);
    state.decisionLog.addAwaited(state.views.values(), nowMs);
    const { configuration } = this.#operator;
    if (configuration !== undefined) {
      const { delayReport, registry } = state;
      const delays = delayReport.collect(registry, configuration, wallNowMs, nowMs);
      state.decisionLog.addDelays(delays);
    }
    const entries = state.decisionLog.drain(state.epoch, nowMs);
    entries.forEach((entry) => effects.push({ kind: 'log', ...entry }));
    return effects;
  }

  #followOwnership(effects: FleetEffect[]): void {
    const { isOwner, epoch } = this.#ownership;
    if (this.#endedEpochs.length > 0) effects.push({ kind: 'disconnect' });
    this.#endedEpochs.forEach((ended) =>
      effects.push({ kind: 'log', event: 'fleet-lost', fields: { epoch: ended } }),
    );
    this.#endedEpochs = [];
    if (!isOwner || this.#state !== undefined || this.#loadingEpoch === epoch) return;
    this.#loadingEpoch = epoch;
    effects.push({ kind: 'load', epoch });
  }

  /**
   * Whether a fenced refusal shows that another daemon owns the fleet. A worker also refuses calls
   * that this owner sent before it raised the worker's fence.
   */
  #isSuperseded({ workerId, fence }: RunReference, epoch: number): boolean {
    const view = this.#state?.views.get(workerId);
    return view === undefined || fence >= view.fence(epoch);
  }

  #giveUpFleet(nowMs: number): void {
    this.#ownership.giveUp(nowMs);
    this.#dropEndedState();
  }

  /**
   * Drops the state of an epoch that has ended. This happens at once, so that the next answer is
   * not handled under the condition of a later epoch.
   */
  #dropEndedState(): void {
    const { isOwner, epoch } = this.#ownership;
    if (this.#state === undefined || (isOwner && this.#state.epoch === epoch)) return;
    this.#endedEpochs.push(this.#state.epoch);
    this.#state = undefined;
    this.#startsInFlight.clear();
    this.#pacing.clear();
    this.#moves.clear();
  }

  #roundInput(state: FleetState, nowMs: number): RoundInput {
    const congestedWorkers = this.#startsInFlight.congestedWorkers(nowMs);
    return roundInput(state, this.#operator, this.#policy, this.#timing, congestedWorkers);
  }

  /**
   * Callers are promised that a submission starts nothing some seconds after its cancellation,
   * operators that nothing starts in a zone some seconds after its withdrawal, and workers that
   * nothing starts some seconds after they report that they drain.
   */
  #mayStart(state: FleetState, nowMs: number): boolean {
    const { feedFreshnessMs, operatorFreshnessMs, workerListFreshnessMs } = this.#timing;
    const isCaughtUp = nowMs - state.caughtUpAtMs <= feedFreshnessMs;
    const areWorkersKnown = nowMs - state.workersReadAtMs <= workerListFreshnessMs;
    const isOperatorKnown = nowMs - this.#operatorConfirmedAtMs <= operatorFreshnessMs;
    return isCaughtUp && areWorkersKnown && isOperatorKnown && this.#ownership.mayGrant(nowMs);
  }

  #placeWaiting(state: FleetState, nowMs: number): void {
    if (!this.#mayStart(state, nowMs)) {
      state.registry.noteDelay(DelayCause.StartsPaused, nowMs);
      return;
    }
    const limits = this.#loadLimiter.roundLimits(nowMs);
    const input = this.#roundInput(state, nowMs);
    this.#moves.placeMoved(input, nowMs);
    const { runTracker } = state;
    const outcome = placeWaiting(
      input,
      limits,
      () =>
        runTracker.requestStops(
          this.#moves.nextPersistent(input, nowMs),
          StopReason.Draining,
          nowMs,
        ),
      nowMs,
    );
    const unfinishable = this.#moves.nextUnfinishable(input, nowMs);
    runTracker.requestStops(unfinishable, StopReason.Unfinishable, nowMs);
    this.#loadLimiter.noteRound(outcome);
    const obstacles: ObstaclesOf = (task) => obstaclesOf(task, input, nowMs);
    state.decisionLog.addWaits(state.registry.waiting, outcome.waits, obstacles, nowMs);
    if (outcome.waits.has(WaitReason.NoRoom)) state.decisionLog.addRoom(outcome.usableViews, nowMs);
  }

  #startRecorded(
    state: FleetState,
    recorded: readonly TaskRun[],
    nowMs: number,
  ): readonly FleetEffect[] {
    const input = this.#roundInput(state, nowMs);
    const mayStart = this.#mayStart(state, nowMs);
    const { startable, blocked } = splitRecorded(recorded, input, mayStart, nowMs);
    blocked.forEach((run) => state.runTracker.withdraw(run, nowMs));
    state.decisionLog.addStarts(startable, state.epoch, nowMs);
    return startable.flatMap((run) => this.#sendStart(state, run, nowMs));
  }

  #sendStart(state: FleetState, run: TaskRun, nowMs: number): readonly FleetEffect[] {
    const view = state.views.get(run.workerId);
    const limitAtMs = state.roster.grantLimitMs(run.workerId);
    const leaseEndWorkerMs = view?.grantLease(this.#timing, limitAtMs, nowMs);
    if (view === undefined || leaseEndWorkerMs === undefined) {
      state.runTracker.withdraw(run, nowMs);
      return [];
    }
    run.state = RunState.Starting;
    run.startedAtMs = nowMs;
    this.#startsInFlight.add(run);
    return [startEffect(state, view, run, leaseEndWorkerMs)];
  }

  #commit(state: FleetState, effects: FleetEffect[], nowMs: number): void {
    const { epoch, registry, views, commits, roster, interference } = state;
    const { condition, selfId: id } = this.#ownership;
    const input = {
      ...{ registry, views: views.values(), roster, interference },
      owner: { condition, id, epoch },
      toTableMs: (atMs: number) => this.#ownership.toTableMs(atMs),
      ...{ intervalMs: this.#timing.commitIntervalMs, limits: this.#policy.storeLimits },
    };
    const transaction = commits.next(input, nowMs);
    state.decisionLog.addTooLarge(commits.takeTooLarge());
    if (transaction !== undefined) effects.push({ kind: 'commit', epoch, transaction });
  }
}
