/** Decisions about the claim of an idempotency key. Pure; the caller reads and writes the table. */
import {
  ErrorKind,
  failure,
  type Failure,
  WorkOutcome,
} from '../../services/errors/common/errorKinds.js';
import {
  ABSENT_VERSION,
  type TableRow,
  type Transaction,
} from '../../services/table/common/table.js';
import {
  claimGeneration,
  claimKey,
  type ClaimRow,
  claimRowSchema,
  ClaimState,
  type RecordedAnswer,
} from '../../services/workload/common/claimRow.js';

/** The claim that a request must hold on its idempotency key before it is sent. */
export interface ClaimRequest {
  readonly serviceName: string;
  readonly idempotencyKey: string;
  readonly claimId: string;
  readonly requestDigest: string;
  readonly generation: number;
}

/** The row keys that must be absent; an insertion writes the middle one. */
export const claimKeys = (claim: ClaimRequest): readonly string[] =>
  [-1, 0, 1].map((offset) =>
    claimKey(claim.generation + offset, claim.serviceName, claim.idempotencyKey),
  );

export const currentClaimKey = (claim: ClaimRequest): string =>
  claimKey(claim.generation, claim.serviceName, claim.idempotencyKey);

const claimValue = (
  claim: ClaimRequest,
  state: ClaimState,
  answer: RecordedAnswer | null,
): ClaimRow => ({
  state,
  claimId: claim.claimId,
  requestDigest: claim.requestDigest,
  answer,
});

/**
 * Inserts the claim if the key is absent. The claim's id is also the operation's id, so that the
 * entry recognizes its own row after the answer to the insertion was lost.
 */
export const claimTransaction = (claim: ClaimRequest): Transaction => ({
  operationId: claim.claimId,
  conditions: claimKeys(claim).map((key) => ({ key, version: ABSENT_VERSION })),
  writes: [{ key: currentClaimKey(claim), value: claimValue(claim, ClaimState.Claimed, null) }],
});

/** Records the answer for repeats of the request; null for an answer that is too large. */
export const answerTransaction = (
  claim: ClaimRequest,
  version: number,
  answer: RecordedAnswer | null,
): Transaction => ({
  operationId: `${claim.claimId}/answer`,
  conditions: [{ key: currentClaimKey(claim), version }],
  writes: [{ key: currentClaimKey(claim), value: claimValue(claim, ClaimState.Answered, answer) }],
});

/** Releases the key after its request certainly did not run. */
export const releaseTransaction = (claim: ClaimRequest, version: number): Transaction => ({
  operationId: `${claim.claimId}/release`,
  conditions: [{ key: currentClaimKey(claim), version }],
  writes: [{ key: currentClaimKey(claim), value: null }],
});

/** The decision about a request, after the table was read or written. */
export type ClaimDecision =
  /** This request holds the claim and may be sent once. */
  | { readonly kind: 'held'; readonly version: number }
  /** The key has a recorded answer, which the caller gets again. */
  | { readonly kind: 'replay'; readonly answer: RecordedAnswer }
  /** Another request holds the key, or the key was used for a different request. */
  | { readonly kind: 'refused'; readonly failure: Failure }
  /** No claim exists; it has to be inserted (again). */
  | { readonly kind: 'absent' };

const refused = (cause: Failure): ClaimDecision => ({ kind: 'refused', failure: cause });

/**
 * Decides from the rows of the key, after a conflict or after the answer to an insertion was lost.
 * A row with this claim's id shows that the insertion took effect.
 */
export const decideClaim = (claim: ClaimRequest, rows: readonly TableRow[]): ClaimDecision => {
  const [row] = rows;
  if (row === undefined) return { kind: 'absent' };
  const parsed = claimRowSchema.safeParse(row.value);
  if (!parsed.success) {
    return refused(failure(ErrorKind.AlreadyClaimed, 'the claim of this key is not readable'));
  }
  const { claimId, requestDigest, state, answer } = parsed.data;
  if (claimId === claim.claimId) return { kind: 'held', version: row.version };
  if (requestDigest !== claim.requestDigest) {
    return refused(failure(ErrorKind.BadRequest, 'the key was used for another request'));
  }
  if (answer !== null) return { kind: 'replay', answer };
  if (state === ClaimState.Answered) {
    return refused({
      ...failure(ErrorKind.AlreadyClaimed, 'it ran and was answered; the answer was not kept'),
      workOutcome: WorkOutcome.Ran,
    });
  }
  return refused(
    failure(ErrorKind.AlreadyClaimed, 'a request with this key is under way or was lost'),
  );
};

/** The interval at which one claim probes a store that failed. */
const STORE_PROBE_INTERVAL_MS = 500;

/**
 * Circuit breaker for outages of the store in which calls hang until they time out. Without it
 * each request with a key would wait that long for its refusal and hold its caller's connection.
 * After a failure one claim per interval probes the store; all others are refused at once.
 */
export class StoreCircuitBreaker {
  #isOpen = false;

  #nextProbeAtMs = 0;

  mayCall(nowMs: number): boolean {
    if (!this.#isOpen) return true;
    if (nowMs < this.#nextProbeAtMs) return false;
    this.#nextProbeAtMs = nowMs + STORE_PROBE_INTERVAL_MS;
    return true;
  }

  noteSuccess(): void {
    this.#isOpen = false;
  }

  noteFailure(nowMs: number): void {
    this.#isOpen = true;
    this.#nextProbeAtMs = nowMs + STORE_PROBE_INTERVAL_MS;
  }
}

/** A claim that takes longer releases its permit, and the next keys are claimed early. */
export const MAXIMUM_CLAIM_HOLD_MS = 25;

/**
 * Decides when a key is claimed: late, when its request holds a permit on a server, or early,
 * before the request waits.
 *
 * Late claims are for entries that are killed. A claim outlives its entry, and then nobody can
 * tell whether its request was sent, so the caller gets the outcome "unknown" for a day. With a
 * late claim, a request that only waited leaves no row behind, and its repeat runs at once. The
 * outcome stays unknown only for an entry killed between the claim's commit and the first byte.
 *
 * The permit is idle during a late claim, so with a slow store late claims would use up the
 * permits of requests that need no store at all. After a slow or failed claim, keys are therefore
 * claimed early, until a claim is fast again.
 */
export class ClaimTiming {
  #isEarly = false;

  get isEarly(): boolean {
    return this.#isEarly;
  }

  noteClaim(durationMs: number, isAnswered: boolean): void {
    this.#isEarly = !isAnswered || durationMs > MAXIMUM_CLAIM_HOLD_MS;
  }
}

/** The generation at a time of the wall clock; the claim rows say how far clocks may differ. */
export const currentGeneration = claimGeneration;
