/**
 * When the scheduler may take its next step. A step looks at every worker and everything that
 * waits, so that one for each answer would leave a slow processor no time for the answers
 * themselves: of 300 workers some six hundred a second come in.
 */

/** Answers that come within this time are acted on together. */
const LEAST_PAUSE_MS = 10;
/** Steps take at most a third of the time; the rest is for calls and answers. */
const PAUSE_PER_STEP = 2;
/** A long step is an exception, and renewals must not wait for what would be its due pause. */
const LONGEST_PAUSE_MS = 150;

export class StepPace {
  #nextAtMs = Number.NEGATIVE_INFINITY;

  /** How long the next step has to wait. */
  waitMs(nowMs: number): number {
    return Math.max(0, this.#nextAtMs - nowMs);
  }

  /** A step has been taken. */
  note(beganAtMs: number, endedAtMs: number): void {
    const pauseMs = (endedAtMs - beganAtMs) * PAUSE_PER_STEP;
    this.#nextAtMs = endedAtMs + Math.min(LONGEST_PAUSE_MS, Math.max(LEAST_PAUSE_MS, pauseMs));
  }
}
