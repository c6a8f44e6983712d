/**
 * When the scheduler may take its next step. A step looks at every worker and everything that
 * waits, so that one for each answer would leave a busy processor no time for the answers
 * themselves: of 300 workers some six hundred a second come in.
 */

/** The part of the time that steps may take for long. */
const STEP_SHARE = 1 / 3;
/** What steps may take on top of that after a quiet while: then each answer is acted on at once. */
const SPARE_MS = 50;
/** Renewals are sent by steps as well, and must not wait for all that a long one would owe. */
const LONGEST_PAUSE_MS = 150;

export class StepPace {
  /** What steps may still take; below nothing, they have to wait. */
  #budgetMs = SPARE_MS;

  #countedAtMs = Number.POSITIVE_INFINITY;

  /** How long the next step has to wait. */
  waitMs(nowMs: number): number {
    this.#count(nowMs);
    return this.#budgetMs >= 0 ? 0 : -this.#budgetMs / STEP_SHARE;
  }

  /** A step has been taken. */
  note(beganAtMs: number, endedAtMs: number): void {
    this.#count(endedAtMs);
    const leftMs = this.#budgetMs - (endedAtMs - beganAtMs);
    this.#budgetMs = Math.max(-LONGEST_PAUSE_MS * STEP_SHARE, leftMs);
  }

  #count(nowMs: number): void {
    const earnedMs = Math.max(0, nowMs - this.#countedAtMs) * STEP_SHARE;
    this.#budgetMs = Math.min(SPARE_MS, this.#budgetMs + earnedMs);
    this.#countedAtMs = nowMs;
  }
}
