/** Whether this daemon schedules the fleet, by the same lease as a cell's. */
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
import { cellOwnerKey } from '../../../services/workload/common/workRows.js';
import {
  type CellLease,
  initialCellLease,
  LeaseStepKind,
  nextLeaseStep,
  releaseTransaction,
  withLeaseCallFailed,
  withLeaseCommitted,
  withLeaseLost,
  withLeaseRows,
} from '../cellLease.js';
import type { CellLeaseTiming } from '../leasePatience.js';
import type { FleetEffect } from './fleetEffects.js';
import { type FleetTiming, longestLeaseMs } from './fleetTiming.js';

/** The fleet is one cell: all workers of the users' platform, whatever their zone. */
const FLEET_CELL = 'fleet';

/** What is known of the owner before this one when its place is taken. */
interface FormerOwner {
  readonly epoch: number;
  /** Since when its heartbeat was seen to stand still. */
  readonly quietSinceMs: number;
  /** When all leases that it may have granted to workers are over. */
  readonly leasesOverAtMs: number;
  /** The same of the owners before it, on the table's clock. */
  readonly earlierLeasesOverTableMs: number | undefined;
}

const NO_FORMER_OWNER: FormerOwner = {
  epoch: 0,
  quietSinceMs: Number.NEGATIVE_INFINITY,
  leasesOverAtMs: Number.NEGATIVE_INFINITY,
  earlierLeasesOverTableMs: undefined,
};

export class FleetOwnership {
  readonly #timing: FleetTiming & CellLeaseTiming;

  #lease: CellLease;

  #operationCount = 0;

  #isReleased = false;

  /** As of the last attempt to take the fleet. */
  #former = NO_FORMER_OWNER;

  constructor(selfId: string, timing: FleetTiming, acquireDelayMs: number, nowMs: number) {
    this.#timing = { ...timing, acquireDelayMs, isDelayRelative: true };
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

  /** Since when the heartbeat of the owner before this one was seen to stand still. */
  get predecessorQuietSinceMs(): number {
    return this.#former.quietSinceMs;
  }

  /** When all leases that former owners may have granted to a worker of the roster are over. */
  leasesOverAtMs(entry: RosterEntry, rosterEpoch: number, nowMs: number): number {
    const { epoch, leasesOverAtMs, earlierLeasesOverTableMs } = this.#former;
    // The owner before this one grants nothing until the roster is of its epoch.
    const earlierMs = rosterEpoch < epoch ? earlierLeasesOverTableMs : undefined;
    const storedMs = entry.leasesOverTableMs ?? earlierMs;
    const { tableClock } = this.#lease;
    if (storedMs === undefined || tableClock === undefined) return leasesOverAtMs;
    // The table's clock is at least as far as it was when its answer came.
    const tableNowMs = tableClock.tableMs + nowMs - tableClock.readAtMs;
    return Math.min(leasesOverAtMs, nowMs + storedMs - tableNowMs);
  }

  /** An instant of this process on the table's clock, at the latest. */
  toTableMs(atMs: number): number | undefined {
    const { tableClock } = this.#lease;
    if (tableClock === undefined) return undefined;
    return Math.ceil(tableClock.tableMs + atMs - tableClock.askedAtMs);
  }

  /** Named by each transaction of the owner: a former owner commits nothing more. */
  get condition(): RowCondition {
    return { key: cellOwnerKey(FLEET_CELL), version: this.#lease.ownerRowVersion };
  }

  /** The epoch of an owner whose heartbeat was seen to move lately; undefined without one. */
  liveEpoch(nowMs: number): number | undefined {
    const isLive = nowMs - this.#lease.unchangedSinceMs < this.#timing.leaseMs;
    return this.#lease.epoch > 0 && isLive ? this.#lease.epoch : undefined;
  }

  /** How long ago the last heartbeat that is known to be stored was sent. */
  unprovenMs(nowMs: number): number {
    return nowMs - this.#lease.heldAtMs;
  }

  next(nowMs: number): FleetEffect | undefined {
    if (this.#isReleased) return undefined;
    this.#operationCount += 1;
    const operationId = `${this.selfId}:lease:${this.#operationCount}`;
    const former = this.#formerOwner(nowMs);
    const formerLeasesOverTableMs = this.toTableMs(former.leasesOverAtMs);
    const next = nextLeaseStep(
      this.#lease,
      this.#timing,
      operationId,
      nowMs,
      formerLeasesOverTableMs,
    );
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
  }

  handleWritten(
    step: LeaseStepKind,
    result: Either<Failure, TransactionResult>,
    sentAtMs: number,
    nowMs: number,
  ): void {
    if (isLeft(result)) {
      this.#lease = withLeaseCallFailed(this.#lease, this.#timing, nowMs);
    } else if (result.right.outcome === TransactionOutcome.Committed) {
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

  /** A worker or the table has shown that another daemon owns the fleet. */
  yield(nowMs: number): void {
    this.#lease = withLeaseLost(this.#lease, this.#timing, nowMs);
  }

  /** Hands the fleet over before this daemon ends; returns what to write, if it is the owner. */
  release(): Transaction | undefined {
    const wasOwner = this.isOwner;
    this.#isReleased = true;
    return wasOwner ? releaseTransaction(this.#lease, `${this.selfId}:release`) : undefined;
  }

  #formerOwner(nowMs: number): FormerOwner {
    const { epoch, isReleased, unchangedSinceMs, formerLeasesOverTableMs } = this.#lease;
    const { maximumGrantWithoutTableMs, maximumLeaseMs } = this.#timing;
    // One that gave the fleet up granted nothing afterwards; another one may have gone on until it
    // noticed that it does not reach the table.
    const lastGrantAtMs = isReleased ? nowMs : unchangedSinceMs + maximumGrantWithoutTableMs;
    return {
      epoch,
      quietSinceMs: unchangedSinceMs,
      leasesOverAtMs: lastGrantAtMs + longestLeaseMs(maximumLeaseMs),
      earlierLeasesOverTableMs: formerLeasesOverTableMs,
    };
  }
}
