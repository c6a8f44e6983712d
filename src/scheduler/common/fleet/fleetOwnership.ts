/** Decides whether this daemon owns the fleet, through the same kind of lease as a cell's. */
import { type Either, isLeft } from 'fp-ts/lib/Either.js';

import type { Failure } from '../../../services/errors/common/errorKinds.js';
import {
  type ReadResult,
  type RowCondition,
  type Transaction,
  TransactionOutcome,
  type TransactionResult,
} from '../../../services/table/common/table.js';
import type { RosterEntry } from '../../../services/submissions/common/submissionRows.js';
import { cellOwnerKey, type FormerLeases } from '../../../services/workload/common/workRows.js';
import {
  type CellLease,
  initialCellLease,
  LeaseStepKind,
  nextLeaseStep,
  releaseTransaction,
  withLeaseGivenUp,
  withLeaseCallFailed,
  withLeaseCommitted,
  withLeaseLost,
  withLeaseRows,
} from '../cellLease.js';
import type { CellLeaseTiming } from '../cellLeaseTiming.js';
import type { FleetEffect } from './fleetEffects.js';
import { type FleetTiming, longestLeaseMs } from './fleetTiming.js';

/** The fleet is a single cell with all workers of the users' platform, whatever their zone. */
const FLEET_CELL = 'fleet';

/** Missed heartbeats after which an owner is no longer sure that it still owns the fleet. */
const HEARTBEATS_UNTIL_OVERDUE = 2;

/** What is known of the previous owner at the time of the takeover. */
interface FormerOwner {
  readonly epoch: number;
  /** When its heartbeat was last seen to change. */
  readonly quietSinceMs: number;
  /** When all leases that it may have granted to workers have ended. */
  readonly leasesOverAtMs: number;
  /** When the leases of the owners before it end. */
  readonly earlierLeases: readonly FormerLeases[];
}

const NO_FORMER_OWNER: FormerOwner = {
  epoch: 0,
  quietSinceMs: Number.NEGATIVE_INFINITY,
  leasesOverAtMs: Number.NEGATIVE_INFINITY,
  earlierLeases: [],
};

export class FleetOwnership {
  readonly #timing: FleetTiming & CellLeaseTiming;

  #lease: CellLease;

  #operationCount = 0;

  #isReleased = false;

  #givenUpEpoch: number | undefined;

  /** The previous owner, as known at the last attempt to acquire the lease. */
  #former = NO_FORMER_OWNER;

  constructor(selfId: string, timing: FleetTiming, acquireDelayMs: number, nowMs: number) {
    this.#timing = { ...timing, acquireDelayMs, isDelayRelative: true, renewsFromSending: true };
    this.#lease = initialCellLease(FLEET_CELL, selfId, nowMs);
  }

  get isOwner(): boolean {
    return this.#lease.isOwner && !this.#isReleased;
  }

  get epoch(): number {
    return this.#lease.epoch;
  }

  get selfId(): string {
    return this.#lease.selfId;
  }

  /** When the heartbeat of the previous owner was last seen to change. */
  get predecessorQuietSinceMs(): number {
    return this.#former.quietSinceMs;
  }

  /**
   * When all leases that former owners may have granted to a worker of the roster have ended. The
   * stored instant can be later than the end of the leases that the last owner granted, because
   * that owner may not have reached the worker.
   */
  formerLeasesOverAtMs(entry: RosterEntry, rosterEpoch: number, nowMs: number): number {
    const { leasesOverAtMs, earlierLeases } = this.#former;
    // An owner grants no leases until it has stored the roster under its own epoch.
    const granted = earlierLeases.find(({ upToEpoch }) => upToEpoch >= rosterEpoch);
    const storedMs = entry.limitTableMs ?? granted?.overTableMs;
    const { tableClock } = this.#lease;
    if (storedMs === undefined || tableClock === undefined) return leasesOverAtMs;
    // The table read its clock before its answer arrived, so its clock is at least this far now.
    const tableNowMs = tableClock.tableMs + nowMs - tableClock.readAtMs;
    return nowMs + storedMs - tableNowMs;
  }

  /** Converts an instant of this process's clock to the latest possible instant of the table's. */
  toTableMs(atMs: number): number | undefined {
    const { tableClock } = this.#lease;
    if (tableClock === undefined) return undefined;
    return Math.ceil(tableClock.tableMs + atMs - tableClock.askedAtMs);
  }

  /** The condition of every transaction of the owner. It keeps a former owner from committing. */
  get condition(): RowCondition {
    return { key: cellOwnerKey(FLEET_CELL), version: this.#lease.ownerRowVersion };
  }

  /** The epoch of the owner if its heartbeat has changed within the lease time; else undefined. */
  liveEpoch(nowMs: number): number | undefined {
    const isLive = nowMs - this.#lease.unchangedSinceMs < this.#timing.leaseMs;
    return this.#lease.epoch > 0 && isLive ? this.#lease.epoch : undefined;
  }

  /**
   * Whether the owner may grant leases to workers. Successors assume that an owner without the
   * table goes on granting for `maximumGrantWithoutTableMs` after its last stored heartbeat.
   */
  mayGrant(nowMs: number): boolean {
    return this.#sinceConfirmedHeartbeatMs(nowMs) <= this.#timing.maximumGrantWithoutTableMs;
  }

  /** Whether heartbeats are overdue, so that the owner may soon have to stop granting leases. */
  isHeartbeatOverdue(nowMs: number): boolean {
    const overdueMs = HEARTBEATS_UNTIL_OVERDUE * this.#timing.heartbeatIntervalMs;
    return this.#sinceConfirmedHeartbeatMs(nowMs) > overdueMs;
  }

  nextEffect(nowMs: number): FleetEffect | undefined {
    if (this.#isReleased) return undefined;
    this.#operationCount += 1;
    const operationId = `${this.selfId}:lease:${this.#operationCount}`;
    const former = this.#formerOwner(nowMs);
    const formerLeases = this.#formerLeases(former, nowMs);
    const next = nextLeaseStep(this.#lease, this.#timing, operationId, nowMs, formerLeases);
    if (next === undefined) return undefined;
    this.#lease = next.lease;
    const { step } = next;
    if (step.kind === LeaseStepKind.Acquire) this.#former = former;
    return 'request' in step
      ? { kind: 'lease-read', request: step.request }
      : { kind: 'lease-write', step: step.kind, transaction: step.transaction };
  }

  handleRead(result: Either<Failure, ReadResult>, sentAtMs: number, nowMs: number): void {
    this.#lease = isLeft(result)
      ? withLeaseCallFailed(this.#lease, this.#timing, nowMs)
      : withLeaseRows(this.#lease, this.#timing, result.right, sentAtMs, nowMs);
    if (this.#lease.isOwner && this.#lease.epoch === this.#givenUpEpoch) {
      this.#lease = withLeaseGivenUp(this.#lease);
    }
  }

  handleWritten(
    step: LeaseStepKind,
    result: Either<Failure, TransactionResult>,
    sentAtMs: number,
    nowMs: number,
  ): void {
    const isLate = step === LeaseStepKind.Renew && !this.#lease.isOwner;
    if (isLeft(result)) {
      this.#lease = withLeaseCallFailed(this.#lease, this.#timing, nowMs);
    } else if (result.right.outcome === TransactionOutcome.Committed && !isLate) {
      this.#lease = withLeaseCommitted(
        this.#lease,
        this.#timing,
        step,
        result.right,
        sentAtMs,
        nowMs,
      );
    } else {
      this.#lease = withLeaseLost(this.#lease, this.#timing, nowMs);
    }
  }

  /**
   * Gives the fleet up because a worker has shown that another daemon owns it. If that turns out to
   * be wrong, this daemon has to acquire the fleet under a new epoch, because it has forgotten the
   * leases that it granted in this epoch and the raised fences of workers with a new process.
   */
  giveUp(nowMs: number): void {
    this.#givenUpEpoch = this.#lease.epoch;
    this.#lease = withLeaseLost(this.#lease, this.#timing, nowMs);
  }

  /** Releases the fleet before this daemon ends. An owner gets the transaction to write. */
  release(): Transaction | undefined {
    const wasOwner = this.isOwner;
    this.#isReleased = true;
    return wasOwner ? releaseTransaction(this.#lease, `${this.selfId}:release`) : undefined;
  }

  /** The time since the last heartbeat that is known to be stored was sent. */
  #sinceConfirmedHeartbeatMs(nowMs: number): number {
    return nowMs - this.#lease.lastHeartbeatSentAtMs;
  }

  /**
   * The latest possible send time of the other owner's last heartbeat. This daemon may have seen
   * the heartbeat only long after it was sent.
   */
  #heartbeatAtMs(): number {
    const { unchangedSinceMs, heartbeatSentTableMs, tableClock } = this.#lease;
    if (heartbeatSentTableMs === undefined || tableClock === undefined) return unchangedSinceMs;
    // The table read its clock before its answer arrived.
    const sentAtMs = tableClock.readAtMs + heartbeatSentTableMs - tableClock.tableMs;
    return Math.min(unchangedSinceMs, sentAtMs);
  }

  #formerOwner(nowMs: number): FormerOwner {
    const { epoch, isReleased, unchangedSinceMs, formerLeases: earlierLeases } = this.#lease;
    const { maximumGrantWithoutTableMs, maximumLeaseMs } = this.#timing;
    // An owner that released the fleet granted no leases afterwards. Any other owner may have gone
    // on granting until it noticed that it could not reach the table.
    const lastGrantAtMs = isReleased ? nowMs : this.#heartbeatAtMs() + maximumGrantWithoutTableMs;
    return {
      epoch,
      quietSinceMs: unchangedSinceMs,
      leasesOverAtMs: lastGrantAtMs + longestLeaseMs(maximumLeaseMs),
      earlierLeases,
    };
  }

  /** The former owners' leases, as stored in the owner row of this daemon's epoch. */
  #formerLeases(former: FormerOwner, nowMs: number): readonly FormerLeases[] {
    const overTableMs = this.toTableMs(former.leasesOverAtMs);
    const tableNowMs = this.toTableMs(nowMs);
    if (overTableMs === undefined || tableNowMs === undefined) return [];
    // The last entry that has ended also covers all entries before it.
    const firstCurrentIndex = former.earlierLeases.findIndex(
      (leases) => leases.overTableMs > tableNowMs,
    );
    const kept =
      firstCurrentIndex < 0
        ? former.earlierLeases.slice(-1)
        : former.earlierLeases.slice(Math.max(0, firstCurrentIndex - 1));
    return [...kept, { upToEpoch: former.epoch, overTableMs }];
  }
}
