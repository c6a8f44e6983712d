/** The circuit breaker for calls to the store. */

/** Interval between probes of a silent store; several probes fit into a caller's timeout. */
const PROBE_INTERVAL_MS = 400;

/**
 * Refuses calls while the store does not answer. Without the breaker, each caller would wait for
 * the full timeout of the store's client before it learns that it has to retry. While the breaker
 * is open, one call per interval goes through as a probe and the others are refused immediately.
 * A refused call certainly has no effect, because nothing of it is sent.
 */
export class StoreCircuitBreaker {
  #isOpen = false;

  #nextProbeAtMs = 0;

  /** Whether the breaker is open, because the latest call to the store got no answer. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Whether to call the store now. While the breaker is open, true once per probe interval. */
  allowCall(nowMs: number): boolean {
    if (!this.#isOpen) return true;
    if (nowMs < this.#nextProbeAtMs) return false;
    this.#nextProbeAtMs = nowMs + PROBE_INTERVAL_MS;
    return true;
  }

  recordAnswer(): void {
    this.#isOpen = false;
  }

  recordSilence(nowMs: number): void {
    this.#isOpen = true;
    this.#nextProbeAtMs = nowMs + PROBE_INTERVAL_MS;
  }
}
