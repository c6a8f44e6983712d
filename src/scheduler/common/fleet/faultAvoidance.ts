/** Keeps tasks away from workers that fail what they start. */
import type { WorkerHealth } from '../workerHealth.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { failureCount, type TaskRecord } from './taskRecords.js';

/** How long a retry waits for room on a worker that does not fail, before it takes any other. */
const RETRY_PATIENCE_MS = 1_500;
/** How long a task that lasts waits before it takes a worker that gets probes only. */
const PERSISTENT_PATIENCE_MS = 1_500;
/** With more than this share of workers tripped, or one, the fault is likely elsewhere. */
const MAXIMUM_TRIPPED_SHARE = 0.34;

type Views = readonly FleetWorkerView[];

/** Whether the task has failed before, so that a further failure may fail its submission. */
const isRetry = (task: TaskRecord): boolean => !task.step.isPersistent && failureCount(task) > 0;

const lastStartMs = (view: FleetWorkerView): number => {
  let lastMs = Number.NEGATIVE_INFINITY;
  view.runs.forEach(({ startedAtMs }) => {
    lastMs = Math.max(lastMs, startedAtMs);
  });
  return lastMs;
};

/** Splits the workers into those that pass and the others. */
const split = (
  views: Views,
  passes: (view: FleetWorkerView) => boolean,
): readonly [Views, Views] => [views.filter(passes), views.filter((view) => !passes(view))];

const retryGroups = (
  task: TaskRecord,
  views: Views,
  health: WorkerHealth,
  nowMs: number,
): readonly Views[] => {
  const failedOn = health.failedOn(task.submission.submission.id);
  const [sound, failing] = split(views, ({ id }) => !health.isFailing(id, nowMs));
  const [elsewhere, again] = split(sound, ({ id }) => !failedOn.has(id));
  const mayTakeAny = sound.length === 0 || nowMs - task.waitingSinceMs >= RETRY_PATIENCE_MS;
  return [elsewhere, again, mayTakeAny ? failing : []];
};

const firstTryGroups = (
  task: TaskRecord,
  views: Views,
  health: WorkerHealth,
  nowMs: number,
): readonly Views[] => {
  const failedOn = health.failedOn(task.submission.submission.id);
  const [others, ownFailing] = split(
    views,
    ({ id }) => !failedOn.has(id) || !health.isFailing(id, nowMs),
  );
  return [others, ownFailing];
};

/** Steers tasks away from workers that are likely to fail them. */
export interface FaultAvoidance {
  /** Returns workers grouped by preference; a task goes to the first group that has room. */
  groupsOf(task: TaskRecord, views: Views, health: WorkerHealth, nowMs: number): readonly Views[];
}

/**
 * Made for workers that fail within moments all that they start: they are always free, so that a
 * full fleet would give them every task that waits. Once jobs of two submissions have failed, such a
 * worker gets one first try at a time, with growing pauses. A retry takes a worker that does not
 * fail, and waits a little for its room: a second faulty worker would use up its last attempt.
 */
export class CircuitBreakerAvoidance implements FaultAvoidance {
  groupsOf(task: TaskRecord, views: Views, health: WorkerHealth, nowMs: number): readonly Views[] {
    if (!health.hasRecords) return [views];
    const [untripped, tripped] = split(views, ({ id }) => !health.isTripped(id, nowMs));
    const mostTripped = Math.max(1, views.length * MAXIMUM_TRIPPED_SHARE);
    const isLimited = untripped.length > 0 && tripped.length <= mostTripped;
    const normal = isLimited ? untripped : views;
    if (isRetry(task) || task.step.isGang) return retryGroups(task, normal, health, nowMs);
    const waitedMs = nowMs - task.waitingSinceMs;
    const isUrgent = task.step.isPersistent && waitedMs >= PERSISTENT_PATIENCE_MS;
    const probed = tripped.filter(
      (view) => isUrgent || health.isProbeDue(view.id, lastStartMs(view), nowMs),
    );
    return [...firstTryGroups(task, normal, health, nowMs), probed];
  }
}
