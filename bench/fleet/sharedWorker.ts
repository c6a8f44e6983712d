/**
 * Models a worker whose tasks share its processors. Services use a share that varies periodically,
 * and fillers share the processors that the other tasks leave idle. A service's tail latency is
 * inversely proportional to its spare capacity.
 */
import type { RandomSource } from '../../src/base/common/random.js';
import {
  OrderOutcome,
  RunEnd,
  type RunReference,
} from '../../src/services/fleet/common/fleetWorker.js';
import { type ModelRun, type RunFigures, WorkerModel } from '../../standIns/fleet/workerModel.js';
import type { FleetShape } from './fleetShape.js';
import type { FleetTruth, TaskTruth } from './truth.js';

const FULL_PERCENT = 100;
/** Time until a change of pace takes effect, and time for a run to restore its checkpoint. */
const PACE_DELAY_MS = 100;
const RESTORE_MS = 600;
const SAVE_INTERVAL_MS = 1_000;
export const STOP_MS = 200;
const MAXIMUM_LEASE_MS = 6_000;
/** Averaging window and relative noise of the figures that the worker reports. */
const FIGURE_WINDOW_MS = 500;
const FIGURE_NOISE = 0.05;
const MINIMUM_SPARE_SHARE = 0.01;

/** Simulated state of one run. */
export interface SharedRun {
  readonly run: ModelRun;
  readonly truth: TaskTruth;
  /** Completed work, in milliseconds at full speed; can be negative during a restore. */
  doneMs: number;
  savedMs: number;
  pacePercent: number;
  nextPacePercent: number;
  paceChangesAtMs: number;
  /** Processors currently in use. */
  usedMillis: number;
  /**
   * For a service: its current tail latency, and the tail latency that it would have if no fillers
   * ran.
   */
  tailMs: number;
  tailWithoutFillersMs: number;
  /** The reported figure: a service's smoothed tail latency, or a batch task's smoothed usage. */
  figure: number;
}

export interface SharedWorkerOptions {
  readonly id: string;
  readonly processorMillis: number;
  readonly shape: FleetShape;
  readonly truth: FleetTruth;
  readonly random: RandomSource;
  /** Called with the work that is lost when a run ends, in processor-seconds. */
  readonly onWasted: (processorSeconds: number) => void;
}

const NO_FIGURES: RunFigures = { checkpoint: '', workedPercent: 0, recentMeasurement: 0 };

/** The progress that the task's next run starts from. */
const savedMsOf = ({ truth, savedMs, doneMs, run }: SharedRun): number => {
  if (!truth.savesProgress) return 0;
  return run.end === RunEnd.Stopped ? Math.max(savedMs, doneMs) : savedMs;
};

const updateFigure = (shared: SharedRun, passedMs: number): void => {
  const isServing = shared.truth.loadPhase !== undefined;
  const now = isServing ? shared.tailMs : shared.usedMillis;
  const weight = shared.figure === 0 ? 1 : Math.min(1, (2 * passedMs) / FIGURE_WINDOW_MS);
  shared.figure += (now - shared.figure) * weight;
};

export class SharedWorker {
  readonly model: WorkerModel;

  readonly shared = new Map<ModelRun, SharedRun>();

  /** While this is set, every batch run fails at its next tick. */
  isFaulty = false;

  readonly #options: SharedWorkerOptions;

  readonly #failures: Map<string, number>;

  #tickedAtMs: number;

  constructor(options: SharedWorkerOptions, failures: Map<string, number>, nowMs: number) {
    this.#options = options;
    this.#failures = failures;
    this.#tickedAtMs = nowMs;
    const { id, processorMillis, shape } = options;
    this.model = new WorkerModel(
      {
        id,
        capacity: { processorMillis, memoryBytes: shape.memoryBytes, acceleratorCount: 0 },
        maximumLeaseMs: MAXIMUM_LEASE_MS,
        stopMs: STOP_MS,
        clockRate: 1,
        taskOf: () => ({ workMs: Number.POSITIVE_INFINITY, end: RunEnd.Done }),
        onStart: () => {},
        figuresOf: (run) => this.#figuresOf(run),
      },
      nowMs,
    );
  }

  /** Tracks a new run, which starts from the checkpoint unless that is empty. */
  trackStart(taskName: string, checkpoint: string, nowMs: number): void {
    const run = this.model.runs.get(taskName);
    const truth = this.#options.truth.tasks.get(taskName);
    if (run === undefined || truth === undefined || this.shared.has(run)) return;
    const savedMs = checkpoint === '' ? 0 : Number(checkpoint);
    this.shared.set(run, {
      ...{ run, truth, savedMs },
      doneMs: savedMs > 0 ? savedMs - RESTORE_MS : 0,
      ...{ pacePercent: FULL_PERCENT, nextPacePercent: FULL_PERCENT, paceChangesAtMs: nowMs },
      ...{ usedMillis: 0, tailMs: 0, tailWithoutFillersMs: 0, figure: 0 },
    });
  }

  pace({ taskName, run, fence }: RunReference, percent: number, nowMs: number): OrderOutcome {
    const known = this.model.runs.get(taskName);
    const shared = known?.run === run ? this.shared.get(known) : undefined;
    if (shared !== undefined && fence > 0) {
      shared.nextPacePercent = percent;
      shared.paceChangesAtMs = nowMs + PACE_DELAY_MS;
    }
    return OrderOutcome.Accepted;
  }

  /** Advances the model to `nowMs`. */
  tick(nowMs: number): void {
    const passedMs = nowMs - this.#tickedAtMs;
    this.#tickedAtMs = nowMs;
    this.#removeEnded();
    const runs = [...this.shared.values()];
    this.#shareProcessors(runs, nowMs);
    runs.forEach((shared) => this.#advance(shared, passedMs, nowMs));
    this.#measureTails(runs, nowMs);
    runs.forEach((shared) => updateFigure(shared, passedMs));
    this.model.advance(nowMs);
    this.#removeEnded();
  }

  #removeEnded(): void {
    this.shared.forEach((shared, run) => {
      if (this.model.runs.get(run.taskName) === run) return;
      this.shared.delete(run);
      if (run.end === RunEnd.Done || shared.truth.workMs === Number.POSITIVE_INFINITY) return;
      const lostMs = Math.max(0, shared.doneMs) - savedMsOf(shared);
      this.#options.onWasted((Math.max(0, lostMs) * shared.truth.processorMillis) / 1e6);
    });
  }

  #shareProcessors(runs: readonly SharedRun[], nowMs: number): void {
    let idleMillis = this.#options.processorMillis;
    let requestedMillis = 0;
    runs.forEach((shared) => {
      const { truth } = shared;
      if (nowMs >= shared.paceChangesAtMs) shared.pacePercent = shared.nextPacePercent;
      const runMillis = (truth.processorMillis * shared.pacePercent) / FULL_PERCENT;
      if (truth.isFiller) {
        requestedMillis += runMillis;
        return;
      }
      const load =
        truth.loadPhase === undefined ? 1 : this.#options.truth.loadAt(truth.loadPhase, nowMs);
      shared.usedMillis = runMillis * load;
      idleMillis -= shared.usedMillis;
    });
    const grantedShare =
      requestedMillis === 0 ? 0 : Math.min(1, Math.max(0, idleMillis) / requestedMillis);
    runs.forEach((shared) => {
      if (!shared.truth.isFiller) return;
      shared.usedMillis =
        (shared.truth.processorMillis * shared.pacePercent * grantedShare) / FULL_PERCENT;
    });
  }

  #advance(shared: SharedRun, passedMs: number, nowMs: number): void {
    const { run, truth } = shared;
    if (truth.loadPhase !== undefined) return;
    shared.doneMs += passedMs * (shared.usedMillis / Math.max(1, truth.processorMillis));
    if (shared.doneMs - shared.savedMs >= SAVE_INTERVAL_MS) shared.savedMs = shared.doneMs;
    if (run.end !== RunEnd.Done || run.endsAtMs <= nowMs) return;
    const failures = this.#failures.get(run.taskName) ?? truth.failureCount;
    const isFailing = this.isFaulty || (failures > 0 && shared.doneMs >= truth.workMs / 2);
    if (isFailing) {
      this.#failures.set(run.taskName, Math.max(0, failures - 1));
      run.end = RunEnd.Failed;
      run.endsAtMs = nowMs;
    } else if (shared.doneMs >= truth.workMs) run.endsAtMs = nowMs;
  }

  #measureTails(runs: readonly SharedRun[], nowMs: number): void {
    const { truth: fleetTruth, shape, processorMillis } = this.#options;
    const { unloadedTailMs } = shape.service;
    runs.forEach((shared) => {
      const { truth } = shared;
      if (truth.loadPhase === undefined) return;
      const load = fleetTruth.loadAt(truth.loadPhase, nowMs);
      let pressure = 0;
      runs.forEach((other) => {
        if (!other.truth.isFiller) return;
        const cost = fleetTruth.costAt(truth.image, other.truth.image, nowMs);
        pressure += (cost * other.usedMillis) / processorMillis;
      });
      shared.tailWithoutFillersMs = unloadedTailMs / Math.max(MINIMUM_SPARE_SHARE, 1 - load);
      shared.tailMs = unloadedTailMs / Math.max(MINIMUM_SPARE_SHARE, 1 - load - pressure);
    });
  }

  #figuresOf(run: ModelRun): RunFigures {
    const shared = this.shared.get(run);
    if (shared === undefined) return NO_FIGURES;
    const { truth, doneMs, figure } = shared;
    const isServing = truth.loadPhase !== undefined;
    const worked = isServing ? 1 : Math.max(0, doneMs) / truth.workMs;
    const noise = 1 + FIGURE_NOISE * (2 * this.#options.random.nextFraction() - 1);
    const savedMs = savedMsOf(shared);
    return {
      checkpoint: savedMs > 0 ? String(Math.round(savedMs)) : '',
      workedPercent: Math.min(FULL_PERCENT, Math.floor(worked * FULL_PERCENT)),
      recentMeasurement: Math.round(figure * (isServing ? noise : 1)),
    };
  }
}
