/**
 * Limits how many workers a placement round may rate. A round that rated all workers for all
 * waiting steps would delay lease renewals and answers in proportion to the length of the queue. On
 * a small part of a core the delay would be seconds.
 */

/** The time that the ratings of one round may take. */
const ROUND_MS = 20;
/** Lets each round make progress, however slow the processor is. */
const LEAST_RATINGS = 500;
/** The assumed cost of a rating before the first measurement. */
const INITIAL_MS_PER_RATING = 0.001;
/** The weight of the last round in the moving average of the cost of a rating. */
const WEIGHT = 0.2;

export class RoundBudget {
  #msPerRating = INITIAL_MS_PER_RATING;

  get ratingLimit(): number {
    return Math.max(LEAST_RATINGS, Math.floor(ROUND_MS / this.#msPerRating));
  }

  /**
   * Records a step with this many ratings. Ignores steps with few ratings, whose time mostly goes
   * to other work.
   */
  note(ratingCount: number, beganAtMs: number, endedAtMs: number): void {
    if (ratingCount < LEAST_RATINGS) return;
    const msPerRating = (endedAtMs - beganAtMs) / ratingCount;
    this.#msPerRating += (msPerRating - this.#msPerRating) * WEIGHT;
  }
}
