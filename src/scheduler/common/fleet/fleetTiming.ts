/** Limits and intervals for scheduling on workers that enforce their own leases. */
export interface FleetTiming {
  /** The longest lease that is granted to a worker. */
  readonly maximumLeaseMs: number;
  /** The longest lease that a worker accepts; it shortens longer ones to this. */
  readonly workerLeaseLimitMs: number;
  /** How often a worker writes its entry into the table. */
  readonly workerReportIntervalMs: number;
  /** How long a worker takes at most to stop a task. */
  readonly workerStopMs: number;
  /** How long an owner that cannot reach the table continues to grant leases. */
  readonly maximumGrantWithoutTableMs: number;
  /** How long a worker may wait for a run to end before it answers a hold. */
  readonly holdWaitMs: number;
  /** A worker that has not answered for this long gets no new tasks. */
  readonly answerFreshnessMs: number;
  /** An owner whose last answered call for the callers' changes is older than this starts no tasks. */
  readonly feedFreshnessMs: number;
  /** An owner that asked for its latest list of workers longer ago than this starts no tasks. */
  readonly workerListFreshnessMs: number;
  /** An owner to which the operators' state was not confirmed for this long starts no tasks. */
  readonly operatorFreshnessMs: number;
  /** The minimum time between two commits. The ends of runs in between are committed together. */
  readonly commitIntervalMs: number;
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
}

/** The factor by which a worker's clock may be slower than real time. */
const CLOCK_TOLERANCE = 1.02;
/** Covers late timers and the time between reading the clock and sending. */
const LEASE_SLACK_MS = 100;

/** The longest time on this machine's clock that a lease of `leaseMs` on a worker's clock lasts. */
export const longestLeaseMs = (leaseMs: number): number =>
  leaseMs * CLOCK_TOLERANCE + LEASE_SLACK_MS;

/** The longest lease on a worker's clock that has ended after `spanMs` on this machine's clock. */
export const leaseWithinMs = (spanMs: number): number =>
  (spanMs - LEASE_SLACK_MS) / CLOCK_TOLERANCE;

/**
 * The longest lease that the owner grants, even to workers that accept longer ones. It outlasts the
 * takeover after an owner's death, which takes some three seconds. A longer lease would only delay
 * the tasks of a lost worker.
 */
export const LONGEST_GRANT_MS = 6_000;

/** The fleet's timing without the limits of the workers, which come from the settings. */
export const FLEET_TIMING = {
  /**
   * With this value, the last granted leases outlast a table outage of seven seconds. A successor
   * that cannot reach a worker waits for this time plus a lease, and a persistent task may be away
   * for less than nine seconds.
   */
  maximumGrantWithoutTableMs: 2_500,
  /** An idle worker answers this often. A worker answers at once when a run ends. */
  holdWaitMs: 1_500,
  /** Covers a waiting hold, its time limit, and the pause after a failure. */
  answerFreshnessMs: 3_000,
  /** Covers a waiting feed call and one that a busy owner handles late. */
  feedFreshnessMs: 2_500,
  /**
   * Batches the ends of a few workers. This is short compared with callers' objectives, which are
   * seconds.
   */
  commitIntervalMs: 30,
  /** Three heartbeats fit into a lease. */
  heartbeatIntervalMs: 450,
  /**
   * Worker leases last at least six seconds, so a dead owner is replaced and its successor has
   * reached the workers before any of their runs is lost.
   */
  leaseMs: 1_500,
} as const;
