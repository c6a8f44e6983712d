/**
 * Throttles the scheduler's steps. A step goes through all workers and all waiting tasks. One step
 * for each answer would leave a busy processor no time to handle the answers themselves: 300
 * workers send some six hundred a second.
 */

/** The share of the time that steps may take on average. */
const STEP_SHARE = 1 / 3;
/** The extra step time that a quiet period allows, so that each answer leads to a step at once. */
const BURST_MS = 50;
/** Limits the pause after a long step, because steps also send the renewals of leases. */
const LONGEST_PAUSE_MS = 150;

export class StepThrottle {
  /** The time that steps may still take. While it is negative, steps have to wait. */
  #budgetMs = BURST_MS;

  #refilledAtMs = Number.POSITIVE_INFINITY;

  /** The time that the next step has to wait. */
  waitMs(nowMs: number): number {
    this.#refill(nowMs);
    return this.#budgetMs >= 0 ? 0 : -this.#budgetMs / STEP_SHARE;
  }

  /** Records a step. */
  noteStep(beganAtMs: number, endedAtMs: number): void {
    this.#refill(endedAtMs);
    const leftMs = this.#budgetMs - (endedAtMs - beganAtMs);
    this.#budgetMs = Math.max(-LONGEST_PAUSE_MS * STEP_SHARE, leftMs);
  }

  #refill(nowMs: number): void {
    const earnedMs = Math.max(0, nowMs - this.#refilledAtMs) * STEP_SHARE;
    this.#budgetMs = Math.min(BURST_MS, this.#budgetMs + earnedMs);
    this.#refilledAtMs = nowMs;
  }
}
