/** Tracks the runs on the workers by what the workers list and answer. */
import { type Either, isLeft } from 'fp-ts/lib/Either.js';

import { type Failure, WorkOutcome } from '../../../services/errors/common/errorKinds.js';
import type { OperatorState } from '../../../services/fleet/common/fleetConfiguration.js';
import {
  type FinishedRun,
  type HoldAnswer,
  OrderOutcome,
  RunEnd,
  type RunningTask,
  StartOutcome,
} from '../../../services/fleet/common/fleetWorker.js';
import type { WorkerHealth } from '../workerHealth.js';
import { type DecisionLog, StopReason } from './decisionLog.js';
import { runKey, type FleetWorkerView } from './fleetWorkerView.js';
import { queueTermsOf } from './queueTerms.js';
import { EvidenceKind, isRunOver, type RunEvidence, type WorkerEvidence } from './runEvidence.js';
import type { InheritedTask, SubmissionRegistry } from './submissionRegistry.js';
import { failureCount, isOpen, RunState, type TaskRecord, type TaskRun } from './taskRecords.js';

/** How long a refused task waits, so that the next round tries other workers first. */
const REFUSED_RETRY_MS = 100;
/** The delay before a stop that failed or got no answer is sent again. */
const STOP_RETRY_MS = 300;
const FULL_PERCENT = 100;
/** The headroom of a task without latency figures, which counts as being at half its target. */
const UNKNOWN_HEADROOM = 2;

export interface StopDue {
  readonly run: TaskRun;
  readonly view: FleetWorkerView;
}

export const newRun = (
  task: TaskRecord,
  run: number,
  workerId: string,
  nowMs: number,
  plannedPercent = FULL_PERCENT,
): TaskRun => ({
  task,
  run,
  previousRun: task.lastRun,
  workerId,
  state: RunState.Assigned,
  settledAtMs: Number.POSITIVE_INFINITY,
  startedAtMs: nowMs,
  isStopInFlight: false,
  isStopConfirmed: false,
  workedPercent: 0,
  firstListed: undefined,
  percentUnchangedSinceMs: nowMs,
  recentMeasurement: 0,
  headroom: UNKNOWN_HEADROOM,
  overTargetSinceMs: undefined,
  pacePercent: FULL_PERCENT,
  plannedPercent,
  paceLoweredAtMs: nowMs,
});

/** Whether a failure shows that the order was certainly not executed. */
const isCertainlyNotExecuted = (cause: Failure): boolean =>
  cause.workOutcome === WorkOutcome.NotRun;

export class RunTracker {
  readonly #registry: SubmissionRegistry;

  readonly #views: ReadonlyMap<string, FleetWorkerView>;

  readonly #operator: () => OperatorState;

  readonly #decisionLog: DecisionLog;

  /** Runs to stop, each with the instant at which its next stop is sent. */
  readonly #stops = new Map<TaskRun, number>();

  #health: WorkerHealth;

  constructor(
    registry: SubmissionRegistry,
    views: ReadonlyMap<string, FleetWorkerView>,
    operator: () => OperatorState,
    health: WorkerHealth,
    decisionLog: DecisionLog,
  ) {
    this.#registry = registry;
    this.#views = views;
    this.#operator = operator;
    this.#health = health;
    this.#decisionLog = decisionLog;
  }

  get health(): WorkerHealth {
    return this.#health;
  }

  /** Handles a worker's lists, which were requested at `sentAtMs`. Returns the unknown runs. */
  handleHoldAnswer(
    view: FleetWorkerView,
    answer: HoldAnswer,
    sentAtMs: number,
    nowMs: number,
  ): readonly RunningTask[] {
    if (!view.hasAnswered) view.incarnation = answer.incarnation;
    if (answer.incarnation !== view.incarnation) {
      this.#decisionLog.addNewProcess(view, answer);
      view.noteIncarnation(answer.incarnation, nowMs);
    }
    // Until the new process has seen the raised fence, it may still execute a start to the old one.
    if (!view.isFencedSince(sentAtMs)) return [];
    if (view.isNewProcess) this.dropAll(view, { kind: EvidenceKind.AnotherProcess }, nowMs);
    view.noteAnswer(answer, nowMs);
    const ended = answer.finished.filter((finished) => this.#handleEnd(view, finished, nowMs));
    this.#decisionLog.addEnds(view.id, ended, nowMs);
    const unknown = answer.running.filter((running) => !this.#handleRunning(view, running, nowMs));
    if (!answer.isFinishedTruncated) this.#dropUnlisted(view, answer, sentAtMs, nowMs);
    view.unknownRunCount = unknown.length;
    return unknown;
  }

  handleStarted(run: TaskRun, result: Either<Failure, StartOutcome>, nowMs: number): void {
    const view = this.#views.get(run.workerId);
    if (view?.hasRun(run) !== true) return;
    if (isLeft(result)) {
      if (isCertainlyNotExecuted(result.left)) this.#dropRefused(view, run, nowMs);
      else this.#noteUnanswered(run, nowMs);
      return;
    }
    if (result.right !== StartOutcome.Started) {
      this.#dropRefused(view, run, nowMs);
      return;
    }
    this.#registry.noteStarted(run.task.submission);
    if (run.state !== RunState.Starting) return;
    run.state = RunState.Running;
    run.settledAtMs = nowMs;
    run.percentUnchangedSinceMs = nowMs;
  }

  handleStopped(run: TaskRun, result: Either<Failure, OrderOutcome>, nowMs: number): void {
    run.isStopInFlight = false;
    if (!this.#stops.has(run)) return;
    if (isLeft(result) || result.right !== OrderOutcome.Accepted) {
      this.#stops.set(run, nowMs + STOP_RETRY_MS);
      return;
    }
    // From now on the worker refuses the run, even if its start is still in flight.
    this.#stops.delete(run);
    run.isStopConfirmed = true;
    run.settledAtMs = nowMs;
  }

  #requestStop(run: TaskRun, nowMs: number): void {
    run.state = RunState.Stopping;
    this.#stops.set(run, nowMs);
  }

  /** Requests stops of runs. Their room stays taken until the workers no longer list them. */
  requestStops(runs: readonly TaskRun[], reason: StopReason, nowMs: number): void {
    const toStop = runs.filter(({ state }) => state !== RunState.Stopping);
    this.#decisionLog.addStops(toStop, reason);
    toStop.forEach((run) => {
      if (run.state === RunState.Assigned) this.withdraw(run, nowMs);
      else this.#requestStop(run, nowMs);
    });
  }

  /** Withdraws a run whose start has not been sent. */
  withdraw(run: TaskRun, nowMs: number): void {
    const view = this.#views.get(run.workerId);
    if (view !== undefined) this.#drop(view, run, { kind: EvidenceKind.NotSent }, nowMs);
  }

  /**
   * Takes over the runs of a former owner. They count as running until their workers list them or
   * the workers' leases have ended. An unknown worker has no runs, because owners keep a worker on
   * the roster until its runs are over.
   */
  inherit(tasks: readonly InheritedTask[], nowMs: number): void {
    tasks.forEach(({ task, inherited }) => {
      const view = this.#views.get(inherited.workerId);
      if (view !== undefined) this.#addListed(view, task, inherited.run, nowMs);
    });
  }

  #addListed(view: FleetWorkerView, task: TaskRecord, number: number, nowMs: number): TaskRun {
    const run = newRun(task, number, view.id, nowMs);
    run.state = RunState.Running;
    run.settledAtMs = nowMs;
    view.addRun(run);
    this.#registry.addRun(run);
    return run;
  }

  takeDueStops(nowMs: number): readonly StopDue[] {
    const due: StopDue[] = [];
    this.#stops.forEach((dueAtMs, run) => {
      const view = this.#views.get(run.workerId);
      if (run.isStopInFlight || nowMs < dueAtMs || view === undefined) return;
      run.isStopInFlight = true;
      due.push({ run, view });
    });
    return due;
  }

  /** Drops all runs of the worker that the evidence shows to be over. */
  dropAll(view: FleetWorkerView, evidence: WorkerEvidence, nowMs: number): void {
    const runs = [...view.runs.values()];
    const lost = runs.filter((run) => this.#drop(view, run, evidence, nowMs));
    this.#decisionLog.addLosses(view, lost, evidence.kind, nowMs);
  }

  /** Returns false for an end that was handled before or whose submission is unknown. */
  #handleEnd(view: FleetWorkerView, finished: FinishedRun, nowMs: number): boolean {
    if (finished.sequence <= view.handledSequence) return false;
    view.handledSequence = finished.sequence;
    const task = this.#registry.find(finished.taskName);
    if (task === undefined) return false;
    const wasOpen = isOpen(task.submission);
    task.lastRun = Math.max(task.lastRun, finished.run);
    const run = view.runs.get(runKey(finished.taskName, finished.run));
    this.#noteCheckpoint(task, finished.checkpoint, run?.startedAtMs ?? nowMs, nowMs);
    this.#updateHealth(view, finished, task, nowMs);
    const others = this.#registry.noteEnd(task, finished.run, finished.end, nowMs);
    this.requestStops(
      others.filter((other) => other !== run),
      StopReason.NotWanted,
      nowMs,
    );
    this.#failIfOutOfAttempts(task, nowMs);
    if (run !== undefined) this.#drop(view, run, { kind: EvidenceKind.EndListed }, nowMs);
    if (wasOpen && !isOpen(task.submission)) this.#decisionLog.addSubmissionEnd(task);
    return true;
  }

  #updateHealth(
    view: FleetWorkerView,
    finished: FinishedRun,
    task: TaskRecord,
    nowMs: number,
  ): void {
    const startedAtMs = view.runs.get(runKey(task.name, finished.run))?.startedAtMs;
    if (finished.end === RunEnd.Done) {
      this.#health = this.#health.withSuccess(view.id, startedAtMs);
    }
    if (finished.end !== RunEnd.Failed) return;
    this.noteFault(view, task, nowMs, startedAtMs);
  }

  /** Records that a task failed or made no progress on the worker. */
  noteFault(view: FleetWorkerView, task: TaskRecord, nowMs: number, startedAtMs = nowMs): void {
    const { id } = task.submission.submission;
    this.#health = this.#health.withFailure(view.id, id, this.#views.size, nowMs, startedAtMs);
  }

  /**
   * Fails the submissions of waiting tasks that have no attempts left by the configuration in force,
   * which may be another one than when their last attempt failed.
   */
  failOutOfAttempts(nowMs: number): void {
    [...this.#registry.waiting].forEach((task) => {
      if (!isOpen(task.submission)) return;
      this.#failIfOutOfAttempts(task, nowMs);
      if (!isOpen(task.submission)) this.#decisionLog.addSubmissionEnd(task);
    });
  }

  #failIfOutOfAttempts(task: TaskRecord, nowMs: number): void {
    if (task.step.isPersistent || !isOpen(task.submission)) return;
    const { submission } = task.submission;
    const { maximumAttempts } = queueTermsOf(submission, this.#operator().configuration);
    if (failureCount(task) < Math.max(1, maximumAttempts)) return;
    this.requestStops(this.#registry.fail(task.submission), StopReason.Failed, nowMs);
  }

  /** Returns false for a run whose submission is unknown. */
  #handleRunning(view: FleetWorkerView, running: RunningTask, nowMs: number): boolean {
    const known = view.runs.get(runKey(running.taskName, running.run));
    const run = known ?? this.#addLateRun(view, running, nowMs);
    if (run === undefined) return false;
    const { task } = run;
    this.#noteCheckpoint(task, running.checkpoint, run.startedAtMs, nowMs);
    run.firstListed ??= { percent: running.workedPercent, atMs: nowMs };
    if (running.workedPercent !== run.workedPercent) {
      run.workedPercent = running.workedPercent;
      run.percentUnchangedSinceMs = nowMs;
    }
    run.recentMeasurement = running.recentMeasurement;
    if (run.state === RunState.Starting || run.state === RunState.Unanswered) {
      this.#stops.delete(run);
      run.state = RunState.Running;
      run.settledAtMs = nowMs;
      run.percentUnchangedSinceMs = nowMs;
    }
    this.#registry.noteStarted(task.submission);
    return true;
  }

  #noteCheckpoint(task: TaskRecord, checkpoint: string, startedAtMs: number, nowMs: number): void {
    if (!isOpen(task.submission)) return;
    this.#registry.checkpoints.noteListed(task, checkpoint, startedAtMs, nowMs);
  }

  /** Adds a run that this owner gave up and that the worker started late. */
  #addLateRun(view: FleetWorkerView, running: RunningTask, nowMs: number): TaskRun | undefined {
    const task = this.#registry.find(running.taskName);
    if (task === undefined) return undefined;
    const isWanted = isOpen(task.submission) && !task.isDone && task.runs.length === 0;
    const run = this.#addListed(view, task, running.run, nowMs);
    this.#registry.markAssignmentsDirty(task);
    if (isWanted) this.#registry.noteStarted(task.submission);
    else this.requestStops([run], StopReason.NotWanted, nowMs);
    return run;
  }

  #dropUnlisted(view: FleetWorkerView, answer: HoldAnswer, sentAtMs: number, nowMs: number): void {
    const listed = new Set(answer.running.map(({ taskName, run }) => runKey(taskName, run)));
    [...view.runs].forEach(([key, run]) => {
      if (listed.has(key)) return;
      this.#drop(view, run, { kind: EvidenceKind.Unlisted, requestedAtMs: sentAtMs }, nowMs);
    });
  }

  /**
   * Handles a start without an answer, which the worker may execute seconds later. The run keeps
   * its room until the worker lists it as running or confirms a stop, which bars the run for good.
   */
  #noteUnanswered(run: TaskRun, nowMs: number): void {
    if (run.state !== RunState.Starting) return;
    run.state = RunState.Unanswered;
    this.#stops.set(run, nowMs);
  }

  #dropRefused(view: FleetWorkerView, run: TaskRun, nowMs: number): void {
    run.task.notBeforeMs = nowMs + REFUSED_RETRY_MS;
    this.#drop(view, run, { kind: EvidenceKind.Refused }, nowMs);
  }

  /**
   * Drops a run and frees its room, which happens only here. Returns false if it may not be over.
   */
  #drop(view: FleetWorkerView, run: TaskRun, evidence: RunEvidence, nowMs: number): boolean {
    if (!isRunOver(run, view, evidence, nowMs)) return false;
    this.#stops.delete(run);
    view.removeRun(run);
    this.#registry.removeRun(run, nowMs);
    return true;
  }
}
