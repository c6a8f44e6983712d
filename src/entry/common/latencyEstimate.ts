/** A moving estimate of a backend server's latency that forgets with time. */

/** Time in which an estimate that no answer confirms falls to about a third. */
const DECAY_MS = 10_000;
/** Weight of one more answer. */
const ANSWER_WEIGHT = 0.2;

/**
 * Made for servers that slow down because of what runs beside them. The average follows within
 * a handful of answers. A server that is avoided gets no answers that could clear it, so its
 * estimate fades and it is tried again now and then.
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

  /** An answer was not waited for; the latency is at least this, so it may only raise. */
  noteAtLeast(latencyMs: number, nowMs: number): void {
    if (latencyMs > this.valueMs(nowMs)) this.note(latencyMs, nowMs);
  }
}
