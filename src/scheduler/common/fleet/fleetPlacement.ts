/** How good each worker is for a task that waits. */
import type { Resources } from '../../../services/worker/common/resources.js';
import type { PlacementCandidate } from '../placement.js';
import type { FaultRanking } from './faultAvoidance.js';
import type { FleetPolicy } from './fleetPolicy.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { InterferenceControl } from './interferenceControl.js';
import { isServing } from './headroom.js';
import { PlacementObstacle } from './placementObstacle.js';
import type { SubmissionRecord, TaskRecord } from './taskRecords.js';

/**
 * The share of its processors that a serving task is taken to use until fillers beside it show
 * less or more. Half is a prior and no measurement: the tail latency corrects it within seconds.
 */
const SERVING_USE_SHARE = 0.5;
/**
 * A filler starts only where at least this share of its processors is likely to be idle. It works
 * on at part of its speed where the others use more, which is sooner done than waiting for room:
 * with a half, the worth of batch work on a calm day of 33 workers was 0.88, and is 0.98.
 */
const FILLER_IDLE_SHARE = 0.2;

/** How long a filler waits for a worker where it can run at full pace. */
const FULL_PACE_PATIENCE_MS = 2_500;
/** Weight of the pace in a filler's score; it outweighs the other terms. */
const PACE_WEIGHT = 10;
const FULL_PERCENT = 100;

/** Headroom of serving tasks beyond this makes a place no better. */
const AMPLE_HEADROOM = 2;

/**
 * Costs of a serving task's place. Filling up a worker that serves the same image costs at most
 * one, by what is left on it; taking one on which nothing serves yet comes next; each other image
 * on a worker costs more than both.
 */
const OPENING_COST = 1;
const MIXING_COST = 3;

/** A worker that has room for a task. Ratings are compared by their fields in this order. */
export interface Rating {
  readonly faultRank: number;
  /** Whether the data of the task's step is on another rack. */
  readonly isFar: boolean;
  readonly cost: number;
  /** The pace at which the task can run there. */
  readonly percent: number;
}

export const isBetter = (one: Rating, other: Rating): boolean =>
  (one.faultRank - other.faultRank ||
    Number(one.isFar) - Number(other.isFar) ||
    one.cost - other.cost) < 0;

/** What placing goes by of all that runs on a worker. */
interface Occupancy {
  readonly changeCount: number;
  /** Processors that it is likely to use, with all that its fillers would. */
  readonly usedProcessorMillis: number;
  /** Distinct images of the tasks that serve. */
  readonly servingImages: ReadonlySet<string>;
}

/** Each round asks every worker for each task that waits, and few workers change in between. */
const knownOccupancies = new WeakMap<FleetWorkerView, Occupancy>();

const newOccupancy = (view: FleetWorkerView): Occupancy => {
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
  const known = knownOccupancies.get(view);
  if (known?.changeCount === view.changeCount) return known;
  const occupancy = newOccupancy(view);
  knownOccupancies.set(view, occupancy);
  return occupancy;
};

const isSameStep = (one: TaskRecord, other: TaskRecord): boolean =>
  one.submission === other.submission &&
  one.stepIndex === other.stepIndex &&
  one.occurrence === other.occurrence;

/** Tasks of the step that run on the worker or are to start in room that is kept there. */
const sameStepCount = (view: FleetWorkerView, task: TaskRecord): number => {
  let count = 0;
  view.runs.forEach((run) => {
    if (isSameStep(run.task, task)) count += 1;
  });
  view.keptTasks.forEach((kept) => {
    if (isSameStep(kept, task)) count += 1;
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

/** Whether any task of the submission has a run on a worker. */
const hasRuns = ({ occurrences }: SubmissionRecord): boolean =>
  [...occurrences.values()].some(({ tasks }) =>
    tasks.some((step) => step.some(({ runs }) => runs.length > 0)),
  );

/** Whether the filler has waited for so long that it starts at a reduced pace. */
export const allowsReducedPace = (task: TaskRecord, nowMs: number): boolean =>
  nowMs - task.waitingSinceMs >= FULL_PACE_PATIENCE_MS && !hasRuns(task.submission);

const hasReducedPaceStart = (view: FleetWorkerView): boolean =>
  [...view.runs.values()].some(({ plannedPercent }) => plannedPercent < FULL_PERCENT);

/** Chooses workers for serving tasks. */
export interface ServingPlacement {
  /** Lower is better, among workers that the task fits on. */
  costOf(task: TaskRecord, view: FleetWorkerView): number;
}

/**
 * Made for services that take most of the room beside batch work of many images. Whether batch
 * work slows a service depends on the two images, and for two in five pairs of a heavy day one
 * batch task at full pace brings a tail over its target (60 to 170 ms for a worker full of it, at
 * a tail of 9 and a target of 18 ms). So tasks that serve are put beside their like: each kind of
 * batch work then finds workers where all that serve can bear it. Among equals the fullest one is
 * taken, which keeps large gaps.
 */
export class ImageAffinityPlacement implements ServingPlacement {
  costOf(task: TaskRecord, view: FleetWorkerView): number {
    const images = occupancyOf(view).servingImages;
    const otherCount = images.size - (images.has(task.step.image) ? 1 : 0);
    const openingCost = images.size === 0 ? OPENING_COST : 0;
    const left = view.free.processorMillis / Math.max(1, view.entry.capacity.processorMillis);
    return otherCount * MIXING_COST + openingCost + left;
  }
}

/** What the rating of workers goes by, apart from the workers themselves. */
export interface RatingContext {
  readonly policy: Pick<FleetPolicy, 'servingPlacement' | 'placement'>;
  readonly interference: InterferenceControl;
  readonly faultRanking: FaultRanking;
}

type Place = Pick<Rating, 'cost' | 'percent'>;

export const isObstacle = (one: object | PlacementObstacle): one is PlacementObstacle =>
  typeof one === 'string';

/** What of its room the worker lacks for the task; a filler's processors are not counted. */
const missingRoom = (task: TaskRecord, free: Resources): PlacementObstacle | undefined => {
  const { isFiller, size } = task.step;
  if (!isFiller && size.processorMillis > free.processorMillis) {
    return PlacementObstacle.NoProcessors;
  }
  if (size.memoryBytes > free.memoryBytes) return PlacementObstacle.NoMemory;
  if (size.acceleratorCount > free.acceleratorCount) return PlacementObstacle.NoAccelerators;
  return undefined;
};

/**
 * Made for long batch tasks that use what services leave idle. A filler goes where most is idle
 * and the tasks that serve are furthest from their targets with it; where too little is idle it
 * waits, for it would only make the others' work slower. Memory is counted like any task's.
 */
const placeForFiller = (
  task: TaskRecord,
  view: FleetWorkerView,
  mayBeSlow: boolean,
  interference: InterferenceControl,
  nowMs: number,
): Place | PlacementObstacle => {
  const { processorMillis } = task.step.size;
  const capacityMillis = view.entry.capacity.processorMillis;
  const idleMillis = capacityMillis - occupancyOf(view).usedProcessorMillis;
  if (idleMillis < processorMillis * FILLER_IDLE_SHARE) return PlacementObstacle.NoProcessors;
  const admission = interference.admit(view, task, nowMs);
  if (admission === undefined) return PlacementObstacle.Interference;
  const { percent, headroom } = admission;
  if (percent < FULL_PERCENT && !(mayBeSlow && !hasReducedPaceStart(view))) {
    return PlacementObstacle.Interference;
  }
  const score =
    PACE_WEIGHT * (percent / FULL_PERCENT) +
    idleMillis / capacityMillis +
    Math.min(headroom, AMPLE_HEADROOM);
  return { cost: -score, percent };
};

const costAtFullPace = (
  task: TaskRecord,
  view: FleetWorkerView,
  { policy }: RatingContext,
): number => {
  if (isServing(task) && task.step.image !== '') return policy.servingPlacement.costOf(task, view);
  const request = { size: task.step.size, isSpread: task.step.isPersistent };
  return policy.placement.costOf(request, toCandidate(view, task));
};

/** Rates the worker for the task, or tells why the task must not be started there now. */
export const rateWorker = (
  task: TaskRecord,
  view: FleetWorkerView,
  mayBeSlow: boolean,
  context: RatingContext,
  nowMs: number,
): Rating | PlacementObstacle => {
  const { isFiller, dataRack } = task.step;
  // What most workers lack is checked first: most tasks that wait find no room on most of them.
  const missing = missingRoom(task, view.free);
  if (missing !== undefined) return missing;
  if (!isAllowed(view, task)) return PlacementObstacle.NotAllowed;
  const faultRank = context.faultRanking.rankOf(task, view);
  if (faultRank === undefined) return PlacementObstacle.SetAside;
  if (isFiller) {
    const place = placeForFiller(task, view, mayBeSlow, context.interference, nowMs);
    return isObstacle(place) ? place : { faultRank, isFar: false, ...place };
  }
  const isFar = dataRack !== '' && view.entry.rack !== dataRack;
  return { faultRank, isFar, cost: costAtFullPace(task, view, context), percent: FULL_PERCENT };
};
