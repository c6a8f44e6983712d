/** Bounds retries to a share of first attempts. */

/** Retries allowed before any first attempt was seen, so that a quiet entry can retry at all. */
const INITIAL_TOKENS = 3;
const MAXIMUM_TOKENS = 100;

/**
 * Made for an outage of all servers of a service: without a bound every request would be sent
 * several times and the servers would come back into a multiple of their load. Each first
 * attempt earns a fraction of a retry; what is not used is kept only up to a limit, so that a
 * long quiet time does not pay for a storm.
 */
export class RetryBudget {
  readonly #ratio: number;

  #tokens: number;

  constructor(ratio: number) {
    this.#ratio = ratio;
    this.#tokens = ratio > 0 ? INITIAL_TOKENS : 0;
  }

  earn(): void {
    this.#tokens = Math.min(MAXIMUM_TOKENS, this.#tokens + this.#ratio);
  }

  get hasToken(): boolean {
    return this.#tokens >= 1;
  }

  /** Gives one back. */
  refund(): void {
    this.#tokens = Math.min(MAXIMUM_TOKENS, this.#tokens + 1);
  }

  /** Takes one retry out of the budget, if there is one. */
  trySpend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** The part of the hedge budget that is spent without a sign that hedging helps. */
const EXPLORATION_SHARE = 0.1;

/**
 * Bounds hedges, and keeps them to where they help. A request that is long by its nature is as
 * long the second time, so hedging a service of such requests only doubles its work. A small
 * part of the budget goes into trying; each hedge that is answered first earns another one.
 */
export class HedgeBudget {
  readonly #totalBudget: RetryBudget;

  readonly #explorationBudget: RetryBudget;

  constructor(ratio: number) {
    this.#totalBudget = new RetryBudget(ratio);
    this.#explorationBudget = new RetryBudget(ratio * EXPLORATION_SHARE);
  }

  get hasToken(): boolean {
    return this.#totalBudget.hasToken && this.#explorationBudget.hasToken;
  }

  earn(): void {
    this.#totalBudget.earn();
    this.#explorationBudget.earn();
  }

  trySpend(): boolean {
    if (!this.hasToken) return false;
    return this.#totalBudget.trySpend() && this.#explorationBudget.trySpend();
  }

  /** A hedge was answered before the first attempt. */
  noteWin(): void {
    this.#explorationBudget.refund();
  }
}
