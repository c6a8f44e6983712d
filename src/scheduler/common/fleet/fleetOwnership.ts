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
import type { FleetTiming } from './fleetTiming.js';

/** The fleet is one cell: all workers of the users' platform, whatever their zone. */
const FLEET_CELL = 'fleet';

export class FleetOwnership {
  readonly #timing: CellLeaseTiming;

  #lease: CellLease;

  #operationCount = 0;

  #isReleased = false;

  #predecessorQuietSinceMs = Number.NEGATIVE_INFINITY;

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
    return this.#predecessorQuietSinceMs;
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
    const next = nextLeaseStep(this.#lease, this.#timing, operationId, nowMs);
    if (next === undefined) return undefined;
    this.#lease = next.lease;
    const { step } = next;
    return 'request' in step
      ? { kind: 'lease-read', request: step.request }
      : { kind: 'lease-write', step: step.kind, transaction: step.transaction };
  }

  handleRead(result: Either<Failure, ReadResult>, sentAtMs: number, nowMs: number): void {
    const wasOwner = this.#lease.isOwner;
    this.#lease = isLeft(result)
      ? withLeaseCallFailed(this.#lease, this.#timing, nowMs)
      : withLeaseRows(this.#lease, this.#timing, result.right, sentAtMs, nowMs);
    // An acquisition whose answer was lost had taken effect, at the latest when this was sent.
    if (this.#lease.isOwner && !wasOwner) this.#predecessorQuietSinceMs = sentAtMs;
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
      if (step === LeaseStepKind.Acquire) {
        this.#predecessorQuietSinceMs = this.#lease.unchangedSinceMs;
      }
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
}
