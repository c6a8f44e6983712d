/** The circuit breaker for calls to the store. */

/** Interval between probes of a silent store; several probes fit into a caller's timeout. */
const TRY_INTERVAL_MS = 400;

/**
 * Refuses calls while the store does not answer. Without the breaker, each caller would wait for
 * the full timeout of the store's client before it learns that it has to retry. While the breaker
 * is open, one call per interval goes through as a probe and the others are refused immediately.
 * A refused call certainly has no effect, because nothing of it is sent.
 */
export class StoreReach {
  #isSilent = false;

  #nextTryAtMs = 0;

  /** Whether the latest call to the store got no answer. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** Whether to call the store now. While the store is silent, true once per probe interval. */
  mayTry(nowMs: number): boolean {
    if (!this.#isSilent) return true;
    if (nowMs < this.#nextTryAtMs) return false;
    this.#nextTryAtMs = nowMs + TRY_INTERVAL_MS;
    return true;
  }

  noteAnswer(): void {
    this.#isSilent = false;
  }

  noteSilence(nowMs: number): void {
    this.#isSilent = true;
    this.#nextTryAtMs = nowMs + TRY_INTERVAL_MS;
  }
}
