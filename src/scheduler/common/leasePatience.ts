/** When the owner of a cell renews its lease, and how long others watch its heartbeat stand still. */

export interface CellLeaseTiming {
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  /** Extra patience of daemons that should not be first to take this cell. */
  readonly acquireDelayMs: number;
  /**
   * The extra patience counts from the least one of an owner so far, which owners tell in their
   * heartbeats: daemons that are all alike need not wait for a better one that there never was.
   */
  readonly isDelayRelative?: boolean;
  /**
   * Renewals count from the last sending instead of its answer, for owners that take in hundreds of
   * answers a second and may get to that one late.
   */
  readonly renewsFromSending?: boolean;
  /** Owners keep a clock in their heartbeats, for bounds that outlast each of them. */
  readonly writesCellClock?: boolean;
}

/** What a watcher has seen of an owner. */
export interface WatchedOwner {
  /** Since when the heartbeat row has been seen unchanged. */
  readonly unchangedSinceMs: number;
  /** Since when its heartbeat was seen to be older than a lease on the table's clock. */
  readonly overdueSinceMs: number | undefined;
  /** The last owner has given the cell up, so nobody need wait for its lease. */
  readonly isReleased: boolean;
  /** The least extra patience of an owner so far, where owners tell it. */
  readonly leastDelayMs: number | undefined;
}

/**
 * How long a heartbeat that is older than a lease by the table's clock is watched. All daemons may
 * have started anew, or the table may be back from an outage: an owner that lives heartbeats within
 * a call that times out (700 ms), a pause and a call. Without it a restart of all daemons waited
 * a whole lease, in which no work was started.
 */
const OVERDUE_WATCH_MS = 1_000;

/** When a daemon that is first in line may take the cell. */
const undelayedTakeoverAtMs = (
  { unchangedSinceMs, overdueSinceMs, isReleased }: WatchedOwner,
  hasOwner: boolean,
  { leaseMs }: CellLeaseTiming,
): number => {
  // A cell that nobody ever owned needs no lease to run out.
  if (!hasOwner || isReleased) return unchangedSinceMs;
  if (overdueSinceMs === undefined) return unchangedSinceMs + leaseMs;
  return Math.max(unchangedSinceMs + Math.min(OVERDUE_WATCH_MS, leaseMs), overdueSinceMs);
};

const takeoverDelayMs = (owner: WatchedOwner, timing: CellLeaseTiming): number => {
  const baselineMs = timing.isDelayRelative === true ? (owner.leastDelayMs ?? 0) : 0;
  return Math.max(0, timing.acquireDelayMs - baselineMs);
};

/** When the cell may be taken, if the heartbeat stands still until then. */
export const takeoverAllowedAtMs = (
  owner: WatchedOwner,
  hasOwner: boolean,
  timing: CellLeaseTiming,
): number => undelayedTakeoverAtMs(owner, hasOwner, timing) + takeoverDelayMs(owner, timing);

/** What an owner tells of its extra patience; undefined where none counts from another's. */
export const publishedDelayMs = (
  owner: WatchedOwner,
  timing: CellLeaseTiming,
): number | undefined =>
  timing.isDelayRelative === true
    ? Math.min(timing.acquireDelayMs, owner.leastDelayMs ?? timing.acquireDelayMs)
    : undefined;

/** At most this share of an interval is a renewal sent ahead by an owner that is held up. */
const MAXIMUM_LEAD_RATIO = 2 / 3;

/**
 * When to renew after a call that was due at `dueAtMs` and sent at `sentAtMs`. Other daemons have
 * counted since then, however late its answer was taken in. An owner that was held up is likely to
 * be so again, and begins as much earlier, so that its renewals are hardly further apart.
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
