/** Takes submissions in at an entry instance: they are stored before they are acknowledged. */
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
import { StoreReach } from '../common/storeReach.js';
import { acceptTransaction, cancelTransaction } from '../common/submissionTransactions.js';

/** Between two tries to learn what became of a write; several fit into a caller's patience. */
const RESOLVE_RETRY_MS = 150;
/**
 * The share of the caller's time after which an unresolved write is given up on: with the rest the
 * caller can send the same id to another instance, which finds or stores it.
 */
const RESOLVE_SHARE = 0.45;

export interface SubmissionIntakeServices {
  readonly table: TableService;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly newOperationId: () => string;
  /** The epoch of the scheduler whose heartbeat moves, as seen here; undefined without one. */
  readonly liveEpoch: () => number | undefined;
}

export class SubmissionIntake {
  readonly #services: SubmissionIntakeServices;

  readonly #reach = new StoreReach();

  constructor(services: SubmissionIntakeServices) {
    this.#services = services;
  }

  /**
   * Stores a submission; the right side means that it is stored, now or by an earlier try. A
   * failure says `not-run` only when no write of it can have landed or can still land.
   */
  async accept(submission: Submission, timeoutMs: number): Promise<Either<Failure, undefined>> {
    const { clock, metrics } = this.#services;
    const arrivedAtMs = clock.nowMs();
    const result = await this.#store(submission, timeoutMs);
    const isAccepted = !isLeft(result);
    const isRefused = isLeft(result) && result.left.workOutcome === WorkOutcome.NotRun;
    if (isAccepted) metrics.recordMs('submission_store_duration', clock.nowMs() - arrivedAtMs);
    const failed = isRefused ? 'refused' : 'unresolved';
    metrics.count('submissions', { outcome: isAccepted ? 'accepted' : failed });
    return result;
  }

  async #store(submission: Submission, timeoutMs: number): Promise<Either<Failure, undefined>> {
    const { table, clock, newOperationId } = this.#services;
    const endsAtMs = clock.nowMs() + timeoutMs * RESOLVE_SHARE;
    if (!this.#reach.mayTry(clock.nowMs())) {
      const cause = failure(ErrorKind.StoreUnavailable, 'the store does not answer');
      return this.#refused(submission, cause);
    }
    const transaction = acceptTransaction(submission, newOperationId());
    let mayLand = false;
    do {
      // Each try needs to know how the one before it ended.
      // eslint-disable-next-line no-await-in-loop
      const result = await table.transact(transaction)();
      this.#noteReach(result);
      if (isLeft(result)) {
        mayLand ||= result.left.kind !== ErrorKind.StoreUnavailable;
        if (!mayLand) return this.#refused(submission, result.left);
        // eslint-disable-next-line no-await-in-loop
        await delay(RESOLVE_RETRY_MS);
      } else if (result.right.outcome === TransactionOutcome.Committed) {
        return this.#accepted(submission);
      } else {
        // eslint-disable-next-line no-await-in-loop
        const known = await this.#resolve(submission);
        if (known !== undefined) return known;
        mayLand = true;
      }
    } while (clock.nowMs() < endsAtMs);
    this.#services.log.warn('submission-unresolved', { id: submission.id });
    return left({
      ...failure(ErrorKind.StoreAnswerLost, 'whether the submission is stored is not known'),
      workOutcome: WorkOutcome.Unknown,
    });
  }

  /** False while the store does not answer. */
  get isStoreReachable(): boolean {
    return !this.#reach.isSilent;
  }

  /** The state, or the kind `unknown-object` for an id that nobody has submitted. */
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

  /** Cancels; the right side tells whether anything is stored under the id. */
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
   * How many submissions of the queue wait for their first start. Counts that a former scheduler
   * left behind are not shown: they would stand still while submissions go on coming.
   */
  async waitingCount(queueName: string): Promise<Either<Failure, number>> {
    const { table, liveEpoch } = this.#services;
    const result = await table.read({ keys: [WAITING_COUNTS_KEY], prefixes: [] })();
    if (isLeft(result)) return result;
    const counts = waitingCountsSchema.safeParse(result.right.rows[0]?.value);
    if (!counts.success || counts.data.epoch !== liveEpoch()) {
      return left(failure(ErrorKind.StoreUnavailable, 'nobody has counted lately'));
    }
    return right(counts.data.byQueue[queueName] ?? 0);
  }

  #noteReach(result: Either<Failure, unknown>): void {
    const isSilent = isLeft(result) && result.left.kind === ErrorKind.StoreAnswerLost;
    if (isSilent) this.#reach.noteSilence(this.#services.clock.nowMs());
    else this.#reach.noteAnswer();
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

  /** A refused condition: the submission is there already, or was cancelled before it came. */
  async #resolve(submission: Submission): Promise<Either<Failure, undefined> | undefined> {
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
