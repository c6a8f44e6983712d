/** The average interval at which a service's waiting requests leave the queue. */

/** Weight of a new interval in the average. */
const INTERVAL_WEIGHT = 0.05;

export class DequeueInterval {
  #averageMs = 0;

  #lastDequeuedAtMs = 0;

  /** Starts a new interval: the queue was empty until now, so the time before does not count. */
  noteQueueStart(nowMs: number): void {
    this.#lastDequeuedAtMs = nowMs;
  }

  noteDequeue(nowMs: number): void {
    const intervalMs = nowMs - this.#lastDequeuedAtMs;
    this.#averageMs += (intervalMs - this.#averageMs) * INTERVAL_WEIGHT;
    this.#lastDequeuedAtMs = nowMs;
  }

  /** The average interval, or the time since the last dequeued request if that is longer. */
  valueMs(nowMs: number): number {
    return Math.max(this.#averageMs, nowMs - this.#lastDequeuedAtMs);
  }
}
