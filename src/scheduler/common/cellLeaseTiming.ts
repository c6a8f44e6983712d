/** Computes when the owner of a cell renews its lease and when another daemon may take over. */

export interface CellLeaseTiming {
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  /** Extra delay before a takeover by a daemon that should not be the first to take this cell. */
  readonly acquireDelayMs: number;
  /**
   * Whether the extra delay is relative to the smallest delay of any owner so far, which owners
   * publish in their heartbeats. Without it, daemons that all have the same delay would wait for a
   * better one that does not exist.
   */
  readonly isDelayRelative?: boolean;
  /**
   * Whether the renewal interval starts when the last renewal is sent instead of when its answer is
   * processed. For owners that process hundreds of answers a second and may reach that one late.
   */
  readonly renewsFromSending?: boolean;
  /**
   * Whether owners carry a cell clock in their heartbeats, for time bounds that outlast an owner.
   */
  readonly writesCellClock?: boolean;
}

/** What a watcher has observed of an owner. */
export interface WatchedOwner {
  /** Since when the heartbeat row has been seen unchanged. */
  readonly unchangedSinceMs: number;
  /** Since when the heartbeat has been seen to be older than a lease on the table's clock. */
  readonly overdueSinceMs: number | undefined;
  /** Whether the last owner has released the cell, so that nobody waits for its lease. */
  readonly isReleased: boolean;
  /** The smallest extra delay of any owner so far, if owners publish it. */
  readonly leastDelayMs: number | undefined;
}

/**
 * How long to watch a heartbeat that is older than a lease on the table's clock. Either all daemons
 * have restarted, or the table is back after an outage. In the second case a live owner sends a
 * heartbeat after a call that times out (700 ms), a retry delay and another call. Watching for a
 * whole lease instead would start no work for that long after a restart of all daemons.
 */
const OVERDUE_WATCH_MS = 1_000;

/** When a daemon without extra delay may take over the cell. */
const undelayedTakeoverAtMs = (
  { unchangedSinceMs, overdueSinceMs, isReleased }: WatchedOwner,
  hasOwner: boolean,
  { leaseMs }: CellLeaseTiming,
): number => {
  // A cell that never had an owner has no lease that must expire.
  if (!hasOwner || isReleased) return unchangedSinceMs;
  if (overdueSinceMs === undefined) return unchangedSinceMs + leaseMs;
  return Math.max(unchangedSinceMs + Math.min(OVERDUE_WATCH_MS, leaseMs), overdueSinceMs);
};

const takeoverDelayMs = (owner: WatchedOwner, timing: CellLeaseTiming): number => {
  const baselineMs = timing.isDelayRelative === true ? (owner.leastDelayMs ?? 0) : 0;
  return Math.max(0, timing.acquireDelayMs - baselineMs);
};

/** When this daemon may take over the cell if the heartbeat stays unchanged until then. */
export const takeoverAllowedAtMs = (
  owner: WatchedOwner,
  hasOwner: boolean,
  timing: CellLeaseTiming,
): number => undelayedTakeoverAtMs(owner, hasOwner, timing) + takeoverDelayMs(owner, timing);

/** The extra delay that an owner publishes; undefined if delays are not relative. */
export const publishedDelayMs = (
  owner: WatchedOwner,
  timing: CellLeaseTiming,
): number | undefined =>
  timing.isDelayRelative === true
    ? Math.min(timing.acquireDelayMs, owner.leastDelayMs ?? timing.acquireDelayMs)
    : undefined;

/** The largest part of an interval by which a delayed owner sends its renewal early. */
const MAXIMUM_LEAD_RATIO = 2 / 3;

/**
 * When to renew after a call that was due at `dueAtMs` and sent at `sentAtMs`. Other daemons count
 * from the sending, however late the answer is processed. An owner that sent a renewal late is
 * likely to be late again, so it plans the next one earlier by the same amount. This keeps the
 * interval between its renewals nearly constant.
 */
export const nextRenewalAtMs = (
  dueAtMs: number,
  { heartbeatIntervalMs, renewsFromSending }: CellLeaseTiming,
  sentAtMs: number,
  nowMs: number,
): number => {
  if (renewsFromSending !== true) return nowMs + heartbeatIntervalMs;
  const leadMs = Math.min(sentAtMs - dueAtMs, heartbeatIntervalMs * MAXIMUM_LEAD_RATIO);
  return Math.max(nowMs, sentAtMs + heartbeatIntervalMs - Math.max(0, leadMs));
};
