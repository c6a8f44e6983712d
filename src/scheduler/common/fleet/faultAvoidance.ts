/** Keeps tasks away from workers that fail the tasks they start. */
import type { WorkerHealth } from '../workerHealth.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { failureCount, isSameStep, type TaskRecord } from './taskRecords.js';

/** How long a retry waits for room on a healthy worker before it accepts a failing one. */
const RETRY_WAIT_MS = 1_500;
/** How long a persistent task waits before it accepts a worker that is limited to probes. */
const PERSISTENT_WAIT_MS = 1_500;
/** How long the first attempt of a gang waits for other workers before it may be a probe. */
const GANG_PROBE_WAIT_MS = 2_000;
/** The same for a retry, whose failure may be the last one that its submission is allowed. */
const RETRY_PROBE_WAIT_MS = 8_000;
/**
 * If more than one worker and more than this share of the workers are tripped, the cause of the
 * failures is likely not in the workers.
 */
const MAXIMUM_TRIPPED_SHARE = 0.34;

type Views = readonly FleetWorkerView[];

/** Whether the task has failed before, so another failure may fail its submission. */
const isRetry = (task: TaskRecord): boolean => !task.step.isPersistent && failureCount(task) > 0;

/** How long the task waits for other workers before it may be a probe. */
const probeWaitMs = (task: TaskRecord): number => {
  if (isRetry(task)) return RETRY_PROBE_WAIT_MS;
  return task.step.isGang ? GANG_PROBE_WAIT_MS : 0;
};

/** The latest start on the worker. All members of the task's gang are one probe. */
const lastStartMs = (view: FleetWorkerView, task: TaskRecord): number => {
  let lastMs = Number.NEGATIVE_INFINITY;
  view.runs.forEach((run) => {
    if (task.step.isGang && isSameStep(run.task, task)) return;
    lastMs = Math.max(lastMs, run.startedAtMs);
  });
  return lastMs;
};

/** Ranks workers for a task; workers of the lowest rank are tried first. */
export interface FaultRanking {
  /** Returns undefined if the task must not start on the worker now. */
  rankOf(task: TaskRecord, view: FleetWorkerView): number | undefined;
}

export interface FaultAvoidance {
  /** Creates the ranking of a service's workers for all tasks of one round. */
  newRanking(views: Views, health: WorkerHealth, nowMs: number): FaultRanking;
}

export const NO_FAULTS: FaultRanking = { rankOf: () => 0 };

/**
 * Ranks for a task's first attempt: any other worker, a failing worker on which the submission has
 * failed before, and a tripped worker that is due for a probe.
 */
const FIRST_ATTEMPT_RANK = { Normal: 0, FailedBefore: 1, Probe: 2 } as const;
/**
 * Ranks for retries: a healthy worker on which the submission has not failed, a healthy worker on
 * which it has, a failing worker, and a tripped worker that is due for a probe.
 */
const RETRY_RANK = { Healthy: 0, FailedBefore: 1, Failing: 2, Probe: 3 } as const;

class CircuitBreakerRanking implements FaultRanking {
  readonly #health: WorkerHealth;

  readonly #nowMs: number;

  readonly #tripped = new Set<FleetWorkerView>();

  readonly #failing = new Set<FleetWorkerView>();

  /** Whether tripped workers are limited to probes. */
  readonly #limitsToProbes: boolean;

  readonly #hasHealthy: boolean;

  constructor(views: Views, health: WorkerHealth, nowMs: number) {
    this.#health = health;
    this.#nowMs = nowMs;
    views.forEach((view) => {
      if (health.isTripped(view.id, nowMs)) this.#tripped.add(view);
      if (health.isFailing(view.id, nowMs)) this.#failing.add(view);
    });
    const maximumTripped = Math.max(1, views.length * MAXIMUM_TRIPPED_SHARE);
    this.#limitsToProbes =
      this.#tripped.size < views.length && this.#tripped.size <= maximumTripped;
    this.#hasHealthy = views.some((view) => !this.#failing.has(view));
  }

  rankOf(task: TaskRecord, view: FleetWorkerView): number | undefined {
    const isProbeOnly = this.#limitsToProbes && this.#tripped.has(view);
    if (isRetry(task) || task.step.isGang) {
      if (!isProbeOnly) return this.#retryRank(task, view);
      return this.#mayProbe(task, view) ? RETRY_RANK.Probe : undefined;
    }
    if (isProbeOnly) return this.#mayProbe(task, view) ? FIRST_ATTEMPT_RANK.Probe : undefined;
    return this.#failing.has(view) && this.#hasFailedOn(task, view)
      ? FIRST_ATTEMPT_RANK.FailedBefore
      : FIRST_ATTEMPT_RANK.Normal;
  }

  #retryRank(task: TaskRecord, view: FleetWorkerView): number | undefined {
    if (!this.#failing.has(view)) {
      return this.#hasFailedOn(task, view) ? RETRY_RANK.FailedBefore : RETRY_RANK.Healthy;
    }
    const waitedMs = this.#nowMs - task.waitingSinceMs;
    return !this.#hasHealthy || waitedMs >= RETRY_WAIT_MS ? RETRY_RANK.Failing : undefined;
  }

  #mayProbe(task: TaskRecord, view: FleetWorkerView): boolean {
    const waitedMs = this.#nowMs - task.waitingSinceMs;
    if (task.step.isPersistent && waitedMs >= PERSISTENT_WAIT_MS) return true;
    if (waitedMs < probeWaitMs(task)) return false;
    return this.#health.isProbeDue(view.id, lastStartMs(view, task), this.#nowMs);
  }

  #hasFailedOn(task: TaskRecord, view: FleetWorkerView): boolean {
    return this.#health.failedOn(task.submission.submission.id).has(view.id);
  }
}

/**
 * Limits the damage of workers that quickly fail every task they start: they always have room, so a
 * full fleet would give them every waiting task. Once jobs of two submissions have failed on such a
 * worker, it gets one first attempt at a time, with growing delays in between. A retry prefers a
 * healthy worker and waits briefly for room there, because a failure on a second faulty worker
 * would use up the task's last attempt. A gang prefers one too, because the failure of one member
 * fails the whole attempt. Both waits are bounded: all workers that a task may use can be tripped,
 * and only the success of a probe closes a worker's circuit breaker early.
 */
export class CircuitBreakerAvoidance implements FaultAvoidance {
  newRanking(views: Views, health: WorkerHealth, nowMs: number): FaultRanking {
    return health.hasRecords ? new CircuitBreakerRanking(views, health, nowMs) : NO_FAULTS;
  }
}
