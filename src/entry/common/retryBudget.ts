/** Limits retries to a share of first attempts. */

/** Retries allowed before the first request, so that an entry with little traffic can retry. */
const INITIAL_TOKENS = 3;
const MAXIMUM_TOKENS = 100;

/**
 * A token bucket for outages of all servers of a service. Without a limit every request would be
 * sent several times, and the servers would return to a multiple of their load. Each first attempt
 * earns a fraction of a retry. Unused tokens are kept only up to a maximum, so that a long quiet
 * period does not allow a storm of retries.
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

  /** Returns one token. */
  refund(): void {
    this.#tokens = Math.min(MAXIMUM_TOKENS, this.#tokens + 1);
  }

  /** Takes one token for a retry; false when there is none. */
  trySpend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** The part of the hedge budget that is spent before any hedge was answered first. */
const EXPLORATION_SHARE = 0.1;

/**
 * Limits hedges to services where they help. A request that takes long by its nature takes as long
 * the second time, so hedging a service of such requests only doubles its work. A small part of the
 * budget explores whether hedging helps; each hedge that is answered first earns another one.
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

  /** Records that a hedge was answered before the first attempt. */
  noteWin(): void {
    this.#explorationBudget.refund();
  }
}
