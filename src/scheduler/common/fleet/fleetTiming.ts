/** Limits and intervals of scheduling for workers that keep their own leases. */
export interface FleetTiming {
  /** The longest lease that is granted to a worker. */
  readonly maximumLeaseMs: number;
  /** What a worker shortens longer leases to. */
  readonly workerLeaseLimitMs: number;
  /** How often a worker writes its entry into the table. */
  readonly workerReportIntervalMs: number;
  /** How long a worker takes at most to stop a task. */
  readonly workerStopMs: number;
  /** How long an owner that cannot reach the table goes on granting leases. */
  readonly maximumGrantWithoutTableMs: number;
  /** How long a worker may wait for an end before it answers a hold. */
  readonly holdWaitMs: number;
  /** A worker that has not answered for so long is given nothing new. */
  readonly answerFreshnessMs: number;
  /** An owner that has not heard for so long what callers do starts nothing. */
  readonly feedFreshnessMs: number;
  /** The least time between two commits, in which ends gather. */
  readonly commitIntervalMs: number;
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
}

/** How much slower than real time a worker's clock may be. */
const CLOCK_TOLERANCE = 1.02;
/** Covers timers that fire late and the time between reading the clock and sending. */
const LEASE_SLACK_MS = 100;

/** How long, on this machine's clock, a lease of `leaseMs` on a worker's clock may last. */
export const longestLeaseMs = (leaseMs: number): number =>
  leaseMs * CLOCK_TOLERANCE + LEASE_SLACK_MS;

/** The lease on a worker's clock that is surely over after `spanMs` on this machine's clock. */
export const leaseWithinMs = (spanMs: number): number =>
  (spanMs - LEASE_SLACK_MS) / CLOCK_TOLERANCE;

/**
 * The longest lease granted, also where workers would grant longer ones. It outlasts the takeover
 * after an owner's death, some three seconds; a longer one only delays the tasks of a worker that
 * is lost.
 */
export const LONGEST_GRANT_MS = 6_000;

/** Everything but the bounds of the workers, which the settings give. */
export const FLEET_TIMING = {
  /**
   * What is granted last outlives an outage of the table of seven seconds. A successor that cannot
   * reach a worker waits for this and a lease, and tasks that last may not be away for nine.
   */
  maximumGrantWithoutTableMs: 2_500,
  /** An idle worker is heard of so often; ends are answered at once. */
  holdWaitMs: 1_500,
  /** A hold that waits, its time limit, and a pause after a failure. */
  answerFreshnessMs: 3_000,
  /** A call to the feed that waits, and one that comes back late to a busy owner. */
  feedFreshnessMs: 2_500,
  /** Gathers ends of a few workers; a callers' objective is seconds. */
  commitIntervalMs: 30,
  /** Three heartbeats fit into a lease. */
  heartbeatIntervalMs: 450,
  /**
   * Leases of workers last six seconds at the least: an owner that dies is replaced, and its
   * successor has held the workers, before anything running there is lost.
   */
  leaseMs: 1_500,
} as const;
