/**
 * How many workers one round of placing may rate. A round that rated all workers for all steps that
 * wait would hold up lease renewals and answers for as long as its queue is long, which on a small
 * part of a core is seconds.
 */

/** What the ratings of one round may take. */
const ROUND_MS = 20;
/** Each round gets on, however slow the processor is. */
const LEAST_RATINGS = 500;
/** Where nothing is known yet. */
const INITIAL_MS_PER_RATING = 0.001;
/** Weight of the last round in what a rating is taken to cost. */
const WEIGHT = 0.2;

export class RoundBudget {
  #msPerRating = INITIAL_MS_PER_RATING;

  get ratingLimit(): number {
    return Math.max(LEAST_RATINGS, Math.floor(ROUND_MS / this.#msPerRating));
  }

  /** A step with so many ratings has been taken. Short ones tell more of what else a step does. */
  note(ratingCount: number, beganAtMs: number, endedAtMs: number): void {
    if (ratingCount < LEAST_RATINGS) return;
    const msPerRating = (endedAtMs - beganAtMs) / ratingCount;
    this.#msPerRating += (msPerRating - this.#msPerRating) * WEIGHT;
  }
}
