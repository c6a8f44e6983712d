/** Accepts submissions at an entry instance. A submission is stored before it is acknowledged. */
import { setTimeout as delay } from 'node:timers/promises';

import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import type { Clock } from '../../base/common/clock.js';
import {
  ErrorKind,
  failure,
  type Failure,
  WorkOutcome,
} from '../../services/errors/common/errorKinds.js';
import type { Log } from '../../services/log/common/log.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import { type Submission, SubmissionState } from '../../services/submissions/common/submission.js';
import {
  cancelKey,
  progressKey,
  progressSchema,
  specKey,
  WAITING_COUNTS_KEY,
  waitingCountsSchema,
} from '../../services/submissions/common/submissionRows.js';
import {
  rowsByKey,
  type TableService,
  TransactionOutcome,
} from '../../services/table/common/table.js';
import { StoreCircuitBreaker } from '../common/storeCircuitBreaker.js';
import { acceptTransaction, cancelTransaction } from '../common/submissionTransactions.js';

/** Delay between attempts to resolve a write; several fit into a caller's timeout. */
const RESOLVE_RETRY_MS = 150;
/**
 * Share of the caller's timeout after which the intake stops resolving a write. The caller uses
 * the rest to send the same id to another instance, which finds or stores the submission.
 */
const RESOLVE_TIMEOUT_SHARE = 0.45;

/** What the table stores beside the submission: the operation id, and the size of its pages. */
const ROW_OVERHEAD_BYTES = 200;
/** The kinds of failures of transactions that had no effect. */
const EFFECTLESS_KINDS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.StoreUnavailable,
  ErrorKind.BodyTooLarge,
]);

export interface SubmissionIntakeServices {
  readonly table: TableService;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly newOperationId: () => string;
  /** The maximum size of a row of the table. */
  readonly maximumRowBytes: number;
  /** The epoch of the scheduler whose heartbeat advances; undefined if none is seen here. */
  readonly liveEpoch: () => number | undefined;
}

export class SubmissionIntake {
  readonly #services: SubmissionIntakeServices;

  readonly #circuitBreaker = new StoreCircuitBreaker();

  constructor(services: SubmissionIntakeServices) {
    this.#services = services;
  }

  /**
   * Stores a submission. A right result means that the submission is stored, by this call or an
   * earlier one. A failure has the work outcome `not-run` only when no write of the submission
   * has committed or can still commit.
   */
  async accept(submission: Submission, timeoutMs: number): Promise<Either<Failure, undefined>> {
    const { clock, metrics } = this.#services;
    const arrivedAtMs = clock.nowMs();
    const result = await this.#store(submission, timeoutMs);
    const isAccepted = !isLeft(result);
    const isRefused = isLeft(result) && result.left.workOutcome === WorkOutcome.NotRun;
    if (isAccepted) metrics.recordMs('submission_store_duration', clock.nowMs() - arrivedAtMs);
    const failureOutcome = isRefused ? 'refused' : 'unresolved';
    metrics.count('submissions', { outcome: isAccepted ? 'accepted' : failureOutcome });
    return result;
  }

  async #store(submission: Submission, timeoutMs: number): Promise<Either<Failure, undefined>> {
    const { table, clock, maximumRowBytes, newOperationId } = this.#services;
    const rowBytes = Buffer.byteLength(JSON.stringify(submission)) + ROW_OVERHEAD_BYTES;
    if (rowBytes > maximumRowBytes) {
      const cause = failure(ErrorKind.BodyTooLarge, 'the table cannot store the submission');
      return this.#refused(submission, cause);
    }
    const resolveUntilMs = clock.nowMs() + timeoutMs * RESOLVE_TIMEOUT_SHARE;
    if (!this.#circuitBreaker.allowCall(clock.nowMs())) {
      const cause = failure(ErrorKind.StoreUnavailable, 'the store does not answer');
      return this.#refused(submission, cause);
    }
    const transaction = acceptTransaction(submission, newOperationId());
    let mayBeStored = false;
    do {
      // Each attempt depends on the result of the previous one.
      // eslint-disable-next-line no-await-in-loop
      const result = await table.transact(transaction)();
      this.#recordCallResult(result);
      if (isLeft(result)) {
        mayBeStored ||= !EFFECTLESS_KINDS.has(result.left.kind);
        if (!mayBeStored) return this.#refused(submission, result.left);
        // eslint-disable-next-line no-await-in-loop
        await delay(RESOLVE_RETRY_MS);
      } else if (result.right.outcome === TransactionOutcome.Committed) {
        return this.#accepted(submission);
      } else {
        // eslint-disable-next-line no-await-in-loop
        const resolved = await this.#resolveConflict(submission);
        if (resolved !== undefined) return resolved;
        mayBeStored = true;
      }
    } while (clock.nowMs() < resolveUntilMs);
    this.#services.log.warn('submission-unresolved', { id: submission.id });
    return left({
      ...failure(ErrorKind.StoreAnswerLost, 'whether the submission is stored is not known'),
      workOutcome: WorkOutcome.Unknown,
    });
  }

  /** Whether the store answered the latest attempt to store a submission. */
  get isStoreReachable(): boolean {
    return !this.#circuitBreaker.isOpen;
  }

  /** Reads the state of a submission; fails with `unknown-object` if the id was never submitted. */
  async state(id: string): Promise<Either<Failure, SubmissionState>> {
    const { table } = this.#services;
    const progress = await table.read({ keys: [progressKey(id)], prefixes: [] })();
    if (isLeft(progress)) return progress;
    const row = progress.right.rows[0];
    const parsed = row === undefined ? undefined : progressSchema.safeParse(row.value);
    if (parsed?.success === true) return right(parsed.data.state);
    if (row !== undefined) this.#services.log.warn('row-unreadable', { key: row.key });
    const stored = await table.read({ keys: [specKey(id), cancelKey(id)], prefixes: [] })();
    if (isLeft(stored)) return stored;
    const rows = rowsByKey(stored.right.rows);
    if (!rows.has(specKey(id)))
      return left(failure(ErrorKind.UnknownObject, `no submission ${id}`));
    return right(rows.has(cancelKey(id)) ? SubmissionState.Cancelled : SubmissionState.Queued);
  }

  /** Cancels a submission; a right result says whether a submission is stored under the id. */
  async cancel(id: string): Promise<Either<Failure, boolean>> {
    const { table, log, newOperationId } = this.#services;
    const written = await table.transact(cancelTransaction(id, newOperationId()))();
    if (isLeft(written)) return written;
    log.info('submission-cancelled', { id });
    const stored = await table.read({ keys: [specKey(id)], prefixes: [] })();
    if (isLeft(stored)) return stored;
    return right(stored.right.rows.length > 0);
  }

  /**
   * Reads how many submissions of the queue wait for their first start. Counts written by a former
   * scheduler are treated as unavailable, since they no longer change while submissions arrive.
   */
  async waitingCount(queueName: string): Promise<Either<Failure, number>> {
    const { table, liveEpoch } = this.#services;
    const result = await table.read({ keys: [WAITING_COUNTS_KEY], prefixes: [] })();
    if (isLeft(result)) return result;
    const counts = waitingCountsSchema.safeParse(result.right.rows[0]?.value);
    if (!counts.success || counts.data.epoch !== liveEpoch()) {
      return left(failure(ErrorKind.StoreUnavailable, 'nobody has counted lately'));
    }
    const { byQueue } = counts.data;
    return right(Object.hasOwn(byQueue, queueName) ? (byQueue[queueName] ?? 0) : 0);
  }

  #recordCallResult(result: Either<Failure, unknown>): void {
    const isUnanswered = isLeft(result) && result.left.kind === ErrorKind.StoreAnswerLost;
    if (isUnanswered) this.#circuitBreaker.recordSilence(this.#services.clock.nowMs());
    else this.#circuitBreaker.recordAnswer();
  }

  #accepted(submission: Submission): Either<Failure, undefined> {
    const { id, queueName } = submission;
    this.#services.log.info('submission-accepted', { id, queueName });
    return right(undefined);
  }

  #refused({ id, queueName }: Submission, cause: Failure): Either<Failure, undefined> {
    this.#services.log.info('submission-refused', { id, queueName, message: cause.message });
    return left({ ...cause, workOutcome: WorkOutcome.NotRun });
  }

  /**
   * Finds out why a condition failed: the submission is stored already, or it was cancelled before
   * it arrived. Undefined when the read fails or finds neither row.
   */
  async #resolveConflict(submission: Submission): Promise<Either<Failure, undefined> | undefined> {
    const { id } = submission;
    const keys = [specKey(id), cancelKey(id)];
    const result = await this.#services.table.read({ keys, prefixes: [] })();
    if (isLeft(result)) return undefined;
    const rows = rowsByKey(result.right.rows);
    if (rows.has(specKey(id))) return this.#accepted(submission);
    if (!rows.has(cancelKey(id))) return undefined;
    const cause = failure(ErrorKind.AlreadyClaimed, 'the submission was cancelled before it came');
    return this.#refused(submission, cause);
  }
}
