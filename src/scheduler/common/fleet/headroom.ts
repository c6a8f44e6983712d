/**
 * How far the tails of serving tasks are from their targets.
 *
 * Headroom is the target divided by the tail: one at the target, less above it. Tails grow like
 * waiting times, as one over the capacity that is left, so that their inverse falls in proportion
 * to a task's own load and to what works beside it, and both add up. Of 2,400 figures without
 * batch work the inverse followed the load within 5 %, where the tail itself went from 5 to 16 ms.
 */
import type { FleetWorkerView } from './fleetWorkerView.js';
import { RunState, stepName, type TaskRecord, type TaskRun } from './taskRecords.js';

/** A tail far below its target tells no more; it bounds what one figure can weigh. */
const GREATEST_HEADROOM = 10;
/** Weight of a task's own newest figure, which scatters more than the mean over its like. */
const OWN_WEIGHT = 0.6;
/**
 * A task's own smoothed tail counts as over its target below the first headroom until it rises
 * above the second. Figures of a tail a fifth over the target scatter so that one in four is below
 * it; with one limit, and at the target itself, such a task was hardly ever seen to be over it.
 */
const OVER_HEADROOM = 1 / 0.93;
const RELIEVED_HEADROOM = 1 / 0.8;

/** Whether the task serves users of its own. */
export const isServing = ({ step }: TaskRecord): boolean => step.targetLatencyMs > 0;

export const servingRuns = (view: FleetWorkerView): readonly TaskRun[] =>
  [...view.runs.values()].filter(({ task }) => isServing(task));

/** Whether the tail of any serving task there is likely over its target. */
export const isAnyOverTarget = (view: FleetWorkerView): boolean =>
  servingRuns(view).some(({ overSinceMs }) => overSinceMs !== undefined);

export const fillerRuns = (view: FleetWorkerView): readonly TaskRun[] =>
  [...view.runs.values()].filter(
    ({ task, state }) => task.step.isFiller && state === RunState.Running,
  );

export const sizeShare = (view: FleetWorkerView, task: TaskRecord): number =>
  task.step.size.processorMillis / Math.max(1, view.entry.capacity.processorMillis);

const headroomOf = ({ recentFigure, task }: TaskRun): number =>
  Math.min(GREATEST_HEADROOM, task.step.targetLatencyMs / recentFigure);

/**
 * The tasks of one step on one worker, as their newest figures show them. They share their users,
 * and so their load.
 */
export interface ServingGroup {
  /** The step's. */
  readonly name: string;
  readonly image: string;
  readonly headroom: number;
  readonly count: number;
}

/** The middle one, since single tasks suffer for a second now and then whatever is beside them. */
const medianOf = (values: readonly number[]): number => {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length / 2;
  const upper = sorted[Math.floor(middle)] ?? 0;
  return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? upper)) / 2;
};

/** Groups of the worker's serving tasks of which there are figures. */
export const servingGroups = (view: FleetWorkerView): readonly ServingGroup[] => {
  const runsByName = new Map<string, TaskRun[]>();
  servingRuns(view).forEach((run) => {
    if (run.recentFigure <= 0) return;
    const name = stepName(run.task);
    runsByName.set(name, [...(runsByName.get(name) ?? []), run]);
  });
  return [...runsByName].map(([name, runs]) => ({
    name,
    image: runs[0]?.task.step.image ?? '',
    headroom: medianOf(runs.map(headroomOf)),
    count: runs.length,
  }));
};

/** Takes a task's newest figure into its own smoothed headroom. */
export const noteOwnHeadroom = (run: TaskRun, nowMs: number): void => {
  if (run.recentFigure <= 0) return;
  run.headroom += (headroomOf(run) - run.headroom) * OWN_WEIGHT;
  if (run.headroom < OVER_HEADROOM) run.overSinceMs ??= nowMs;
  if (run.headroom > RELIEVED_HEADROOM) run.overSinceMs = undefined;
};
