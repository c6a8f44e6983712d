/** What callers and the users of services get out of one modelled day. */
import type { BatchKind, FleetShape } from './fleetShape.js';
import type { FleetDriver } from './fleetDriver.js';
import type { SharedRun } from './sharedWorker.js';
import type { Arrival, BatchObjective } from './workload.js';

const SAMPLE_MS = 100;
const MS_PER_S = 1_000;
const LATE_FACTOR = 3;
/** From a progress that is stored until its caller has seen it. */
const SEEN_AFTER_MS = 50;
/** Users notice a tail that is over its target for so long. */
const NOTICED_MS = 4_000;
/** A part of each submission's worth is the same for all, the rest goes with its work. */
const FIXED_SHARE = 0.3;
const GREATEST_WORTH = 4;
/** How much more a service loses by fillers than by its own load. */
const CAUSED_WEIGHT = 4;
/** Services come up before they are owed anything. */
const COMING_UP_MS = 4_000;

export interface BatchOutcome {
  inTime: number;
  late: number;
  never: number;
  earned: number;
  owed: number;
}

export interface DayOutcome {
  readonly urgent: BatchOutcome;
  readonly filler: BatchOutcome;
  /** Of fillers, the largest tenth. */
  readonly largest: BatchOutcome;
  readonly service: { earned: number; owed: number };
  /** Task-seconds over the target, those caused by fillers, and spells that users notice. */
  overS: number;
  causedS: number;
  noticedCount: number;
}

const newBatchOutcome = (): BatchOutcome => ({ inTime: 0, late: 0, never: 0, earned: 0, owed: 0 });

export const shareEarned = ({ earned, owed }: { earned: number; owed: number }): number =>
  owed === 0 ? 1 : earned / owed;

export class OutcomeMeter {
  readonly outcome: DayOutcome = {
    ...{ urgent: newBatchOutcome(), filler: newBatchOutcome(), largest: newBatchOutcome() },
    ...{ service: { earned: 0, owed: 0 }, overS: 0, causedS: 0, noticedCount: 0 },
  };

  readonly #shape: FleetShape;

  readonly #driver: FleetDriver;

  readonly #arrivals: readonly Arrival[];

  /** Since when each service's task has been over its target through fillers. */
  readonly #overSinceMs = new Map<string, number>();

  constructor(shape: FleetShape, driver: FleetDriver, arrivals: readonly Arrival[]) {
    this.#shape = shape;
    this.#driver = driver;
    this.#arrivals = arrivals;
    this.#sampleLater();
  }

  #sampleLater(): void {
    this.#driver.time.after(SAMPLE_MS, () => {
      this.#sample(this.#driver.time.nowMs);
      this.#sampleLater();
    });
  }

  #sample(nowMs: number): void {
    const { trafficFromMs, trafficUntilMs, service } = this.#shape;
    if (nowMs < trafficFromMs || nowMs > trafficUntilMs) return;
    const running = this.#runningServices();
    const worthPerSample = (service.worth * SAMPLE_MS) / service.worthIntervalMs;
    this.#arrivals.forEach(({ atMs, batch, submission, cancelledAtMs }) => {
      const isOwed =
        batch === undefined && nowMs >= atMs + COMING_UP_MS && nowMs < (cancelledAtMs ?? 0);
      if (!isOwed) return;
      const taskCount = submission.steps[0]?.taskCount ?? 1;
      let serving = 0;
      for (let index = 0; index < taskCount; index += 1) {
        const name = `${submission.id}.0.0.${index}`;
        const run = running.get(name);
        if (run !== undefined) serving += 1 - this.#lossOf(name, run, nowMs);
        else this.#overSinceMs.delete(name);
      }
      this.outcome.service.owed += worthPerSample;
      this.outcome.service.earned += worthPerSample * Math.max(0, serving / taskCount);
    });
  }

  #runningServices(): ReadonlyMap<string, SharedRun> {
    const running = new Map<string, SharedRun>();
    this.#driver.workers.forEach((worker, id) => {
      if (this.#driver.isGone(id)) return;
      worker.shared.forEach((shared) => {
        if (shared.truth.loadPhase !== undefined) running.set(shared.run.taskName, shared);
      });
    });
    return running;
  }

  /** What the task loses of its worth at the moment. */
  #lossOf(name: string, { tailMs, tailAloneMs }: SharedRun, nowMs: number): number {
    const { targetLatencyMs } = this.#shape.service;
    const isCaused = tailMs > targetLatencyMs && tailAloneMs <= targetLatencyMs;
    if (tailMs <= targetLatencyMs) {
      this.#overSinceMs.delete(name);
      return 0;
    }
    this.outcome.overS += SAMPLE_MS / MS_PER_S;
    if (!isCaused) return 1;
    this.outcome.causedS += SAMPLE_MS / MS_PER_S;
    const sinceMs = this.#overSinceMs.get(name) ?? nowMs;
    this.#overSinceMs.set(name, sinceMs);
    const overMs = nowMs - sinceMs;
    if (overMs >= NOTICED_MS && overMs < NOTICED_MS + SAMPLE_MS) this.outcome.noticedCount += 1;
    return CAUSED_WEIGHT;
  }

  /** Takes in how all batch work ended; called at the end of the day. */
  finish(): DayOutcome {
    const { urgent, filler } = this.#shape;
    [urgent, filler].forEach((kind) => this.#finishKind(kind));
    return this.outcome;
  }

  #finishKind(kind: BatchKind): void {
    const ofKind = this.#arrivals.flatMap(({ atMs, batch, submission }) =>
      batch?.kind === kind ? [{ atMs, batch, id: submission.id }] : [],
    );
    const works = ofKind.map(({ batch }) => batch.processorSeconds);
    const meanWork = works.reduce((sum, work) => sum + work, 0) / Math.max(1, works.length);
    const sorted = [...works].sort((left, right) => left - right);
    const large = sorted[Math.floor(sorted.length * 0.9)] ?? Number.POSITIVE_INFINITY;
    ofKind.forEach(({ atMs, batch, id }) => {
      const tookMs = (this.#driver.completedAtMs.get(id) ?? Number.POSITIVE_INFINITY) - atMs;
      const work = batch.processorSeconds / meanWork;
      const weight = Math.min(GREATEST_WORTH, FIXED_SHARE + (1 - FIXED_SHARE) * work);
      const into = kind.isFiller ? this.outcome.filler : this.outcome.urgent;
      OutcomeMeter.#add(into, batch, weight, tookMs + SEEN_AFTER_MS);
      if (!kind.isFiller || batch.processorSeconds < large) return;
      OutcomeMeter.#add(this.outcome.largest, batch, weight, tookMs + SEEN_AFTER_MS);
    });
  }

  static #add(
    into: BatchOutcome,
    { kind, chainMs }: BatchObjective,
    weight: number,
    tookMs: number,
  ): void {
    const objectiveMs = kind.objectiveStretch * chainMs + kind.objectiveMs;
    into.owed += kind.worth * weight;
    if (tookMs <= objectiveMs) {
      into.inTime += 1;
      into.earned += kind.worth * weight;
    } else if (tookMs <= LATE_FACTOR * objectiveMs) {
      into.late += 1;
      into.earned += kind.lateWorth * weight;
    } else into.never += 1;
  }
}
