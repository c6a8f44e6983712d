/**
 * Who schedules a cell. The owner raises a heartbeat counter in the table; another daemon takes
 * over after it has seen the counter stand still for a whole lease on its own clock, or for a
 * shorter time once the heartbeat is older than a lease on the table's clock. Clocks of different
 * machines are never compared. Every write of an owner is conditional on the version
 * of the owner row, so a former owner that wakes up from a pause can commit nothing.
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
} from './leasePatience.js';

/** The pause after a failed call; a whole heartbeat would be most of a watcher's patience. */
const FAILED_CALL_RETRY_DELAY_MS = 200;

/** The table's clock as last read, with when that was on this daemon's clock. */
interface TableClock {
  readonly tableMs: number;
  /** When the answer was taken in: the table's clock was at least as far by then. */
  readonly readAtMs: number;
  /** When it was asked for: the table's clock was no further then. */
  readonly askedAtMs: number;
}

/** What one daemon knows of a cell's lease. */
export interface CellLease extends WatchedOwner {
  readonly cell: string;
  /** Names this life of this process; a restarted daemon is another owner. */
  readonly selfId: string;
  readonly isOwner: boolean;
  readonly epoch: number;
  readonly ownerRowVersion: number;
  /** What the owner row says of leases granted before its epoch. */
  readonly formerLeases: readonly FormerLeases[];
  readonly heartbeatRowVersion: number;
  readonly heartbeatCounter: number;
  /** When, on the table's clock, the heartbeat that was read was sent at the latest, if it tells. */
  readonly heartbeatSentTableMs: number | undefined;
  /** When the last heartbeat known to be committed was sent. */
  readonly heldAtMs: number;
  /** When the first of the acquisitions without an answer was sent; any of them may be stored. */
  readonly acquiringSinceMs: number | undefined;
  readonly tableClock: TableClock | undefined;
  /** Undefined until a heartbeat tells of it or this daemon starts it. */
  readonly cellClock: CellClock | undefined;
  readonly nextStepAtMs: number;
  readonly isStepInFlight: boolean;
}

export const LeaseStepKind = { Watch: 'watch', Acquire: 'acquire', Renew: 'renew' } as const;
export type LeaseStepKind = (typeof LeaseStepKind)[keyof typeof LeaseStepKind];

/** A table call the lease asks for; at most one is in flight. */
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
  heldAtMs: Number.NEGATIVE_INFINITY,
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
  // Counted from the sending: by an answer taken in late the heartbeat would look older than it is.
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

/** The owner id of a cell that its last owner has given up. */
const NO_OWNER_ID = '';

/** What an owner writes that ends in order, so that another need not wait for its lease. */
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

/** The next table call, if one is due. `hasWatched` tells a first look from a later one. */
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
  // One that is overdue is not left for another heartbeat.
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

/** The clock goes on from when this daemon first saw the heartbeat that tells of it. */
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

/** Takes in the owner and heartbeat rows that a watcher has read. */
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
    // Found to be the owner: an acquisition whose answer was lost had taken effect.
    isOwner,
    epoch: owner?.epoch ?? 0,
    ownerRowVersion: ownerRow?.version ?? ABSENT_VERSION,
    isReleased: owner?.ownerId === NO_OWNER_ID,
    formerLeases: owner?.formerLeases ?? [],
    heartbeatRowVersion,
    heartbeatCounter: heartbeat?.counter ?? 0,
    heartbeatSentTableMs: heartbeat?.sentAtTableMs,
    unchangedSinceMs: isUnchanged ? lease.unchangedSinceMs : nowMs,
    // Others count from the heartbeat that the acquisition wrote, not from this reading.
    heldAtMs: isOwner ? (lease.acquiringSinceMs ?? sentAtMs) : lease.heldAtMs,
    overdueSinceMs: isOverdue ? (overdueBeforeMs ?? nowMs) : undefined,
    leastDelayMs: heartbeat?.leastDelayMs,
    tableClock: tableClockOf(lease, tableNowMs, sentAtMs, nowMs),
    cellClock: isUnchanged ? lease.cellClock : cellClockOf(heartbeat, nowMs),
  };
};

/** Takes in a committed acquisition or renewal that was sent at `sentAtMs`. */
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
    heldAtMs: sentAtMs,
    acquiringSinceMs: undefined,
    overdueSinceMs: undefined,
    leastDelayMs: publishedDelayMs(lease, timing),
    tableClock: tableClockOf(lease, tableNowMs, sentAtMs, nowMs),
    cellClock: lease.cellClock ?? { cellMs: 0, asOfMs: nowMs },
  };
};

/** Takes in a conflict: somebody else owns the cell or has been quicker. */
export const withLeaseLost = (
  lease: CellLease,
  timing: CellLeaseTiming,
  nowMs: number,
): CellLease => ({
  ...withStepFinished(lease, timing, nowMs),
  isOwner: false,
  // The next look counts as the first, so the whole lease has to pass again.
  heartbeatRowVersion: -1,
  unchangedSinceMs: nowMs,
});

/** For an owner that has yielded and still stands in the row: it may only take the cell anew. */
export const withLeaseGivenUp = (lease: CellLease): CellLease => ({
  ...lease,
  isOwner: false,
  isReleased: true,
});

/** Takes in a failed call. An owner stays owner: while the table is out nobody can take over. */
export const withLeaseCallFailed = (
  lease: CellLease,
  timing: CellLeaseTiming,
  nowMs: number,
): CellLease => ({
  ...withStepFinished(lease, timing, nowMs),
  nextStepAtMs: nowMs + Math.min(FAILED_CALL_RETRY_DELAY_MS, timing.heartbeatIntervalMs),
  // A lost acquisition may have raised the epoch, so the rows must be read again.
  heartbeatRowVersion: lease.isOwner ? lease.heartbeatRowVersion : -1,
  unchangedSinceMs: lease.isOwner ? lease.unchangedSinceMs : nowMs,
});
