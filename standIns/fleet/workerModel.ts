/**
 * Models a worker of the platform in virtual or real time. The worker enforces its leases by its own
 * clock and lists running and finished tasks. It does not check its capacity.
 */
import {
  type FinishedRun,
  type HoldAnswer,
  type HoldOutcome,
  type HoldRequest,
  OrderOutcome,
  RunEnd,
  type RunningTask,
  type RunReference,
  StartOutcome,
  type StartRequest,
} from '../../src/services/fleet/common/fleetWorker.js';
import type { Resources } from '../../src/services/worker/common/resources.js';

/** The behaviour of a task after its start. */
export interface ModelTask {
  readonly workMs: number;
  readonly end: RunEnd;
  /** The work between two saves of its progress; undefined if the task saves none. */
  readonly saveIntervalMs?: number;
}

/** The figures that a worker reports for a run. */
export type RunFigures = Pick<RunningTask, 'checkpoint' | 'workedPercent' | 'recentMeasurement'>;

export interface WorkerModelOptions {
  readonly id: string;
  readonly capacity: Resources;
  readonly maximumLeaseMs: number;
  readonly stopMs: number;
  /** The rate of the worker's clock relative to real time. */
  readonly clockRate: number;
  readonly taskOf: (taskName: string) => ModelTask;
  readonly onStart: (taskName: string, run: number, nowMs: number) => void;
  readonly onEnd?: (finished: FinishedRun, endedAtMs: number) => void;
  /** Called on each advance while the worker has no valid lease. */
  readonly onLapse?: () => void;
  /** Called when ends up to `sequence` are acknowledged. */
  readonly onAcknowledge?: (sequence: number, nowMs: number) => void;
  /** By default, progress is proportional to elapsed time. */
  readonly figuresOf?: (run: ModelRun) => RunFigures;
}

export interface ModelRun {
  readonly taskName: string;
  readonly run: number;
  readonly startedAtMs: number;
  /** The work done before this run. The checkpoints of the model are this number as text. */
  readonly resumedMs: number;
  readonly saveIntervalMs: number | undefined;
  endsAtMs: number;
  end: RunEnd;
}

const progressMs = (run: ModelRun, nowMs: number): number =>
  run.resumedMs + nowMs - run.startedAtMs;

/** Returns the checkpoint of the last save, or of the end if the task was stopped. */
const checkpointOf = (run: ModelRun, nowMs: number): string => {
  const { saveIntervalMs } = run;
  if (saveIntervalMs === undefined) return '';
  const workedMs = progressMs(run, nowMs);
  if (run.end === RunEnd.Stopped && nowMs >= run.endsAtMs) return String(workedMs);
  const savedMs = Math.max(run.resumedMs, Math.floor(workedMs / saveIntervalMs) * saveIntervalMs);
  return savedMs === 0 ? '' : String(savedMs);
};

const LISTED_ENDS = 500;
const WHOLE_PERCENT = 100;

export class WorkerModel {
  readonly #options: WorkerModelOptions;

  #bootedAtMs: number;

  #incarnation: number;

  #highestFence = 0;

  #leaseEndWorkerMs = 0;

  #sequence = 0;

  /** Ends up to this sequence are removed, including later ones. */
  #acknowledgedSequence = 0;

  #finished: FinishedRun[] = [];

  /** The highest run number that the worker refuses to start, by task. */
  readonly #refusedUpTo = new Map<string, number>();

  readonly runs = new Map<string, ModelRun>();

  isUp = true;

  constructor(options: WorkerModelOptions, nowMs: number) {
    this.#options = options;
    this.#bootedAtMs = nowMs;
    this.#incarnation = nowMs + 1;
  }

  get id(): string {
    return this.#options.id;
  }

  get incarnation(): number {
    return this.#incarnation;
  }

  /** The time at which the lease of all running tasks ends. */
  get leaseEndsAtMs(): number {
    return this.#bootedAtMs + this.#leaseEndWorkerMs / this.#options.clockRate;
  }

  /** Ends the process. All running tasks and all state are lost. */
  crash(): void {
    this.isUp = false;
    this.runs.clear();
    this.#finished = [];
    this.#refusedUpTo.clear();
  }

  restart(nowMs: number): void {
    this.isUp = true;
    this.#bootedAtMs = nowMs;
    this.#incarnation = nowMs + 1;
    this.#highestFence = 0;
    this.#leaseEndWorkerMs = 0;
    this.#sequence = 0;
    this.#acknowledgedSequence = 0;
  }

  /** Ends all runs that are due and detects a lapsed lease. */
  advance(nowMs: number): void {
    [...this.runs.values()]
      .sort((left, right) => left.endsAtMs - right.endsAtMs)
      .forEach((run) => {
        const { leaseEndsAtMs } = this;
        if (run.endsAtMs <= Math.min(nowMs, leaseEndsAtMs)) this.#finish(run, run.end);
        else if (leaseEndsAtMs <= nowMs) this.#finish(run, RunEnd.Lapsed);
      });
    if (this.leaseEndsAtMs <= nowMs) this.#options.onLapse?.();
  }

  /** Carries out a hold. It acknowledges no ends if it names another process of the worker. */
  hold(request: HoldRequest, nowMs: number): HoldOutcome {
    this.advance(nowMs);
    if (!this.#acceptsFence(request.fence)) return { kind: 'fenced' };
    const isAddressed = request.incarnation === this.#incarnation;
    const acknowledgedSequence = isAddressed ? request.acknowledgedSequence : 0;
    this.#acknowledgedSequence = Math.max(this.#acknowledgedSequence, acknowledgedSequence);
    this.#forgetAcknowledged(nowMs);
    if (request.leaseEndWorkerMs !== undefined) this.#extendLease(request.leaseEndWorkerMs, nowMs);
    return { kind: 'held', answer: { ...this.#answer(nowMs), acknowledgedSequence } };
  }

  /** Whether a hold request that may wait gets its answer now. */
  hasNewEnds(nowMs: number): boolean {
    this.advance(nowMs);
    return this.#finished.length > 0;
  }

  start(request: StartRequest, nowMs: number): StartOutcome {
    this.advance(nowMs);
    if (!this.#acceptsFence(request.fence)) return StartOutcome.Fenced;
    const runningRun = this.runs.get(request.taskName);
    if (runningRun?.run === request.run) return StartOutcome.Started;
    if (request.leaseEndWorkerMs <= this.#clockMs(nowMs)) return StartOutcome.Late;
    this.#extendLease(request.leaseEndWorkerMs, nowMs);
    if (request.run <= (this.#refusedUpTo.get(request.taskName) ?? 0))
      return StartOutcome.Superseded;
    const { workMs, end, saveIntervalMs } = this.#options.taskOf(request.taskName);
    const resumedMs = saveIntervalMs === undefined ? 0 : Number(request.checkpoint);
    this.runs.set(request.taskName, {
      taskName: request.taskName,
      run: request.run,
      startedAtMs: nowMs,
      ...{ resumedMs, saveIntervalMs, end },
      endsAtMs: nowMs + workMs - resumedMs,
    });
    this.#options.onStart(request.taskName, request.run, nowMs);
    return StartOutcome.Started;
  }

  stop({ taskName, run, fence }: RunReference, nowMs: number): OrderOutcome {
    this.advance(nowMs);
    if (!this.#acceptsFence(fence)) return OrderOutcome.Fenced;
    this.#refusedUpTo.set(taskName, Math.max(run, this.#refusedUpTo.get(taskName) ?? 0));
    const running = this.runs.get(taskName);
    if (running?.run === run && running.endsAtMs > nowMs + this.#options.stopMs) {
      running.endsAtMs = nowMs + this.#options.stopMs;
      running.end = RunEnd.Stopped;
    }
    return OrderOutcome.Accepted;
  }

  #acceptsFence(fence: number): boolean {
    if (fence < this.#highestFence) return false;
    this.#highestFence = fence;
    return true;
  }

  #clockMs(nowMs: number): number {
    return Math.floor((nowMs - this.#bootedAtMs) * this.#options.clockRate);
  }

  #extendLease(leaseEndWorkerMs: number, nowMs: number): void {
    const latest = this.#clockMs(nowMs) + this.#options.maximumLeaseMs;
    const granted = Math.min(leaseEndWorkerMs, latest);
    this.#leaseEndWorkerMs = Math.max(this.#leaseEndWorkerMs, granted);
  }

  #finish(run: ModelRun, end: RunEnd): void {
    this.runs.delete(run.taskName);
    this.#refusedUpTo.set(
      run.taskName,
      Math.max(run.run, this.#refusedUpTo.get(run.taskName) ?? 0),
    );
    this.#sequence += 1;
    const { taskName } = run;
    const endedAtMs = Math.min(run.endsAtMs, this.leaseEndsAtMs);
    const finished = {
      sequence: this.#sequence,
      taskName,
      run: run.run,
      end,
      checkpoint: this.#options.figuresOf?.(run).checkpoint ?? checkpointOf(run, endedAtMs),
    };
    this.#finished.push(finished);
    this.#options.onEnd?.(finished, endedAtMs);
    if (this.#sequence <= this.#acknowledgedSequence) this.#forgetAcknowledged(run.endsAtMs);
  }

  #forgetAcknowledged(nowMs: number): void {
    const upTo = this.#acknowledgedSequence;
    this.#finished = this.#finished.filter(({ sequence }) => sequence > upTo);
    this.#options.onAcknowledge?.(upTo, nowMs);
  }

  #answer(nowMs: number): Omit<HoldAnswer, 'acknowledgedSequence'> {
    const figuresOf =
      this.#options.figuresOf ??
      ((run: ModelRun): RunFigures => ({
        checkpoint: checkpointOf(run, nowMs),
        workedPercent: Math.floor(
          (WHOLE_PERCENT * progressMs(run, nowMs)) / Math.max(1, progressMs(run, run.endsAtMs)),
        ),
        recentMeasurement: 0,
      }));
    return {
      workerClockMs: this.#clockMs(nowMs),
      incarnation: this.#incarnation,
      running: [...this.runs.values()].map((run) => ({
        taskName: run.taskName,
        run: run.run,
        ...figuresOf(run),
      })),
      finished: this.#finished.slice(0, LISTED_ENDS),
      isFinishedTruncated: this.#finished.length >= LISTED_ENDS,
    };
  }
}
