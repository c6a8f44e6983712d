/** Learns how much headroom each batch image takes from each serving image. */
import type { LearntInterference } from '../../../services/submissions/common/submissionRows.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import {
  fillerRuns,
  isAnyOverTarget,
  noteOwnHeadroom,
  servingGroups,
  type ServingGroup,
  servingRuns,
  sizeShare,
} from './headroom.js';
import { correctPair, ImagePairs, isKnownPair, type PairEstimate } from './imagePairs.js';
import { LoadDynamics } from './loadDynamics.js';
import type { LoadReading } from './loadEstimate.js';
import { ServiceLoad } from './serviceLoad.js';
import type { TaskRecord, TaskRun } from './taskRecords.js';

/** A sample covers the last half second, so reading it more often would count it twice. */
const SAMPLE_INTERVAL_MS = 450;
const FULL_PERCENT = 100;

/** Relative deviation of the headroom loss from its mean at any moment. */
const LOSS_SCATTER = 0.3;
/** Relative deviation of a single sample. */
const FIGURE_SCATTER = 0.1;
/** Rounding error: samples are whole milliseconds. */
const LEAST_VARIANCE = 0.01;
/**
 * Below this headroom requests queue up, and the queue drains later. The tail latency then does not
 * show how large the overload is.
 */
const QUEUEING_HEADROOM = 0.6;
/** Variance added to a sample while queued requests are being served. */
const QUEUEING_VARIANCE = 4;
/** Prior of the headroom at the highest load; the tail latency is then two thirds of the target. */
const USUAL_LOW = 1.5;
/** Weight of one load's lowest headroom in the average of its image. */
const LOW_WEIGHT = 0.1;

/** A batch image that runs beside a serving image, and its share of the worker's processors. */
interface Exposure {
  readonly pair: PairEstimate;
  readonly share: number;
}

/** Forecast headroom of the serving tasks of one step on one worker, beside its batch work. */
export interface Bearing {
  readonly image: string;
  /** The headroom at the highest load of the tasks. */
  readonly atWorst: number;
  /** The lowest headroom in the next seconds. */
  readonly soon: number;
  /** The lowest headroom in the next seconds if each filler costs its worst case. */
  readonly soonAtWorst: number;
  /** Whether a filler of an unknown image runs beside the tasks; its effect is not known yet. */
  readonly isOnTrial: boolean;
}

/** The headroom that a filler takes at full pace. */
export interface FillerLoss {
  readonly isKnown: boolean;
  readonly loss: number;
  /** `loss` plus one standard deviation of its uncertainty. */
  readonly worstLoss: number;
}

/**
 * The time range of `Bearing.soon`. It begins when a start takes effect and covers two polls and a
 * change of pace.
 */
const START_DELAY_MS = 300;
const SOON_MS = 2_000;
/** Time until a change of pace takes effect. */
const PACE_DELAY_MS = 200;

/** Forecast headroom of all serving tasks on a worker, from its newest samples. */
export interface WorkerBearings {
  readonly isAnyOverTarget: boolean;
  readonly groups: readonly Bearing[];
}

interface CachedBearings {
  readonly changeCount: number;
  readonly sampledAtMs: number;
  readonly bearings: WorkerBearings;
}

const lossVarianceOf = (exposures: readonly Exposure[]): number =>
  exposures.reduce((sum, { pair, share }) => sum + share * share * pair.variance, 0);

const toReading = (
  { headroom, count }: ServingGroup,
  exposures: readonly Exposure[],
  isQueueing: boolean,
): LoadReading => {
  const loss = exposures.reduce((sum, { pair, share }) => sum + pair.loss * share, 0);
  const scatter = (FIGURE_SCATTER * headroom) ** 2 / count + (LOSS_SCATTER * loss) ** 2;
  const variance = scatter + LEAST_VARIANCE + (isQueueing ? QUEUEING_VARIANCE : 0);
  return { headroom, variance, loss, lossVariance: lossVarianceOf(exposures) };
};

/** Divides the error of a forecast between the load and the pairs by their variances. */
const learn = (
  load: ServiceLoad,
  group: ServingGroup,
  exposures: readonly Exposure[],
  learnsPairs: boolean,
  nowMs: number,
): void => {
  const wasQueueing = load.isQueueing;
  const reading = toReading(group, exposures, wasQueueing);
  load.isQueueing = group.headroom < QUEUEING_HEADROOM;
  const surprise = load.surprise(reading, nowMs);
  // While requests queue up, the tail does not show how low the headroom really is, so a sample
  // above the forecast carries no information.
  if (load.isQueueing && surprise.excess > 0) {
    load.stopSwing();
    return;
  }
  const learnt = learnsPairs ? exposures : [];
  learnt.forEach(({ pair, share }) => {
    const gain = (share * pair.variance) / surprise.variance;
    correctPair(pair, -gain * surprise.excess, 1 - gain * share);
  });
  load.correct(reading, !load.isQueueing && !wasQueueing, nowMs);
};

/** Which estimates are learnt; the others keep their initial values. */
export interface InterferenceOptions {
  /** The headroom that batch images take from serving images. */
  readonly learnsPairs: boolean;
  /** The period that the loads of services share. */
  readonly learnsPeriod: boolean;
}

export const DEFAULT_INTERFERENCE_OPTIONS: InterferenceOptions = {
  learnsPairs: true,
  learnsPeriod: true,
};

export class InterferenceModel {
  readonly #pairs = new ImagePairs();

  readonly #dynamics: LoadDynamics;

  readonly #options: InterferenceOptions;

  /** The usual lowest headroom of loads, by image. */
  readonly #lows = new Map<string, number>();

  readonly #cache = new WeakMap<FleetWorkerView, CachedBearings>();

  constructor(options: InterferenceOptions) {
    this.#options = options;
    this.#dynamics = new LoadDynamics(options.learnsPeriod);
  }

  inherit(pairs: LearntInterference, nowMs: number): void {
    this.#pairs.inherit(pairs, nowMs);
  }

  /** Returns the known pairs, to be stored for the next owner. */
  learnt(): LearntInterference {
    return this.#pairs.learnt();
  }

  /** Updates the estimates of the worker's loads and of the image pairs with its newest samples. */
  observe(view: FleetWorkerView, nowMs: number): void {
    if (nowMs - view.sampledAtMs < SAMPLE_INTERVAL_MS) return;
    view.sampledAtMs = nowMs;
    servingRuns(view).forEach((run) => noteOwnHeadroom(run, nowMs));
    const groups = servingGroups(view);
    const names = new Set(groups.map(({ name }) => name));
    [...view.loads.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => {
        view.loads.delete(name);
      });
    groups.forEach((group) => this.#observeGroup(view, group, nowMs));
  }

  /** Forecasts the headroom of each group of serving tasks beside the batch work on the worker. */
  bearings(view: FleetWorkerView, nowMs: number): WorkerBearings {
    const { changeCount, sampledAtMs } = view;
    const known = this.#cache.get(view);
    if (known?.changeCount === changeCount && known.sampledAtMs === sampledAtMs) {
      return known.bearings;
    }
    const fillers = [...view.runs.values()].filter(({ task }) => task.step.isFiller);
    const groups = [...view.loads.values()].map((load) =>
      this.#bearing(view, load, fillers, nowMs),
    );
    const bearings = { isAnyOverTarget: isAnyOverTarget(view), groups };
    this.#cache.set(view, { changeCount, sampledAtMs, bearings });
    return bearings;
  }

  /** The lowest headroom of a load within `aheadMs`, with batch work at its current pace. */
  expected(view: FleetWorkerView, load: ServiceLoad, aheadMs: number, nowMs: number): number {
    const loss = fillerRuns(view).reduce((sum, run) => sum + this.lossOf(load.image, run, view), 0);
    return load.lowestWithin(PACE_DELAY_MS, aheadMs, nowMs) - loss;
  }

  /** Estimates the headroom that a filler at full pace takes from the tasks of a serving image. */
  exposure(servingImage: string, filler: TaskRecord, view: FleetWorkerView): FillerLoss {
    const pair = this.#pairs.estimate(servingImage, filler.step.image);
    const share = sizeShare(view, filler);
    const loss = pair.loss * share;
    const isKnown = isKnownPair(pair);
    return { isKnown, loss, worstLoss: loss + Math.sqrt(pair.variance) * share };
  }

  /** The headroom that a filler takes at full pace. */
  loss(servingImage: string, filler: TaskRecord, view: FleetWorkerView): number {
    return this.#pairs.estimate(servingImage, filler.step.image).loss * sizeShare(view, filler);
  }

  /** The headroom that a filler takes at its current pace. */
  lossOf(servingImage: string, { task, pacePercent }: TaskRun, view: FleetWorkerView): number {
    return (this.loss(servingImage, task, view) * pacePercent) / FULL_PERCENT;
  }

  #bearing(
    view: FleetWorkerView,
    load: ServiceLoad,
    fillers: readonly TaskRun[],
    nowMs: number,
  ): Bearing {
    const { image } = load;
    let loss = 0;
    let worstCaseLoss = 0;
    let isOnTrial = false;
    fillers.forEach(({ task, plannedPercent }) => {
      const part = plannedPercent / FULL_PERCENT;
      const exposure = this.exposure(image, task, view);
      loss += part * exposure.loss;
      worstCaseLoss += part * exposure.worstLoss;
      isOnTrial ||= !exposure.isKnown;
    });
    const soon = load.lowestWithin(START_DELAY_MS, SOON_MS, nowMs);
    return {
      image,
      atWorst: this.#lowOf(load, nowMs) - loss,
      soon: soon - loss,
      soonAtWorst: soon - worstCaseLoss,
      isOnTrial,
    };
  }

  #lowOf(load: ServiceLoad, nowMs: number): number {
    const usual = this.#lows.get(load.image) ?? USUAL_LOW;
    return load.isWatched(nowMs) ? load.low : Math.min(usual, load.low);
  }

  #observeGroup(view: FleetWorkerView, group: ServingGroup, nowMs: number): void {
    const exposures = this.#exposures(view, group.image, nowMs);
    const known = view.loads.get(group.name);
    const load = known ?? this.#newLoad(group, exposures, nowMs);
    view.loads.set(group.name, load);
    load.advance(nowMs);
    learn(load, group, exposures, this.#options.learnsPairs, nowMs);
    if (load.isWatched(nowMs)) {
      const usual = this.#lows.get(load.image) ?? USUAL_LOW;
      this.#lows.set(load.image, usual + (load.low - usual) * LOW_WEIGHT);
    }
  }

  #newLoad(group: ServingGroup, exposures: readonly Exposure[], nowMs: number): ServiceLoad {
    const { loss } = toReading(group, exposures, false);
    return new ServiceLoad(group.name, group.image, group.headroom + loss, this.#dynamics, nowMs);
  }

  #exposures(view: FleetWorkerView, servingImage: string, nowMs: number): readonly Exposure[] {
    const capacity = Math.max(1, view.entry.capacity.processorMillis);
    const shares = new Map<string, number>();
    fillerRuns(view).forEach(({ task, recentFigure }) => {
      const { image } = task.step;
      shares.set(image, (shares.get(image) ?? 0) + recentFigure / capacity);
    });
    return [...shares]
      .filter(([, share]) => share > 0)
      .map(([image, share]) => ({ pair: this.#pairs.seen(servingImage, image, nowMs), share }));
  }
}
