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

  #tokens = INITIAL_TOKENS;

  constructor(ratio: number) {
    this.#ratio = ratio;
  }

  earn(): void {
    this.#tokens = Math.min(MAXIMUM_TOKENS, this.#tokens + this.#ratio);
  }

  get hasToken(): boolean {
    return this.#tokens >= 1;
  }

  /** Takes one retry out of the budget, if there is one. */
  trySpend(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
