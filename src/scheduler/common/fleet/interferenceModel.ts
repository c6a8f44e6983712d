/** Learns how much headroom each batch image takes from each serving image. */
import type { LearntInterference } from '../../../services/submissions/common/submissionRows.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import {
  fillerRuns,
  isAnyOverTarget,
  updateOwnHeadroom,
  servingGroups,
  type ServingGroup,
  servingRuns,
  sizeShare,
} from './headroom.js';
import { updatePair, ImagePairs, isKnownPair, type PairEstimate } from './imagePairs.js';
import { LoadDynamics } from './loadDynamics.js';
import type { LoadReading } from './loadEstimate.js';
import { ServiceLoad } from './serviceLoad.js';
import type { TaskRecord, TaskRun } from './taskRecords.js';

/** A sample covers the last half second, so reading it more often would count it twice. */
const SAMPLE_INTERVAL_MS = 450;
const FULL_PERCENT = 100;

/** Relative deviation of the headroom loss from its mean at any moment. */
const LOSS_DEVIATION = 0.3;
/** Relative deviation of a single sample. */
const SAMPLE_DEVIATION = 0.1;
/** Rounding error: samples are whole milliseconds. */
const ROUNDING_VARIANCE = 0.01;
/**
 * Below this headroom requests queue up, and the queue drains later. The tail latency then does not
 * show how large the overload is.
 */
const QUEUEING_HEADROOM = 0.6;
/** Variance added to a sample while queued requests are being served. */
const QUEUEING_VARIANCE = 4;
/** Prior of the headroom at the highest load; the tail latency is then two thirds of the target. */
const DEFAULT_LOW_HEADROOM = 1.5;
/** Weight of one load's lowest headroom in the average of its image. */
const LOW_HEADROOM_WEIGHT = 0.1;

/** A batch image that runs beside a serving image, and its share of the worker's processors. */
interface Exposure {
  readonly pair: PairEstimate;
  readonly share: number;
}

/** Forecast headroom of the serving tasks of one step on one worker, beside its batch work. */
export interface HeadroomForecast {
  readonly image: string;
  /** The headroom at the highest load of the tasks. */
  readonly atPeakLoad: number;
  /** The lowest headroom in the next seconds. */
  readonly soon: number;
  /** The lowest headroom in the next seconds if each filler costs its worst case. */
  readonly soonWorstCase: number;
  /** Whether a filler of an unknown image runs beside the tasks; its effect is not known yet. */
  readonly hasUnknownFiller: boolean;
}

/** The headroom that a filler takes at full pace. */
export interface FillerLoss {
  readonly isKnown: boolean;
  readonly loss: number;
  /** `loss` plus one standard deviation of its uncertainty. */
  readonly worstLoss: number;
}

/**
 * The time range of `HeadroomForecast.soon`. It begins when a start takes effect and covers two
 * polls and a change of pace.
 */
const START_DELAY_MS = 300;
const NEAR_TERM_MS = 2_000;
/** Time until a change of pace takes effect. */
const PACE_DELAY_MS = 200;

/** Forecast headroom of all serving tasks on a worker, from its newest samples. */
export interface WorkerForecast {
  readonly isAnyOverTarget: boolean;
  readonly groups: readonly HeadroomForecast[];
}

interface CachedForecast {
  readonly changeCount: number;
  readonly sampledAtMs: number;
  readonly forecast: WorkerForecast;
}

const lossVarianceOf = (exposures: readonly Exposure[]): number =>
  exposures.reduce((sum, { pair, share }) => sum + share * share * pair.variance, 0);

const toReading = (
  { headroom, count }: ServingGroup,
  exposures: readonly Exposure[],
  isQueueing: boolean,
): LoadReading => {
  const loss = exposures.reduce((sum, { pair, share }) => sum + pair.loss * share, 0);
  const sampleVariance = (SAMPLE_DEVIATION * headroom) ** 2 / count + (LOSS_DEVIATION * loss) ** 2;
  const variance = sampleVariance + ROUNDING_VARIANCE + (isQueueing ? QUEUEING_VARIANCE : 0);
  return { headroom, variance, loss, lossVariance: lossVarianceOf(exposures) };
};

/** Divides the error of a forecast between the load and the pairs by their variances. */
const distributeForecastError = (
  load: ServiceLoad,
  group: ServingGroup,
  exposures: readonly Exposure[],
  learnsPairs: boolean,
  nowMs: number,
): void => {
  const wasQueueing = load.isQueueing;
  const reading = toReading(group, exposures, wasQueueing);
  load.isQueueing = group.headroom < QUEUEING_HEADROOM;
  const innovation = load.innovation(reading, nowMs);
  // While requests queue up, the tail does not show how low the headroom really is, so a sample
  // above the forecast carries no information.
  if (load.isQueueing && innovation.excess > 0) {
    load.resetSlope();
    return;
  }
  const learntExposures = learnsPairs ? exposures : [];
  learntExposures.forEach(({ pair, share }) => {
    const gain = (share * pair.variance) / innovation.variance;
    updatePair(pair, -gain * innovation.excess, 1 - gain * share);
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
  readonly #lowByImage = new Map<string, number>();

  readonly #cache = new WeakMap<FleetWorkerView, CachedForecast>();

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
    servingRuns(view).forEach((run) => updateOwnHeadroom(run, nowMs));
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
  forecast(view: FleetWorkerView, nowMs: number): WorkerForecast {
    const { changeCount, sampledAtMs } = view;
    const known = this.#cache.get(view);
    if (known?.changeCount === changeCount && known.sampledAtMs === sampledAtMs) {
      return known.forecast;
    }
    const fillers = [...view.runs.values()].filter(({ task }) => task.step.isFiller);
    const groups = [...view.loads.values()].map((load) =>
      this.#forecastGroup(view, load, fillers, nowMs),
    );
    const forecast = { isAnyOverTarget: isAnyOverTarget(view), groups };
    this.#cache.set(view, { changeCount, sampledAtMs, forecast });
    return forecast;
  }

  /** The lowest headroom of a load within `aheadMs`, with batch work at its current pace. */
  lowestHeadroom(view: FleetWorkerView, load: ServiceLoad, aheadMs: number, nowMs: number): number {
    const loss = fillerRuns(view).reduce(
      (sum, run) => sum + this.lossAtCurrentPace(load.image, run, view),
      0,
    );
    return load.lowestWithin(PACE_DELAY_MS, aheadMs, nowMs) - loss;
  }

  /** Estimates the headroom that a filler at full pace takes from the tasks of a serving image. */
  fillerLoss(servingImage: string, filler: TaskRecord, view: FleetWorkerView): FillerLoss {
    const pair = this.#pairs.estimate(servingImage, filler.step.image);
    const share = sizeShare(view, filler);
    const loss = pair.loss * share;
    const isKnown = isKnownPair(pair);
    return { isKnown, loss, worstLoss: loss + Math.sqrt(pair.variance) * share };
  }

  /** The headroom that a filler takes at full pace. */
  lossAtFullPace(servingImage: string, filler: TaskRecord, view: FleetWorkerView): number {
    return this.#pairs.estimate(servingImage, filler.step.image).loss * sizeShare(view, filler);
  }

  /** The headroom that a filler takes at its current pace. */
  lossAtCurrentPace(
    servingImage: string,
    { task, pacePercent }: TaskRun,
    view: FleetWorkerView,
  ): number {
    return (this.lossAtFullPace(servingImage, task, view) * pacePercent) / FULL_PERCENT;
  }

  #forecastGroup(
    view: FleetWorkerView,
    load: ServiceLoad,
    fillers: readonly TaskRun[],
    nowMs: number,
  ): HeadroomForecast {
    const { image } = load;
    let loss = 0;
    let worstCaseLoss = 0;
    let hasUnknownFiller = false;
    fillers.forEach(({ task, plannedPercent }) => {
      const part = plannedPercent / FULL_PERCENT;
      const fillerLoss = this.fillerLoss(image, task, view);
      loss += part * fillerLoss.loss;
      worstCaseLoss += part * fillerLoss.worstLoss;
      hasUnknownFiller ||= !fillerLoss.isKnown;
    });
    const soon = load.lowestWithin(START_DELAY_MS, NEAR_TERM_MS, nowMs);
    return {
      image,
      atPeakLoad: this.#lowHeadroomOf(load, nowMs) - loss,
      soon: soon - loss,
      soonWorstCase: soon - worstCaseLoss,
      hasUnknownFiller,
    };
  }

  #lowHeadroomOf(load: ServiceLoad, nowMs: number): number {
    const usual = this.#lowByImage.get(load.image) ?? DEFAULT_LOW_HEADROOM;
    return load.hasReliableLow(nowMs) ? load.low : Math.min(usual, load.low);
  }

  #observeGroup(view: FleetWorkerView, group: ServingGroup, nowMs: number): void {
    const exposures = this.#exposures(view, group.image, nowMs);
    const known = view.loads.get(group.name);
    const load = known ?? this.#newLoad(group, exposures, nowMs);
    view.loads.set(group.name, load);
    load.advance(nowMs);
    distributeForecastError(load, group, exposures, this.#options.learnsPairs, nowMs);
    if (load.hasReliableLow(nowMs)) {
      const usual = this.#lowByImage.get(load.image) ?? DEFAULT_LOW_HEADROOM;
      this.#lowByImage.set(load.image, usual + (load.low - usual) * LOW_HEADROOM_WEIGHT);
    }
  }

  #newLoad(group: ServingGroup, exposures: readonly Exposure[], nowMs: number): ServiceLoad {
    const { loss } = toReading(group, exposures, false);
    return new ServiceLoad(group.name, group.image, group.headroom + loss, this.#dynamics, nowMs);
  }

  #exposures(view: FleetWorkerView, servingImage: string, nowMs: number): readonly Exposure[] {
    const capacity = Math.max(1, view.entry.capacity.processorMillis);
    const shares = new Map<string, number>();
    fillerRuns(view).forEach(({ task, recentMeasurement }) => {
      const { image } = task.step;
      shares.set(image, (shares.get(image) ?? 0) + recentMeasurement / capacity);
    });
    return [...shares]
      .filter(([, share]) => share > 0)
      .map(([image, share]) => ({ pair: this.#pairs.markSeen(servingImage, image, nowMs), share }));
  }
}
