/** Decides on the claim of an idempotency key; pure, the table is asked by the caller. */
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

/** A request that has to hold the claim of its key before it is sent. */
export interface ClaimRequest {
  readonly serviceName: string;
  readonly idempotencyKey: string;
  readonly claimId: string;
  readonly requestDigest: string;
  readonly generation: number;
}

/** The keys that must be absent; the middle one is written. */
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
 * Inserts the claim if the key is absent. The operation is named by the claim, so that a row
 * that it wrote is known again after its answer was lost.
 */
export const claimTransaction = (claim: ClaimRequest): Transaction => ({
  operationId: claim.claimId,
  conditions: claimKeys(claim).map((key) => ({ key, version: ABSENT_VERSION })),
  writes: [{ key: currentClaimKey(claim), value: claimValue(claim, ClaimState.Claimed, null) }],
});

/** Records the answer for repeats; null for one that is too large to keep. */
export const answerTransaction = (
  claim: ClaimRequest,
  version: number,
  answer: RecordedAnswer | null,
): Transaction => ({
  operationId: `${claim.claimId}/answer`,
  conditions: [{ key: currentClaimKey(claim), version }],
  writes: [{ key: currentClaimKey(claim), value: claimValue(claim, ClaimState.Answered, answer) }],
});

/** Gives the key back, after its request surely did not run. */
export const releaseTransaction = (claim: ClaimRequest, version: number): Transaction => ({
  operationId: `${claim.claimId}/release`,
  conditions: [{ key: currentClaimKey(claim), version }],
  writes: [{ key: currentClaimKey(claim), value: null }],
});

/** What a request may do after the table was asked. */
export type ClaimDecision =
  /** The claim is this request's own: it may be sent, once. */
  | { readonly kind: 'held'; readonly version: number }
  /** The key was answered before; the same answer is given again. */
  | { readonly kind: 'replay'; readonly answer: RecordedAnswer }
  /** Another request holds the key, or the key names another request. */
  | { readonly kind: 'refused'; readonly failure: Failure }
  /** No claim stands; it has to be made (again). */
  | { readonly kind: 'absent' };

const refused = (cause: Failure): ClaimDecision => ({ kind: 'refused', failure: cause });

/**
 * Reads the verdict from the rows of the key. It is asked after a conflict and after a lost
 * answer: a row with this claim's id shows that the lost insertion took effect.
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

/** After how long of the store's silence a claim is tried again. */
const STORE_PROBE_INTERVAL_MS = 500;

/**
 * Made for an outage of the store in which calls hang until they time out: each request with a
 * key would wait that long for its refusal and hold its caller's connection. After a failure,
 * one claim at a time tries the store, at an interval; all others are refused at once.
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

/** A claim that takes longer gives its place at a server back, and the next ones are early. */
export const MAXIMUM_CLAIM_HOLD_MS = 25;

/**
 * Decides when a key is claimed: late, when its request has its place at a server, or early,
 * before it waits.
 *
 * Made for entries that are killed. A claim stays when its entry dies, and then nobody can tell
 * whether its request was sent; the caller is told "unknown" for a day. Claimed late, a request
 * that only waited has left nothing behind, and its repeat runs at once. What is left is the
 * time from the claim's commit to the first byte, in which no record could tell.
 *
 * The place stands idle meanwhile, so with a slow store late claims would take the places of
 * requests that need no store at all. Hence early claims after a slow or failed one, until one
 * was quick again.
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

/** The generation that the wall clock names; see the rows of claims for how far it may be off. */
export const currentGeneration = claimGeneration;
