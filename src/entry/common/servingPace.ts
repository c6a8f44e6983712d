/** The pace at which a service's waiting requests are served. */

/** Weight of one more gap. */
const GAP_WEIGHT = 0.05;

export class ServingPace {
  #averageGapMs = 0;

  #lastServedAtMs = 0;

  /** The queue was empty until now, so the time before says nothing about the pace. */
  noteFirstWaiting(nowMs: number): void {
    this.#lastServedAtMs = nowMs;
  }

  noteServed(nowMs: number): void {
    const gapMs = nowMs - this.#lastServedAtMs;
    this.#averageGapMs += (gapMs - this.#averageGapMs) * GAP_WEIGHT;
    this.#lastServedAtMs = nowMs;
  }

  /** The time from one to the next; at least what has passed since the last. */
  gapMs(nowMs: number): number {
    return Math.max(this.#averageGapMs, nowMs - this.#lastServedAtMs);
  }
}
