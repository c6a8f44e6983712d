/**
 * The lease that decides which daemon schedules a cell. The owner increments a heartbeat counter
 * in the table. Another daemon takes over after it has seen the counter unchanged for a whole lease
 * on its own clock, or for a shorter time if the heartbeat is older than a lease on the table's
 * clock. Clocks of different machines are never compared. Every write of an owner is conditional on
 * the version of the owner row, so a former owner that resumes after a pause cannot commit.
 */
import {
  ABSENT_VERSION,
  type ReadRequest,
  type ReadResult,
  rowsByKey,
  type Transaction,
  type TransactionResult,
} from '../../services/table/common/table.js';
import {
  cellHeartbeatKey,
  type CellOwnerRow,
  cellOwnerKey,
  cellOwnerRowSchema,
  type FormerLeases,
  type HeartbeatRow,
  heartbeatRowSchema,
} from '../../services/workload/common/workRows.js';
import { type CellClock, toCellMs } from './cellClock.js';
import {
  type CellLeaseTiming,
  nextRenewalAtMs,
  takeoverAllowedAtMs,
  publishedDelayMs,
  type WatchedOwner,
} from './cellLeaseTiming.js';

/**
 * Delay after a failed call. A whole heartbeat interval would use up most of the time that watchers
 * wait.
 */
const FAILED_CALL_RETRY_DELAY_MS = 200;

/** The table's clock as last read, with the times of the read on this daemon's clock. */
interface TableClock {
  readonly tableMs: number;
  /** When the answer was processed. The table's clock showed at least `tableMs` then. */
  readonly readAtMs: number;
  /** When the call was sent. The table's clock showed at most `tableMs` then. */
  readonly askedAtMs: number;
}

/** What one daemon knows of a cell's lease. */
export interface CellLease extends WatchedOwner {
  readonly cell: string;
  /** Identifies this run of the process. A restarted daemon is a different owner. */
  readonly selfId: string;
  readonly isOwner: boolean;
  readonly epoch: number;
  readonly ownerRowVersion: number;
  /** The leases granted before this epoch, as recorded in the owner row. */
  readonly formerLeases: readonly FormerLeases[];
  readonly heartbeatRowVersion: number;
  readonly heartbeatCounter: number;
  /**
   * The latest time on the table's clock at which the heartbeat that was read was sent, if known.
   */
  readonly heartbeatSentTableMs: number | undefined;
  /** When the last heartbeat that is known to be committed was sent. */
  readonly lastHeartbeatSentAtMs: number;
  /** When the first of the unanswered acquisitions was sent. Any of them may have committed. */
  readonly acquiringSinceMs: number | undefined;
  readonly tableClock: TableClock | undefined;
  /**
   * Undefined until this daemon reads the clock from a heartbeat or starts it as the first owner.
   */
  readonly cellClock: CellClock | undefined;
  readonly nextStepAtMs: number;
  readonly isStepInFlight: boolean;
}

export const LeaseStepKind = { Watch: 'watch', Acquire: 'acquire', Renew: 'renew' } as const;
export type LeaseStepKind = (typeof LeaseStepKind)[keyof typeof LeaseStepKind];

/** A table call that the lease needs. At most one is in flight. */
export type LeaseStep =
  | { readonly kind: typeof LeaseStepKind.Watch; readonly request: ReadRequest }
  | {
      readonly kind: typeof LeaseStepKind.Acquire | typeof LeaseStepKind.Renew;
      readonly transaction: Transaction;
    };

export const initialCellLease = (cell: string, selfId: string, nowMs: number): CellLease => ({
  cell,
  selfId,
  isOwner: false,
  epoch: 0,
  ownerRowVersion: ABSENT_VERSION,
  isReleased: false,
  formerLeases: [],
  heartbeatRowVersion: -1,
  heartbeatCounter: 0,
  heartbeatSentTableMs: undefined,
  unchangedSinceMs: nowMs,
  lastHeartbeatSentAtMs: Number.NEGATIVE_INFINITY,
  acquiringSinceMs: undefined,
  overdueSinceMs: undefined,
  leastDelayMs: undefined,
  tableClock: undefined,
  cellClock: undefined,
  nextStepAtMs: nowMs,
  isStepInFlight: false,
});

const nextHeartbeat = (lease: CellLease, timing: CellLeaseTiming, nowMs: number): HeartbeatRow => {
  const counter = lease.heartbeatCounter + 1;
  const leastDelayMs = publishedDelayMs(lease, timing);
  const cellMs = lease.cellClock === undefined ? 0 : toCellMs(lease.cellClock, nowMs);
  const heartbeat = {
    counter,
    ...(leastDelayMs !== undefined && { leastDelayMs }),
    ...(timing.writesCellClock === true && { cellMs: Math.floor(cellMs) }),
  };
  if (lease.tableClock === undefined) return heartbeat;
  // Adds the time since the clock was requested. With the time since an answer that was processed
  // late, the heartbeat would look older than it is.
  const { tableMs, askedAtMs } = lease.tableClock;
  return { ...heartbeat, sentAtTableMs: Math.floor(tableMs + nowMs - askedAtMs) };
};

const toOwnerRow = (
  ownerId: string,
  epoch: number,
  formerLeases: readonly FormerLeases[],
): CellOwnerRow =>
  formerLeases.length === 0
    ? { ownerId, epoch }
    : { ownerId, epoch, formerLeases: [...formerLeases] };

const acquireStep = (
  lease: CellLease,
  timing: CellLeaseTiming,
  operationId: string,
  formerLeases: readonly FormerLeases[],
  nowMs: number,
): LeaseStep => ({
  kind: LeaseStepKind.Acquire,
  transaction: {
    operationId,
    conditions: [
      { key: cellOwnerKey(lease.cell), version: lease.ownerRowVersion },
      { key: cellHeartbeatKey(lease.cell), version: lease.heartbeatRowVersion },
    ],
    writes: [
      {
        key: cellOwnerKey(lease.cell),
        value: toOwnerRow(lease.selfId, lease.epoch + 1, formerLeases),
      },
      { key: cellHeartbeatKey(lease.cell), value: nextHeartbeat(lease, timing, nowMs) },
    ],
  },
});

const renewStep = (
  lease: CellLease,
  timing: CellLeaseTiming,
  operationId: string,
  nowMs: number,
): LeaseStep => ({
  kind: LeaseStepKind.Renew,
  transaction: {
    operationId,
    conditions: [{ key: cellOwnerKey(lease.cell), version: lease.ownerRowVersion }],
    writes: [{ key: cellHeartbeatKey(lease.cell), value: nextHeartbeat(lease, timing, nowMs) }],
  },
});

/** The owner id of a cell whose last owner has released it. */
const NO_OWNER_ID = '';

/**
 * The transaction by which an owner that shuts down releases the cell, so that another daemon need
 * not wait for the lease to expire.
 */
export const releaseTransaction = (lease: CellLease, operationId: string): Transaction => ({
  operationId,
  conditions: [{ key: cellOwnerKey(lease.cell), version: lease.ownerRowVersion }],
  writes: [
    {
      key: cellOwnerKey(lease.cell),
      value: toOwnerRow(NO_OWNER_ID, lease.epoch, lease.formerLeases),
    },
  ],
});

const watchStep = (lease: CellLease): LeaseStep => ({
  kind: LeaseStepKind.Watch,
  request: { keys: [cellOwnerKey(lease.cell), cellHeartbeatKey(lease.cell)], prefixes: [] },
});

/** The next table call, if one is due. A daemon takes over only after it has read the heartbeat. */
export const nextLeaseStep = (
  lease: CellLease,
  timing: CellLeaseTiming,
  operationId: string,
  nowMs: number,
  formerLeases: readonly FormerLeases[] = [],
): { readonly lease: CellLease; readonly step: LeaseStep } | undefined => {
  if (lease.isStepInFlight) return undefined;
  const hasReadHeartbeat = lease.heartbeatRowVersion >= ABSENT_VERSION;
  const hasOwner = lease.ownerRowVersion !== ABSENT_VERSION;
  const isTakeoverAllowed =
    !lease.isOwner && hasReadHeartbeat && nowMs >= takeoverAllowedAtMs(lease, hasOwner, timing);
  // An overdue lease is taken over at once, without waiting for the next heartbeat interval.
  if (nowMs < lease.nextStepAtMs && !(isTakeoverAllowed && lease.overdueSinceMs !== undefined))
    return undefined;
  const inFlight = { ...lease, isStepInFlight: true };
  if (lease.isOwner) return { lease: inFlight, step: renewStep(lease, timing, operationId, nowMs) };
  if (isTakeoverAllowed) {
    const step = acquireStep(lease, timing, operationId, formerLeases, nowMs);
    const acquiringSinceMs = lease.acquiringSinceMs ?? nowMs;
    return { lease: { ...inFlight, formerLeases, acquiringSinceMs }, step };
  }
  return { lease: inFlight, step: watchStep(lease) };
};

const withStepFinished = (lease: CellLease, timing: CellLeaseTiming, nowMs: number): CellLease => ({
  ...lease,
  isStepInFlight: false,
  nextStepAtMs: nowMs + timing.heartbeatIntervalMs,
});

const tableClockOf = (
  lease: CellLease,
  tableNowMs: number | undefined,
  askedAtMs: number,
  nowMs: number,
): TableClock | undefined =>
  tableNowMs === undefined ? lease.tableClock : { tableMs: tableNowMs, readAtMs: nowMs, askedAtMs };

/** The cell clock continues from when this daemon first saw the heartbeat that carries it. */
const cellClockOf = (heartbeat: HeartbeatRow | undefined, nowMs: number): CellClock | undefined =>
  heartbeat?.cellMs === undefined ? undefined : { cellMs: heartbeat.cellMs, asOfMs: nowMs };

const isOlderThan = (
  heartbeat: HeartbeatRow | undefined,
  tableNowMs: number | undefined,
  ageMs: number,
): boolean =>
  heartbeat?.sentAtTableMs !== undefined &&
  tableNowMs !== undefined &&
  tableNowMs - heartbeat.sentAtTableMs >= ageMs;

/** Applies the owner and heartbeat rows that a watcher has read. */
export const withLeaseRows = (
  lease: CellLease,
  timing: CellLeaseTiming,
  { rows, tableNowMs }: ReadResult,
  sentAtMs: number,
  nowMs: number,
): CellLease => {
  const byKey = rowsByKey(rows);
  const ownerRow = byKey.get(cellOwnerKey(lease.cell));
  const heartbeatRow = byKey.get(cellHeartbeatKey(lease.cell));
  const owner = ownerRow === undefined ? undefined : cellOwnerRowSchema.parse(ownerRow.value);
  const heartbeatRowVersion = heartbeatRow?.version ?? ABSENT_VERSION;
  const isUnchanged = heartbeatRowVersion === lease.heartbeatRowVersion;
  const isOwner = owner?.ownerId === lease.selfId;
  const heartbeat =
    heartbeatRow === undefined ? undefined : heartbeatRowSchema.parse(heartbeatRow.value);
  const isOverdue = isOlderThan(heartbeat, tableNowMs, timing.leaseMs);
  const overdueBeforeMs = isUnchanged ? lease.overdueSinceMs : undefined;
  return {
    ...withStepFinished(lease, timing, nowMs),
    // If this daemon is the owner, an acquisition whose answer was lost has committed.
    isOwner,
    epoch: owner?.epoch ?? 0,
    ownerRowVersion: ownerRow?.version ?? ABSENT_VERSION,
    isReleased: owner?.ownerId === NO_OWNER_ID,
    formerLeases: owner?.formerLeases ?? [],
    heartbeatRowVersion,
    heartbeatCounter: heartbeat?.counter ?? 0,
    heartbeatSentTableMs: heartbeat?.sentAtTableMs,
    unchangedSinceMs: isUnchanged ? lease.unchangedSinceMs : nowMs,
    // Other daemons count from the heartbeat that the acquisition wrote, not from this read.
    lastHeartbeatSentAtMs: isOwner
      ? (lease.acquiringSinceMs ?? sentAtMs)
      : lease.lastHeartbeatSentAtMs,
    overdueSinceMs: isOverdue ? (overdueBeforeMs ?? nowMs) : undefined,
    leastDelayMs: heartbeat?.leastDelayMs,
    tableClock: tableClockOf(lease, tableNowMs, sentAtMs, nowMs),
    cellClock: isUnchanged ? lease.cellClock : cellClockOf(heartbeat, nowMs),
  };
};

/** Applies a committed acquisition or renewal that was sent at `sentAtMs`. */
export const withLeaseCommitted = (
  lease: CellLease,
  timing: CellLeaseTiming,
  kind: LeaseStepKind,
  { version, tableNowMs }: TransactionResult,
  sentAtMs: number,
  nowMs: number,
): CellLease => {
  const isAcquired = kind === LeaseStepKind.Acquire;
  const dueAtMs = isAcquired ? sentAtMs : lease.nextStepAtMs;
  return {
    ...withStepFinished(lease, timing, nowMs),
    nextStepAtMs: nextRenewalAtMs(dueAtMs, timing, sentAtMs, nowMs),
    isOwner: true,
    epoch: isAcquired ? lease.epoch + 1 : lease.epoch,
    ownerRowVersion: isAcquired ? version : lease.ownerRowVersion,
    isReleased: false,
    heartbeatRowVersion: version,
    heartbeatCounter: lease.heartbeatCounter + 1,
    unchangedSinceMs: nowMs,
    lastHeartbeatSentAtMs: sentAtMs,
    acquiringSinceMs: undefined,
    overdueSinceMs: undefined,
    leastDelayMs: publishedDelayMs(lease, timing),
    tableClock: tableClockOf(lease, tableNowMs, sentAtMs, nowMs),
    cellClock: lease.cellClock ?? { cellMs: 0, asOfMs: nowMs },
  };
};

/** Applies a conflict: another daemon owns the cell or acquired it first. */
export const withLeaseLost = (
  lease: CellLease,
  timing: CellLeaseTiming,
  nowMs: number,
): CellLease => ({
  ...withStepFinished(lease, timing, nowMs),
  isOwner: false,
  // The next read counts as the first one, so the whole lease has to pass again.
  heartbeatRowVersion: -1,
  unchangedSinceMs: nowMs,
});

/** Applies a yield. The daemon is still in the owner row but has to acquire the cell again. */
export const withLeaseGivenUp = (lease: CellLease): CellLease => ({
  ...lease,
  isOwner: false,
  isReleased: true,
});

/**
 * Applies a failed call. An owner stays owner, because nobody can take over while the table is
 * down.
 */
export const withLeaseCallFailed = (
  lease: CellLease,
  timing: CellLeaseTiming,
  nowMs: number,
): CellLease => ({
  ...withStepFinished(lease, timing, nowMs),
  nextStepAtMs: nowMs + Math.min(FAILED_CALL_RETRY_DELAY_MS, timing.heartbeatIntervalMs),
  // An acquisition whose answer was lost may have raised the epoch, so the rows are read again.
  heartbeatRowVersion: lease.isOwner ? lease.heartbeatRowVersion : -1,
  unchangedSinceMs: lease.isOwner ? lease.unchangedSinceMs : nowMs,
});
