/** Rates how well each worker suits a waiting task. */
import type { Resources } from '../../../services/worker/common/resources.js';
import type { PlacementCandidate } from '../placement.js';
import type { FaultRanking } from './faultAvoidance.js';
import type { FleetPolicy } from './fleetPolicy.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { InterferenceControl } from './interferenceControl.js';
import { isServing } from './headroom.js';
import { PlacementObstacle } from './placementObstacle.js';
import { isSameStep, type SubmissionRecord, type TaskRecord } from './taskRecords.js';

/**
 * The share of its requested processors that a serving task is assumed to use. This is a prior:
 * once fillers run beside the task, its tail latency corrects the assumption within seconds.
 */
const SERVING_USE_SHARE = 0.5;
/**
 * A filler starts only where at least this share of its requested processors is likely to be idle.
 * Where the other tasks use more, it runs at part of its speed, which is still sooner done than
 * waiting for room: on a lightly loaded day of 33 workers, half as the share reduced the value of
 * batch work from 0.98 to 0.88.
 */
const FILLER_IDLE_SHARE = 0.2;

/** How long a filler waits for a worker that allows full pace before it accepts a reduced pace. */
const FULL_PACE_WAIT_MS = 2_500;
/** Weight of the pace in a filler's score; it outweighs the other terms. */
const PACE_WEIGHT = 10;
const FULL_PERCENT = 100;

/** More headroom of the serving tasks than this does not improve a filler's score. */
const AMPLE_HEADROOM = 2;

/**
 * Placement costs of a serving task. The free share of the worker costs at most one. A worker
 * without serving tasks adds the first cost, and each other serving image on the worker adds the
 * second, which exceeds both together.
 */
const FIRST_SERVING_COST = 1;
const OTHER_IMAGE_COST = 3;

/** The rating of a worker that has room for a task. Ratings compare by their fields in order. */
export interface Rating {
  readonly faultRank: number;
  /** Whether the worker is on another rack than the data of the task's step. */
  readonly isOffDataRack: boolean;
  readonly cost: number;
  /** The pace at which the task can run there. */
  readonly percent: number;
}

export const isBetter = (one: Rating, other: Rating): boolean =>
  (one.faultRank - other.faultRank ||
    Number(one.isOffDataRack) - Number(other.isOffDataRack) ||
    one.cost - other.cost) < 0;

/** The properties of a worker's runs that placement depends on. */
interface Occupancy {
  readonly changeCount: number;
  /** The likely processor use of all tasks, with the fillers at full speed. */
  readonly usedProcessorMillis: number;
  /** Distinct images of the serving tasks. */
  readonly servingImages: ReadonlySet<string>;
}

/** Cached because each round checks every worker for each waiting task, and few workers change. */
const occupancyCache = new WeakMap<FleetWorkerView, Occupancy>();

const computeOccupancy = (view: FleetWorkerView): Occupancy => {
  let usedProcessorMillis = view.fillerProcessorMillis;
  const servingImages = new Set<string>();
  view.runs.forEach(({ task }) => {
    if (isServing(task)) servingImages.add(task.step.image);
    if (task.step.isFiller) return;
    usedProcessorMillis +=
      task.step.size.processorMillis * (isServing(task) ? SERVING_USE_SHARE : 1);
  });
  return { changeCount: view.changeCount, usedProcessorMillis, servingImages };
};

const occupancyOf = (view: FleetWorkerView): Occupancy => {
  const known = occupancyCache.get(view);
  if (known?.changeCount === view.changeCount) return known;
  const occupancy = computeOccupancy(view);
  occupancyCache.set(view, occupancy);
  return occupancy;
};

/** The number of the step's tasks that run on the worker or have room reserved there. */
const sameStepCount = (view: FleetWorkerView, task: TaskRecord): number => {
  let count = 0;
  view.runs.forEach((run) => {
    if (isSameStep(run.task, task)) count += 1;
  });
  view.reservedTasks.forEach((reservedTask) => {
    if (isSameStep(reservedTask, task)) count += 1;
  });
  return count;
};

const isAllowed = (view: FleetWorkerView, task: TaskRecord): boolean => {
  const { requiredLabel, maximumPerWorker } = task.step;
  if (requiredLabel !== '' && !view.entry.labels.includes(requiredLabel)) return false;
  return maximumPerWorker === 0 || sameStepCount(view, task) < maximumPerWorker;
};

const toCandidate = (view: FleetWorkerView, task: TaskRecord): PlacementCandidate => ({
  workerId: view.id,
  rack: view.entry.rack,
  incarnation: String(view.incarnation),
  capacity: view.entry.capacity,
  free: view.free,
  sameServiceOnWorkerCount: task.step.isPersistent ? sameStepCount(view, task) : 0,
  sameServiceInRackCount: 0,
});

/** Whether any task of the submission has a run. */
const hasRuns = ({ occurrences }: SubmissionRecord): boolean =>
  [...occurrences.values()].some(({ tasks }) =>
    tasks.some((step) => step.some(({ runs }) => runs.length > 0)),
  );

/** Whether the filler has waited long enough to start at a reduced pace. */
export const allowsReducedPace = (task: TaskRecord, nowMs: number): boolean =>
  nowMs - task.waitingSinceMs >= FULL_PACE_WAIT_MS && !hasRuns(task.submission);

const hasReducedPaceStart = (view: FleetWorkerView): boolean =>
  [...view.runs.values()].some(({ plannedPercent }) => plannedPercent < FULL_PERCENT);

/** Chooses workers for serving tasks. */
export interface ServingPlacement {
  /** The cost of the task on a worker where it fits; lower is better. */
  costOf(task: TaskRecord, view: FleetWorkerView): number;
}

/**
 * Places serving tasks beside serving tasks of the same image, for fleets where services take most
 * of the room beside batch work of many images.
 *
 * Whether batch work slows a service depends on both images. For two in five pairs of a heavy day,
 * one batch task at full pace raises the tail latency over its target: a worker full of it raises a
 * tail of 9 ms to 60 to 170 ms, where the target is 18 ms. With few serving images on each worker,
 * each batch image finds workers whose services all tolerate it. Among workers that are otherwise
 * equal, the fullest one is chosen, which keeps large gaps on the others.
 */
export class ImageAffinityPlacement implements ServingPlacement {
  costOf(task: TaskRecord, view: FleetWorkerView): number {
    const images = occupancyOf(view).servingImages;
    const otherImageCount = images.size - (images.has(task.step.image) ? 1 : 0);
    const firstServingCost = images.size === 0 ? FIRST_SERVING_COST : 0;
    const freeShare = view.free.processorMillis / Math.max(1, view.entry.capacity.processorMillis);
    return otherImageCount * OTHER_IMAGE_COST + firstServingCost + freeShare;
  }
}

/** The inputs of a rating apart from the task and the worker. */
export interface RatingContext {
  readonly policy: Pick<FleetPolicy, 'servingPlacement' | 'placement'>;
  readonly interference: InterferenceControl;
  readonly faultRanking: FaultRanking;
}

type FillerRating = Pick<Rating, 'cost' | 'percent'>;

export const isObstacle = (value: object | PlacementObstacle): value is PlacementObstacle =>
  typeof value === 'string';

/** The first resource that the worker lacks for the task. Fillers don't need free processors. */
const findMissingResource = (task: TaskRecord, free: Resources): PlacementObstacle | undefined => {
  const { isFiller, size } = task.step;
  if (!isFiller && size.processorMillis > free.processorMillis) {
    return PlacementObstacle.NoProcessors;
  }
  if (size.memoryBytes > free.memoryBytes) return PlacementObstacle.NoMemory;
  if (size.acceleratorCount > free.acceleratorCount) return PlacementObstacle.NoAccelerators;
  return undefined;
};

/**
 * Rates a worker for a filler: a long batch task that uses processors which services leave idle.
 * Workers with more idle processors and more headroom of their serving tasks are better. Where too
 * little is idle the filler waits, because it would only slow the other tasks. Its memory counts
 * like that of any other task.
 */
const rateForFiller = (
  task: TaskRecord,
  view: FleetWorkerView,
  allowsSlowStart: boolean,
  interference: InterferenceControl,
  nowMs: number,
): FillerRating | PlacementObstacle => {
  const { processorMillis } = task.step.size;
  const capacityMillis = view.entry.capacity.processorMillis;
  const idleMillis = capacityMillis - occupancyOf(view).usedProcessorMillis;
  if (idleMillis < processorMillis * FILLER_IDLE_SHARE) return PlacementObstacle.NoProcessors;
  const admission = interference.admit(view, task, nowMs);
  if (admission === undefined) return PlacementObstacle.Interference;
  const { percent, headroom } = admission;
  if (percent < FULL_PERCENT && !(allowsSlowStart && !hasReducedPaceStart(view))) {
    return PlacementObstacle.Interference;
  }
  const score =
    PACE_WEIGHT * (percent / FULL_PERCENT) +
    idleMillis / capacityMillis +
    Math.min(headroom, AMPLE_HEADROOM);
  return { cost: -score, percent };
};

const nonFillerCost = (
  task: TaskRecord,
  view: FleetWorkerView,
  { policy }: RatingContext,
): number => {
  if (isServing(task) && task.step.image !== '') return policy.servingPlacement.costOf(task, view);
  const request = { size: task.step.size, isSpread: task.step.isPersistent };
  return policy.placement.costOf(request, toCandidate(view, task));
};

/** Rates the worker for the task, or returns why the task must not start there now. */
export const rateWorker = (
  task: TaskRecord,
  view: FleetWorkerView,
  allowsSlowStart: boolean,
  context: RatingContext,
  nowMs: number,
): Rating | PlacementObstacle => {
  const { isFiller, dataRack } = task.step;
  // The room is checked first because most workers have no room for most waiting tasks.
  const missing = findMissingResource(task, view.free);
  if (missing !== undefined) return missing;
  if (!isAllowed(view, task)) return PlacementObstacle.NotAllowed;
  const faultRank = context.faultRanking.rankOf(task, view);
  if (faultRank === undefined) return PlacementObstacle.SetAside;
  if (isFiller) {
    const rating = rateForFiller(task, view, allowsSlowStart, context.interference, nowMs);
    return isObstacle(rating) ? rating : { faultRank, isOffDataRack: false, ...rating };
  }
  const isOffDataRack = dataRack !== '' && view.entry.rack !== dataRack;
  return {
    faultRank,
    isOffDataRack,
    cost: nonFillerCost(task, view, context),
    percent: FULL_PERCENT,
  };
};
