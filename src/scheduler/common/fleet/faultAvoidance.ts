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

/** Which workers a task is given to first: those of the lowest rank. */
export interface FaultRanking {
  /** Undefined for a worker that the task must not be given to now. */
  rankOf(task: TaskRecord, view: FleetWorkerView): number | undefined;
}

/** Steers tasks away from workers that are likely to fail them. */
export interface FaultAvoidance {
  /** Sums up what is known of the workers of a service, once for all tasks of a round. */
  newRanking(views: Views, health: WorkerHealth, nowMs: number): FaultRanking;
}

export const NO_FAULTS: FaultRanking = { rankOf: () => 0 };

/** Ranks of first tries: others, workers that failed this submission, and probes. */
const FIRST_TRY = { Sound: 0, FailedBefore: 1, Probe: 2 } as const;
/** Ranks of retries. */
const RETRY = { Elsewhere: 0, FailedBefore: 1, Failing: 2 } as const;

class CircuitBreakerRanking implements FaultRanking {
  readonly #health: WorkerHealth;

  readonly #nowMs: number;

  readonly #tripped = new Set<FleetWorkerView>();

  readonly #failing = new Set<FleetWorkerView>();

  /** Whether tripped workers get probes only. */
  readonly #isLimited: boolean;

  readonly #hasSound: boolean;

  constructor(views: Views, health: WorkerHealth, nowMs: number) {
    this.#health = health;
    this.#nowMs = nowMs;
    views.forEach((view) => {
      if (health.isTripped(view.id, nowMs)) this.#tripped.add(view);
      if (health.isFailing(view.id, nowMs)) this.#failing.add(view);
    });
    const mostTripped = Math.max(1, views.length * MAXIMUM_TRIPPED_SHARE);
    this.#isLimited = this.#tripped.size < views.length && this.#tripped.size <= mostTripped;
    this.#hasSound = views.some((view) => !this.#failing.has(view));
  }

  rankOf(task: TaskRecord, view: FleetWorkerView): number | undefined {
    const isProbedOnly = this.#isLimited && this.#tripped.has(view);
    if (isRetry(task) || task.step.isGang) {
      return isProbedOnly ? undefined : this.#retryRank(task, view);
    }
    if (isProbedOnly) return this.#mayProbe(task, view) ? FIRST_TRY.Probe : undefined;
    return this.#failing.has(view) && this.#hasFailedOn(task, view)
      ? FIRST_TRY.FailedBefore
      : FIRST_TRY.Sound;
  }

  #retryRank(task: TaskRecord, view: FleetWorkerView): number | undefined {
    if (!this.#failing.has(view)) {
      return this.#hasFailedOn(task, view) ? RETRY.FailedBefore : RETRY.Elsewhere;
    }
    const waitedMs = this.#nowMs - task.waitingSinceMs;
    return !this.#hasSound || waitedMs >= RETRY_PATIENCE_MS ? RETRY.Failing : undefined;
  }

  #mayProbe(task: TaskRecord, view: FleetWorkerView): boolean {
    const waitedMs = this.#nowMs - task.waitingSinceMs;
    if (task.step.isPersistent && waitedMs >= PERSISTENT_PATIENCE_MS) return true;
    return this.#health.isProbeDue(view.id, lastStartMs(view), this.#nowMs);
  }

  #hasFailedOn(task: TaskRecord, view: FleetWorkerView): boolean {
    return this.#health.failedOn(task.submission.submission.id).has(view.id);
  }
}

/**
 * Made for workers that fail within moments all that they start: they are always free, so that a
 * full fleet would give them every task that waits. Once jobs of two submissions have failed, such a
 * worker gets one first try at a time, with growing pauses. A retry takes a worker that does not
 * fail, and waits a little for its room: a second faulty worker would use up its last attempt.
 */
export class CircuitBreakerAvoidance implements FaultAvoidance {
  newRanking(views: Views, health: WorkerHealth, nowMs: number): FaultRanking {
    return health.hasRecords ? new CircuitBreakerRanking(views, health, nowMs) : NO_FAULTS;
  }
}
