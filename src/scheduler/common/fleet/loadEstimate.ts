/**
 * What headroom the tasks of one step would have on one worker without batch work beside them.
 * Their load swings within seconds, so that a level and its slope are followed (a Kalman filter of
 * two states), and how low the level gets is remembered.
 */

/** Variance of the slope's change in a second: a load that swings by half within ten seconds. */
const SLOPE_VARIANCE_PER_S = 0.09;
const LEVEL_VARIANCE_PER_S = 0.01;
const FIRST_LEVEL_VARIANCE = 1;
const FIRST_SLOPE_VARIANCE = 0.1;
/** The lowest level is remembered for one to two of these, longer than loads usually swing. */
const LOW_WINDOW_MS = 15_000;
/** A load that has not been followed for so long may not have been at its highest yet. */
const WATCHED_MS = 12_000;
/** A pause in the figures after which the slope tells nothing any more. */
const LONGEST_STEP_S = 2;
const MS_PER_S = 1_000;

/** One figure: the headroom, how much it scatters, and what batch work takes of it. */
export interface LoadReading {
  readonly headroom: number;
  readonly variance: number;
  readonly loss: number;
  readonly lossVariance: number;
}

/** How far a reading is from what was expected, and how far it was expected to be. */
export interface Surprise {
  readonly excess: number;
  readonly variance: number;
}

export class LoadEstimate {
  readonly #firstSeenAtMs: number;

  #seenAtMs: number;

  #level: number;

  #slope = 0;

  #levelVariance = FIRST_LEVEL_VARIANCE;

  #crossVariance = 0;

  #slopeVariance = FIRST_SLOPE_VARIANCE;

  /** The lowest levels of this window and of the one before. */
  #low: number;

  #lowBefore = Number.POSITIVE_INFINITY;

  #windowStartedAtMs: number;

  constructor(level: number, nowMs: number) {
    this.#firstSeenAtMs = nowMs;
    this.#seenAtMs = nowMs;
    this.#level = level;
    this.#low = level;
    this.#windowStartedAtMs = nowMs;
  }

  /** The lowest level of late. */
  get low(): number {
    return Math.min(this.#low, this.#lowBefore);
  }

  /** Whether it has been followed long enough for `low` to tell something. */
  isWatched(nowMs: number): boolean {
    return nowMs - this.#firstSeenAtMs >= WATCHED_MS;
  }

  /** The level expected after a while, no lower than it has been of late. */
  levelAfter(aheadMs: number): number {
    const expected = this.#level + (this.#slope * aheadMs) / MS_PER_S;
    return Math.max(expected, Math.min(this.low, this.#level));
  }

  /** Moves the estimate on to `nowMs`. */
  advance(nowMs: number): void {
    const seconds = Math.min(LONGEST_STEP_S, (nowMs - this.#seenAtMs) / MS_PER_S);
    this.#seenAtMs = nowMs;
    this.#level += this.#slope * seconds;
    this.#levelVariance +=
      2 * seconds * this.#crossVariance +
      seconds * seconds * this.#slopeVariance +
      LEVEL_VARIANCE_PER_S * seconds;
    this.#crossVariance += seconds * this.#slopeVariance;
    this.#slopeVariance += SLOPE_VARIANCE_PER_S * seconds;
    if (nowMs - this.#windowStartedAtMs < LOW_WINDOW_MS) return;
    this.#windowStartedAtMs = nowMs;
    this.#lowBefore = this.#low;
    this.#low = this.#level;
  }

  /** Where the figures tell nothing, the level is taken to stay where it is. */
  stopSwing(): void {
    this.#slope = 0;
  }

  surprise(reading: LoadReading): Surprise {
    const excess = reading.headroom - (this.#level - reading.loss);
    const variance = this.#levelVariance + reading.variance + reading.lossVariance;
    return { excess, variance };
  }

  /** Takes its part of a surprise. */
  correct({ excess, variance }: Surprise): void {
    const levelGain = this.#levelVariance / variance;
    const slopeGain = this.#crossVariance / variance;
    this.#level = Math.max(0, this.#level + levelGain * excess);
    this.#slope += slopeGain * excess;
    this.#slopeVariance -= slopeGain * this.#crossVariance;
    this.#crossVariance *= 1 - levelGain;
    this.#levelVariance *= 1 - levelGain;
    this.#low = Math.min(this.#low, this.#level);
  }
}
