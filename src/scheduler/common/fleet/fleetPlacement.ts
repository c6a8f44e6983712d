/** Which worker a task is started on. */
import { fitsInto, type Resources } from '../../../services/worker/common/resources.js';
import type { PlacementCandidate } from '../placement.js';
import type { WorkerHealth } from '../workerHealth.js';
import type { FleetPolicy } from './fleetPolicy.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { InterferenceControl } from './interferenceControl.js';
import { isServing } from './headroom.js';
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

/** The worker chosen for a task, and the pace at which the task can run there. */
export interface PlacementChoice {
  readonly view: FleetWorkerView;
  readonly percent: number;
}

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

const sameStepCount = (view: FleetWorkerView, task: TaskRecord): number => {
  let count = 0;
  view.runs.forEach((run) => {
    const other = run.task;
    const isSame =
      other.submission === task.submission &&
      other.stepIndex === task.stepIndex &&
      other.occurrence === task.occurrence;
    if (isSame) count += 1;
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

const hasReducedPaceStart = (view: FleetWorkerView): boolean =>
  [...view.runs.values()].some(({ plannedPercent }) => plannedPercent < FULL_PERCENT);

/**
 * Made for long batch tasks that use what services leave idle. A filler goes where most is idle
 * and the tasks that serve are furthest from their targets with it; where too little is idle it
 * waits, for it would only make the others' work slower. Memory is counted like any task's.
 */
const chooseForFiller = (
  task: TaskRecord,
  views: readonly FleetWorkerView[],
  interference: InterferenceControl,
  nowMs: number,
): PlacementChoice | undefined => {
  const { size } = task.step;
  const allowsReducedPace =
    nowMs - task.waitingSinceMs >= FULL_PACE_PATIENCE_MS && !hasRuns(task.submission);
  const counted: Resources = { ...size, processorMillis: 0 };
  let best: PlacementChoice | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  views.forEach((view) => {
    if (!fitsInto(counted, view.free)) return;
    const idle = view.entry.capacity.processorMillis - occupancyOf(view).usedProcessorMillis;
    if (idle < size.processorMillis * FILLER_IDLE_SHARE) return;
    const admission = interference.admit(view, task, nowMs);
    if (admission === undefined) return;
    const { percent, headroom } = admission;
    if (percent < FULL_PERCENT && !(allowsReducedPace && !hasReducedPaceStart(view))) return;
    const score =
      PACE_WEIGHT * (percent / FULL_PERCENT) +
      idle / view.entry.capacity.processorMillis +
      Math.min(headroom, AMPLE_HEADROOM);
    if (score <= bestScore) return;
    best = { view, percent };
    bestScore = score;
  });
  return best;
};

/** Chooses workers for serving tasks. */
export interface ServingPlacement {
  choose(task: TaskRecord, views: readonly FleetWorkerView[]): FleetWorkerView | undefined;
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
  choose(task: TaskRecord, views: readonly FleetWorkerView[]): FleetWorkerView | undefined {
    let best: FleetWorkerView | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    views.forEach((view) => {
      const { free } = view;
      if (!fitsInto(task.step.size, free)) return;
      const images = occupancyOf(view).servingImages;
      const otherCount = images.size - (images.has(task.step.image) ? 1 : 0);
      const openingCost = images.size === 0 ? OPENING_COST : 0;
      const left = free.processorMillis / Math.max(1, view.entry.capacity.processorMillis);
      const cost = otherCount * MIXING_COST + openingCost + left;
      if (cost >= bestCost) return;
      best = view;
      bestCost = cost;
    });
    return best;
  }
}

/** Those near the step's data, when any of them has room; a task elsewhere takes far longer. */
const nearData = (
  task: TaskRecord,
  views: readonly FleetWorkerView[],
): readonly FleetWorkerView[] => {
  const { dataRack, size } = task.step;
  if (dataRack === '') return views;
  const near = views.filter((view) => view.entry.rack === dataRack && fitsInto(size, view.free));
  return near.length > 0 ? near : views;
};

const atFullPace = (view: FleetWorkerView | undefined): PlacementChoice | undefined =>
  view && { view, percent: FULL_PERCENT };

/** Inputs for choosing a worker, apart from the workers themselves. */
export interface PlacementContext {
  readonly policy: FleetPolicy;
  readonly interference: InterferenceControl;
  readonly health: WorkerHealth;
}

const chooseAmong = (
  task: TaskRecord,
  views: readonly FleetWorkerView[],
  { policy, interference }: PlacementContext,
  nowMs: number,
): PlacementChoice | undefined => {
  if (task.step.isFiller) return chooseForFiller(task, views, interference, nowMs);
  const near = nearData(task, views);
  if (isServing(task) && task.step.image !== '') {
    return atFullPace(policy.servingPlacement.choose(task, near));
  }
  const request = { size: task.step.size, isSpread: task.step.isPersistent };
  const candidates = near.map((view) => toCandidate(view, task));
  const chosen = policy.placement.choose(request, candidates);
  return atFullPace(near.find(({ id }) => id === chosen?.workerId));
};

/** The worker for one task among those that pass the filter, or undefined if none has room. */
export const chooseWorker = (
  task: TaskRecord,
  usable: readonly FleetWorkerView[],
  context: PlacementContext,
  passes: (view: FleetWorkerView) => boolean,
  nowMs: number,
): PlacementChoice | undefined => {
  const views = usable.filter((view) => isAllowed(view, task));
  const groups = context.policy.faultAvoidance.groupsOf(task, views, context.health, nowMs);
  for (let index = 0; index < groups.length; index += 1) {
    const group = (groups[index] ?? []).filter(passes);
    const chosen = chooseAmong(task, group, context, nowMs);
    if (chosen !== undefined) return chosen;
  }
  return undefined;
};
