/** Learns which images of batch work take how much headroom from which images that serve. */
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

/** A listed figure covers the last half second; a sooner one repeats it. */
const SAMPLE_INTERVAL_MS = 450;
const FULL_PERCENT = 100;

/** Batch work costs this much more or less than its mean at any moment. */
const LOSS_SCATTER = 0.3;
/** Single figures scatter by a tenth. */
const FIGURE_SCATTER = 0.1;
/** Figures are whole milliseconds. */
const LEAST_VARIANCE = 0.01;
/** Far over the target the tail no longer tells by how much: requests queue up, and drain after. */
const QUEUEING_HEADROOM = 0.6;
/** How much less a figure counts while requests that have queued up are served. */
const QUEUEING_VARIANCE = 4;
/** Headroom of a load at its highest, where nothing is known of it: two thirds of the target. */
const USUAL_LOW = 1.5;
/** Weight of a load's lowest headroom in that of its image. */
const LOW_WEIGHT = 0.1;
interface Exposure {
  readonly pair: PairEstimate;
  readonly share: number;
}

/** What the tasks of one step on one worker can bear. */
export interface Bearing {
  readonly image: string;
  /** Headroom that batch work leaves them when their load is highest. */
  readonly atWorst: number;
  /** The same in the next seconds. */
  readonly soon: number;
  /** The same in the next seconds, if all that is uncertain is as bad as it may be. */
  readonly soonAtWorst: number;
  /** Whether batch work of an unknown kind is beside them, whose effect is yet to be seen. */
  readonly isOnTrial: boolean;
}

/** Headroom that a filler takes at full pace. */
export interface FillerLoss {
  readonly isKnown: boolean;
  readonly loss: number;
  /** What it may be for all that is known. */
  readonly worstLoss: number;
}

/** The range of `Bearing.soon`: from when a start takes effect, over two polls and a change of pace. */
const START_DELAY_MS = 300;
const SOON_MS = 2_000;
/** When a change of pace takes effect. */
const PACE_DELAY_MS = 200;

/** What a worker can bear, by its newest figures. */
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

/** Divides what was not expected among the load and the pairs, by how uncertain each was. */
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
  // As bad as expected or worse tells nothing of how much worse it would have been.
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

  /** The lowest headroom that loads of an image usually have. */
  readonly #lows = new Map<string, number>();

  readonly #cache = new WeakMap<FleetWorkerView, CachedBearings>();

  constructor(options: InterferenceOptions) {
    this.#options = options;
    this.#dynamics = new LoadDynamics(options.learnsPeriod);
  }

  inherit(pairs: LearntInterference, nowMs: number): void {
    this.#pairs.inherit(pairs, nowMs);
  }

  /** The pairs that are known by now, for a successor. */
  learnt(): LearntInterference {
    return this.#pairs.learnt();
  }

  /** Takes the worker's newest figures into what is known of its loads and of the pairs. */
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

  /** What each group of serving tasks on the worker can bear beside what is there. */
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

  /** The lowest headroom expected within `aheadMs`, with batch work at its current pace. */
  expected(view: FleetWorkerView, load: ServiceLoad, aheadMs: number, nowMs: number): number {
    const loss = fillerRuns(view).reduce((sum, run) => sum + this.lossOf(load.image, run, view), 0);
    return load.lowestWithin(PACE_DELAY_MS, aheadMs, nowMs) - loss;
  }

  /** What a filler at full pace takes from the tasks of an image on the worker, and may take. */
  exposure(servingImage: string, filler: TaskRecord, view: FleetWorkerView): FillerLoss {
    const pair = this.#pairs.estimate(servingImage, filler.step.image);
    const share = sizeShare(view, filler);
    const loss = pair.loss * share;
    const isKnown = isKnownPair(pair);
    return { isKnown, loss, worstLoss: loss + Math.sqrt(pair.variance) * share };
  }

  /** Headroom that a filler takes at full pace. */
  loss(servingImage: string, filler: TaskRecord, view: FleetWorkerView): number {
    return this.#pairs.estimate(servingImage, filler.step.image).loss * sizeShare(view, filler);
  }

  /** Headroom that a filler takes at its pace. */
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
