/** A moving average of a backend server's latency that decays with time. */

/** Time in which an estimate without new answers falls to about a third. */
const DECAY_MS = 10_000;
/** Weight of a new answer in the average. */
const ANSWER_WEIGHT = 0.2;

/**
 * For servers that slow down because of the tasks on the same worker. The average follows a change
 * within a handful of answers. A server that is avoided gets no answers that could lower its
 * estimate, so the estimate decays and the server is tried again now and then.
 */
export class LatencyEstimate {
  #averageMs = 0;

  #updatedAtMs = 0;

  /** Zero before the first answer, so that a new server is tried. */
  valueMs(nowMs: number): number {
    const idleMs = nowMs - this.#updatedAtMs;
    return this.#averageMs * Math.exp(-idleMs / DECAY_MS);
  }

  note(latencyMs: number, nowMs: number): void {
    const isFirst = this.#averageMs === 0;
    this.#averageMs = isFirst
      ? latencyMs
      : this.#averageMs + (latencyMs - this.#averageMs) * ANSWER_WEIGHT;
    this.#updatedAtMs = nowMs;
  }

  /** Records a lower bound of a latency, which can only raise the estimate. */
  noteAtLeast(latencyMs: number, nowMs: number): void {
    if (latencyMs > this.valueMs(nowMs)) this.note(latencyMs, nowMs);
  }
}
