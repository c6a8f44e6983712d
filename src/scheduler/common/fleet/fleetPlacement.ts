/** Which worker a task is started on. */
import { fitsInto, type Resources } from '../../../services/worker/common/resources.js';
import type { PlacementCandidate, PlacementPolicy } from '../placement.js';
import type { WorkerHealth } from '../workerHealth.js';
import { groupsByPreference } from './faultAvoidance.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { InterferenceControl } from './interferenceControl.js';
import { isServing } from './headroom.js';
import type { TaskRecord } from './taskRecords.js';

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

/** Headroom of serving tasks beyond this makes a place no better. */
const AMPLE_HEADROOM = 2;

/**
 * Costs of a serving task's place. Filling up a worker that serves the same image costs at most
 * one, by what is left on it; taking one on which nothing serves yet comes next; each other image
 * on a worker costs more than both.
 */
const OPENING_COST = 1;
const MIXING_COST = 3;

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
): FleetWorkerView | undefined => {
  const { size } = task.step;
  const counted: Resources = { ...size, processorMillis: 0 };
  let best: FleetWorkerView | undefined;
  let bestScore = Number.NEGATIVE_INFINITY;
  views.forEach((view) => {
    if (!fitsInto(counted, view.free)) return;
    const idle = view.entry.capacity.processorMillis - occupancyOf(view).usedProcessorMillis;
    if (idle < size.processorMillis * FILLER_IDLE_SHARE) return;
    const headroom = interference.headroomWith(view, task, nowMs);
    if (headroom === undefined) return;
    const score = idle / view.entry.capacity.processorMillis + Math.min(headroom, AMPLE_HEADROOM);
    if (score <= bestScore) return;
    best = view;
    bestScore = score;
  });
  return best;
};

/**
 * Made for services that take most of the room beside batch work of many images. Whether batch
 * work slows a service depends on the two images, and for two in five pairs of a heavy day one
 * batch task at full pace brings a tail over its target (60 to 170 ms for a worker full of it, at
 * a tail of 9 and a target of 18 ms). So tasks that serve are put beside their like: each kind of
 * batch work then finds workers where all that serve can bear it. Among equals the fullest one is
 * taken, which keeps large gaps.
 */
const chooseForServing = (
  task: TaskRecord,
  views: readonly FleetWorkerView[],
): FleetWorkerView | undefined => {
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
};

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

const chooseAmong = (
  task: TaskRecord,
  views: readonly FleetWorkerView[],
  policy: PlacementPolicy,
  interference: InterferenceControl,
  nowMs: number,
): FleetWorkerView | undefined => {
  if (task.step.isFiller) return chooseForFiller(task, views, interference, nowMs);
  const near = nearData(task, views);
  if (isServing(task) && task.step.image !== '') return chooseForServing(task, near);
  const request = { size: task.step.size, isSpread: task.step.isPersistent };
  const candidates = near.map((view) => toCandidate(view, task));
  const chosen = policy.choose(request, candidates);
  return near.find(({ id }) => id === chosen?.workerId);
};

/** The worker for one task, or undefined while none has room. */
export const chooseWorker = (
  task: TaskRecord,
  usable: readonly FleetWorkerView[],
  policy: PlacementPolicy,
  interference: InterferenceControl,
  health: WorkerHealth,
  nowMs: number,
): FleetWorkerView | undefined => {
  const views = usable.filter((view) => isAllowed(view, task));
  const groups = groupsByPreference(task, views, health, nowMs);
  for (let index = 0; index < groups.length; index += 1) {
    const chosen = chooseAmong(task, groups[index] ?? [], policy, interference, nowMs);
    if (chosen !== undefined) return chosen;
  }
  return undefined;
};
