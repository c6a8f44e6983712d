/**
 * Estimates the headroom (level) that the tasks of one step would have on one worker without batch
 * work. Their load changes within seconds, so a Kalman filter with two states tracks the level and
 * its slope. The lowest recent level is tracked as well.
 */

/** Process noise of the slope, for a load that changes by half within ten seconds. */
const SLOPE_VARIANCE_PER_S = 0.09;
const LEVEL_VARIANCE_PER_S = 0.01;
const INITIAL_LEVEL_VARIANCE = 1;
const INITIAL_SLOPE_VARIANCE = 0.1;
/** The lowest level covers one to two of these windows, longer than a usual period of a load. */
const LOW_WINDOW_MS = 15_000;
/** A load observed for a shorter time may not have reached its highest point yet. */
const LOW_RELIABLE_AFTER_MS = 12_000;
/** After a longer gap between samples, the slope is not extrapolated further. */
const MAXIMUM_STEP_S = 2;
const MS_PER_S = 1_000;

/** A headroom reading with its variance, and the headroom loss caused by batch work. */
export interface LoadReading {
  readonly headroom: number;
  readonly variance: number;
  readonly loss: number;
  readonly lossVariance: number;
}

/** The difference between a reading and its forecast, and the expected variance of it. */
export interface Innovation {
  readonly excess: number;
  readonly variance: number;
}

export class LoadEstimate {
  readonly #firstSeenAtMs: number;

  #seenAtMs: number;

  #level: number;

  #slope = 0;

  #levelVariance = INITIAL_LEVEL_VARIANCE;

  #crossVariance = 0;

  #slopeVariance = INITIAL_SLOPE_VARIANCE;

  /** The lowest level of the current window. */
  #low: number;

  /** The lowest level of the previous window. */
  #previousLow = Number.POSITIVE_INFINITY;

  #windowStartedAtMs: number;

  constructor(level: number, nowMs: number) {
    this.#firstSeenAtMs = nowMs;
    this.#seenAtMs = nowMs;
    this.#level = level;
    this.#low = level;
    this.#windowStartedAtMs = nowMs;
  }

  /** The lowest recent level. */
  get low(): number {
    return Math.min(this.#low, this.#previousLow);
  }

  /** Whether the load has been observed long enough for `low` to be meaningful. */
  hasReliableLow(nowMs: number): boolean {
    return nowMs - this.#firstSeenAtMs >= LOW_RELIABLE_AFTER_MS;
  }

  /** The level expected in `aheadMs`, but no lower than the lowest recent level. */
  levelAfter(aheadMs: number): number {
    const expected = this.#level + (this.#slope * aheadMs) / MS_PER_S;
    return Math.max(expected, Math.min(this.low, this.#level));
  }

  /** Advances the estimate to `nowMs`. */
  advance(nowMs: number): void {
    const seconds = Math.min(MAXIMUM_STEP_S, (nowMs - this.#seenAtMs) / MS_PER_S);
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
    this.#previousLow = this.#low;
    this.#low = this.#level;
  }

  /** Assumes a constant level while the samples carry no information. */
  resetSlope(): void {
    this.#slope = 0;
  }

  innovation(reading: LoadReading): Innovation {
    const excess = reading.headroom - (this.#level - reading.loss);
    const variance = this.#levelVariance + reading.variance + reading.lossVariance;
    return { excess, variance };
  }

  /** Corrects the level and the slope by the forecast error of a reading. */
  correct({ excess, variance }: Innovation): void {
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
