/** The pace at which a service's waiting requests are served. */

/** Weight of one more gap. */
const INTERVAL_WEIGHT = 0.05;

export class DequeueInterval {
  #averageMs = 0;

  #lastDequeuedAtMs = 0;

  /** The queue was empty until now, so the time before says nothing about the pace. */
  noteQueueStart(nowMs: number): void {
    this.#lastDequeuedAtMs = nowMs;
  }

  noteDequeue(nowMs: number): void {
    const intervalMs = nowMs - this.#lastDequeuedAtMs;
    this.#averageMs += (intervalMs - this.#averageMs) * INTERVAL_WEIGHT;
    this.#lastDequeuedAtMs = nowMs;
  }

  /** The time from one to the next; at least what has passed since the last. */
  valueMs(nowMs: number): number {
    return Math.max(this.#averageMs, nowMs - this.#lastDequeuedAtMs);
  }
}
