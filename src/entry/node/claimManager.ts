/** Inserts, completes and releases claims of idempotency keys in the platform's table. */
import { createHash, randomUUID } from 'node:crypto';

import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import type { Clock } from '../../base/common/clock.js';
import type { Disposable } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import {
  type TableService,
  type Transaction,
  TransactionOutcome,
} from '../../services/table/common/table.js';
import { tableUnder } from '../../services/table/common/tracedTableService.js';
import type { TraceSpan } from '../../services/tracing/common/tracing.js';
import { claimGeneration, type RecordedAnswer } from '../../services/workload/common/claimRow.js';
import type { CallerRequest } from '../common/callerRequest.js';
import {
  answerTransaction,
  claimKeys,
  type ClaimRequest,
  ClaimTiming,
  claimTransaction,
  type ClaimDecision,
  decideClaim,
  releaseTransaction,
  StoreCircuitBreaker,
} from '../common/claims.js';

/** An inserted claim, with the version of its row. */
export interface HeldClaim {
  readonly claim: ClaimRequest;
  readonly version: number;
  /** The request's span; undefined when the request is not sampled. */
  readonly span: TraceSpan | undefined;
}

export type ClaimResult =
  | { readonly kind: 'held'; readonly held: HeldClaim }
  | { readonly kind: 'replay'; readonly answer: RecordedAnswer };

export interface ClaimManagerSettings {
  readonly claimLifetimeMs: number;
  readonly maximumRecordedBytes: number;
}

/** Rounds of insertion and reading before a request is refused as not run. */
const MAXIMUM_CLAIM_ROUNDS = 4;
/** Attempts to write an answer or a release; a lost write affects only repeats of the request. */
const MAXIMUM_WRITE_ATTEMPTS = 3;
const STORE_RETRY_AFTER_MS = 2_000;
const WITHDRAWAL_INTERVAL_MS = 200;
const MAXIMUM_ABANDONED_CLAIMS = 1_000;
/** Callers do not wait for these writes, so nothing else limits their number. */
const MAXIMUM_PENDING_WRITES = 1_000;

const storeUnavailable = (): Failure => ({
  ...failure(ErrorKind.StoreUnavailable, 'the store that keeps idempotency keys is out'),
  retryAfterMs: STORE_RETRY_AFTER_MS,
});

const digestOf = ({ method, path, body }: CallerRequest): string =>
  createHash('sha256')
    .update(`${method} ${path}\n`)
    .update(body ?? new Uint8Array())
    .digest('base64');

export class ClaimManager implements Disposable {
  readonly #table: TableService;

  readonly #clock: Clock;

  readonly #metrics: Metrics;

  readonly #settings: ClaimManagerSettings;

  readonly #storeBreaker = new StoreCircuitBreaker();

  readonly #timing = new ClaimTiming();

  readonly #writes = new Set<Promise<void>>();

  /** Claims whose insertion may have taken effect although their request was never sent. */
  readonly #abandoned = new Set<ClaimRequest>();

  readonly #withdrawalTimer: PeriodicTimer;

  constructor(table: TableService, clock: Clock, metrics: Metrics, settings: ClaimManagerSettings) {
    this.#table = table;
    this.#clock = clock;
    this.#metrics = metrics;
    this.#settings = settings;
    this.#withdrawalTimer = new PeriodicTimer(WITHDRAWAL_INTERVAL_MS, () =>
      this.#withdrawAbandoned(),
    );
  }

  dispose(): void {
    this.#withdrawalTimer.dispose();
  }

  /** Whether keys are claimed before their requests wait; see `ClaimTiming`. */
  get isEarly(): boolean {
    return this.#timing.isEarly;
  }

  /**
   * Claims the key of a request. The request may be sent only after this has resolved as held;
   * every failure means that nothing was sent. After a lost answer the rows are read, and if there
   * is none, the claim is inserted again under the same id, so that a delayed copy of the first
   * insertion can only conflict.
   */
  async claim(
    request: CallerRequest,
    idempotencyKey: string,
    wallMs: number,
    span?: TraceSpan,
  ): Promise<Either<Failure, ClaimResult>> {
    if (this.#writes.size >= MAXIMUM_PENDING_WRITES) return this.#refuseUnavailable();
    const startedAtMs = this.#clock.nowMs();
    const claimed = await this.#claim(request, idempotencyKey, wallMs, span);
    const isAnswered = !isLeft(claimed) || claimed.left.kind !== ErrorKind.StoreUnavailable;
    this.#timing.noteClaim(this.#clock.nowMs() - startedAtMs, isAnswered);
    return claimed;
  }

  async #claim(
    request: CallerRequest,
    idempotencyKey: string,
    wallMs: number,
    span: TraceSpan | undefined,
  ): Promise<Either<Failure, ClaimResult>> {
    const claim: ClaimRequest = {
      serviceName: request.serviceName,
      idempotencyKey,
      claimId: randomUUID(),
      requestDigest: digestOf(request),
      generation: claimGeneration(wallMs, this.#settings.claimLifetimeMs),
    };
    for (let round = 0; round < MAXIMUM_CLAIM_ROUNDS; round += 1) {
      if (!this.#storeBreaker.mayCall(this.#clock.nowMs())) return this.#refuseUnavailable();
      // eslint-disable-next-line no-await-in-loop -- each round depends on the one before
      const decision = await this.#tryInsert(claim, tableUnder(this.#table, span));
      if (isLeft(decision)) return this.#refuseUnavailable(claim);
      if (decision.right.kind === 'held') {
        const { version } = decision.right;
        return right({ kind: 'held', held: { claim, version, span } });
      }
      if (decision.right.kind === 'replay') return right(decision.right);
      if (decision.right.kind === 'refused') return left(decision.right.failure);
    }
    return this.#refuseUnavailable(claim);
  }

  /** Records an answer for repeats of the request; the caller does not wait for the write. */
  recordAnswer(held: HeldClaim, answer: RecordedAnswer): void {
    const isSmall = answer.bodyBase64.length <= this.#settings.maximumRecordedBytes;
    void this.#write(held, answerTransaction(held.claim, held.version, isSmall ? answer : null));
  }

  /** Releases the key, so that a repeat may run. */
  release(held: HeldClaim): Promise<void> {
    return this.#write(held, releaseTransaction(held.claim, held.version));
  }

  /** Resolves when all running writes have ended; the attempts of each write are limited. */
  async settle(): Promise<void> {
    await Promise.all(this.#writes);
  }

  async #tryInsert(
    claim: ClaimRequest,
    table: TableService,
  ): Promise<Either<Failure, ClaimDecision>> {
    const inserted = await table.transact(claimTransaction(claim))();
    if (isLeft(inserted)) {
      this.#storeBreaker.noteFailure(this.#clock.nowMs());
      this.#metrics.count('claim_store_failures', { kind: inserted.left.kind });
      if (inserted.left.kind !== ErrorKind.StoreAnswerLost) return inserted;
    } else {
      this.#storeBreaker.noteSuccess();
      if (inserted.right.outcome === TransactionOutcome.Committed) {
        return right({ kind: 'held', version: inserted.right.version });
      }
    }
    const read = await table.read({ keys: claimKeys(claim), prefixes: [] })();
    if (isLeft(read)) {
      this.#storeBreaker.noteFailure(this.#clock.nowMs());
      return read;
    }
    this.#storeBreaker.noteSuccess();
    return right(decideClaim(claim, read.right.rows));
  }

  #refuseUnavailable(claim?: ClaimRequest): Either<Failure, never> {
    this.#metrics.count('claims_refused');
    if (claim !== undefined && this.#abandoned.size < MAXIMUM_ABANDONED_CLAIMS) {
      this.#abandoned.add(claim);
    }
    return left(storeUnavailable());
  }

  /**
   * Removes a claim that a refused request may have left in the table, so that the request's
   * repeat is not refused because the key is taken. A claim that is not found counts as removed.
   */
  async #withdrawAbandoned(): Promise<void> {
    const [claim] = this.#abandoned;
    if (claim === undefined || !this.#storeBreaker.mayCall(this.#clock.nowMs())) return;
    const read = await this.#table.read({ keys: claimKeys(claim), prefixes: [] })();
    if (isLeft(read)) {
      this.#storeBreaker.noteFailure(this.#clock.nowMs());
      return;
    }
    this.#storeBreaker.noteSuccess();
    const decision = decideClaim(claim, read.right.rows);
    if (decision.kind === 'held') {
      const released = await this.#table.transact(releaseTransaction(claim, decision.version))();
      if (isLeft(released)) return;
    }
    this.#abandoned.delete(claim);
  }

  #write({ span }: HeldClaim, transaction: Transaction): Promise<void> {
    const table = tableUnder(this.#table, span);
    const writing = this.#writeWithRetries(table, transaction).finally(() =>
      this.#writes.delete(writing),
    );
    this.#writes.add(writing);
    return writing;
  }

  async #writeWithRetries(table: TableService, transaction: Transaction): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_WRITE_ATTEMPTS; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- attempts run in sequence
      const written = await table.transact(transaction)();
      if (!isLeft(written)) return;
    }
    this.#metrics.count('claim_writes_lost');
  }
}
