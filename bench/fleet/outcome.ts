/** Measures the value that callers and service users receive in one simulation. */
import type { BatchKind, FleetShape } from './fleetShape.js';
import type { FleetDriver } from './fleetDriver.js';
import type { SharedRun } from './sharedWorker.js';
import type { Arrival, BatchObjective } from './workload.js';

const SAMPLE_MS = 100;
const MS_PER_S = 1_000;
/** A submission is late up to this multiple of its objective, and missed after that. */
const LATE_FACTOR = 3;
/** Delay between storing progress and the caller seeing it. */
const NOTIFICATION_DELAY_MS = 50;
/** Users notice a tail latency that exceeds its target for this long. */
const NOTICEABLE_MS = 4_000;
/** The share of a submission's value that is fixed; the rest is proportional to its work. */
const FIXED_VALUE_SHARE = 0.3;
const MAXIMUM_WEIGHT = 4;
/** Ranks at which the next-largest fifth and the largest tenth of the submissions begin. */
const LARGE_RANKS = [0.7, 0.9] as const;
/** Weight of time over the target caused by fillers; time caused by the service's load weighs 1. */
const INTERFERENCE_WEIGHT = 4;
/** Services are not evaluated during this time after their arrival. */
const STARTUP_MS = 4_000;

export interface BatchOutcome {
  inTime: number;
  late: number;
  missed: number;
  earned: number;
  attainable: number;
}

/** Outcomes of the large submissions of one kind, by their amount of work. */
export interface LargeOutcomes {
  /** The largest tenth of the submissions. */
  readonly largest: BatchOutcome;
  /** The fifth of the submissions that ranks below the largest tenth. */
  readonly nextLargest: BatchOutcome;
}

export interface SimulationOutcome {
  readonly urgent: BatchOutcome;
  readonly filler: BatchOutcome;
  readonly largeUrgent: LargeOutcomes;
  readonly largeFiller: LargeOutcomes;
  readonly service: { earned: number; attainable: number };
  /**
   * Task-seconds over the latency target, the part of them caused by fillers, and the number of
   * periods over the target that users notice.
   */
  overTargetS: number;
  causedByFillersS: number;
  noticedCount: number;
}

const newBatchOutcome = (): BatchOutcome => ({
  inTime: 0,
  late: 0,
  missed: 0,
  earned: 0,
  attainable: 0,
});

const newLargeOutcomes = (): LargeOutcomes => ({
  largest: newBatchOutcome(),
  nextLargest: newBatchOutcome(),
});

/** The share of submissions that ended in time or late, when their results were still useful. */
export const shareServed = ({ inTime, late, missed }: BatchOutcome): number =>
  (inTime + late) / Math.max(1, inTime + late + missed);

/** Earned value as a share of the attainable value; 1 if none is attainable. */
export const shareEarned = ({
  earned,
  attainable,
}: {
  earned: number;
  attainable: number;
}): number => (attainable === 0 ? 1 : earned / attainable);

export class OutcomeMeter {
  readonly outcome: SimulationOutcome = {
    ...{ urgent: newBatchOutcome(), filler: newBatchOutcome() },
    ...{ largeUrgent: newLargeOutcomes(), largeFiller: newLargeOutcomes() },
    ...{
      service: { earned: 0, attainable: 0 },
      overTargetS: 0,
      causedByFillersS: 0,
      noticedCount: 0,
    },
  };

  readonly #shape: FleetShape;

  readonly #driver: FleetDriver;

  readonly #arrivals: readonly Arrival[];

  /** The time since which each serving task has exceeded its target because of fillers. */
  readonly #slowedSinceMs = new Map<string, number>();

  constructor(shape: FleetShape, driver: FleetDriver, arrivals: readonly Arrival[]) {
    this.#shape = shape;
    this.#driver = driver;
    this.#arrivals = arrivals;
    this.#scheduleSample();
  }

  #scheduleSample(): void {
    this.#driver.time.after(SAMPLE_MS, () => {
      this.#sample(this.#driver.time.nowMs);
      this.#scheduleSample();
    });
  }

  #sample(nowMs: number): void {
    const { trafficFromMs, trafficUntilMs, service } = this.#shape;
    if (nowMs < trafficFromMs || nowMs > trafficUntilMs) return;
    const running = this.#runningServices();
    const valuePerSample = (service.value * SAMPLE_MS) / service.valueIntervalMs;
    this.#arrivals.forEach(({ atMs, batch, submission, cancelledAtMs }) => {
      const isEvaluated =
        batch === undefined && nowMs >= atMs + STARTUP_MS && nowMs < (cancelledAtMs ?? 0);
      if (!isEvaluated) return;
      const taskCount = submission.steps[0]?.taskCount ?? 1;
      let serving = 0;
      for (let index = 0; index < taskCount; index += 1) {
        const name = `${submission.id}.0.0.${index}`;
        const run = running.get(name);
        if (run !== undefined) serving += 1 - this.#lossOf(name, run, nowMs);
        else this.#slowedSinceMs.delete(name);
      }
      this.outcome.service.attainable += valuePerSample;
      this.outcome.service.earned += valuePerSample * Math.max(0, serving / taskCount);
    });
  }

  #runningServices(): ReadonlyMap<string, SharedRun> {
    const running = new Map<string, SharedRun>();
    this.#driver.workers.forEach((worker, id) => {
      if (this.#driver.isLost(id)) return;
      worker.shared.forEach((shared) => {
        if (shared.truth.loadPhase !== undefined) running.set(shared.run.taskName, shared);
      });
    });
    return running;
  }

  /** The task's lost value at this sample, as a multiple of its value; 0 if it meets the target. */
  #lossOf(name: string, { tailMs, tailWithoutFillersMs }: SharedRun, nowMs: number): number {
    const { targetLatencyMs } = this.#shape.service;
    const isCausedByFillers = tailMs > targetLatencyMs && tailWithoutFillersMs <= targetLatencyMs;
    if (tailMs <= targetLatencyMs) {
      this.#slowedSinceMs.delete(name);
      return 0;
    }
    this.outcome.overTargetS += SAMPLE_MS / MS_PER_S;
    if (!isCausedByFillers) return 1;
    this.outcome.causedByFillersS += SAMPLE_MS / MS_PER_S;
    const sinceMs = this.#slowedSinceMs.get(name) ?? nowMs;
    this.#slowedSinceMs.set(name, sinceMs);
    const overMs = nowMs - sinceMs;
    if (overMs >= NOTICEABLE_MS && overMs < NOTICEABLE_MS + SAMPLE_MS)
      this.outcome.noticedCount += 1;
    return INTERFERENCE_WEIGHT;
  }

  /** Adds the outcome of all batch work. Called once, at the end of the simulation. */
  finish(): SimulationOutcome {
    const { urgent, filler } = this.#shape;
    [urgent, filler].forEach((kind) => this.#addOutcomesOf(kind));
    return this.outcome;
  }

  #addOutcomesOf(kind: BatchKind): void {
    const ofKind = this.#arrivals.flatMap(({ atMs, batch, submission }) =>
      batch?.kind === kind ? [{ atMs, batch, id: submission.id }] : [],
    );
    const works = ofKind.map(({ batch }) => batch.processorSeconds);
    const meanWork = works.reduce((sum, work) => sum + work, 0) / Math.max(1, works.length);
    const sorted = [...works].sort((left, right) => left - right);
    const [nextLargestFrom, largestFrom] = LARGE_RANKS.map(
      (rank) => sorted[Math.floor(sorted.length * rank)] ?? Number.POSITIVE_INFINITY,
    ) as [number, number];
    const total = kind.isFiller ? this.outcome.filler : this.outcome.urgent;
    const large = kind.isFiller ? this.outcome.largeFiller : this.outcome.largeUrgent;
    ofKind.forEach(({ atMs, batch, id }) => {
      const tookMs = (this.#driver.completedAtMs.get(id) ?? Number.POSITIVE_INFINITY) - atMs;
      const relativeWork = batch.processorSeconds / meanWork;
      const weight = Math.min(
        MAXIMUM_WEIGHT,
        FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * relativeWork,
      );
      OutcomeMeter.#addOutcome(total, batch, weight, tookMs + NOTIFICATION_DELAY_MS);
      if (batch.processorSeconds < nextLargestFrom) return;
      const sizeTotal = batch.processorSeconds < largestFrom ? large.nextLargest : large.largest;
      OutcomeMeter.#addOutcome(sizeTotal, batch, weight, tookMs + NOTIFICATION_DELAY_MS);
    });
  }

  static #addOutcome(
    total: BatchOutcome,
    { kind, criticalPathMs }: BatchObjective,
    weight: number,
    tookMs: number,
  ): void {
    const objectiveMs = kind.objectiveStretch * criticalPathMs + kind.objectiveMs;
    total.attainable += kind.value * weight;
    if (tookMs <= objectiveMs) {
      total.inTime += 1;
      total.earned += kind.value * weight;
    } else if (tookMs <= LATE_FACTOR * objectiveMs) {
      total.late += 1;
      total.earned += kind.lateValue * weight;
    } else total.missed += 1;
  }
}
