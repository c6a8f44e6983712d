/** Estimates the period that the loads of all services share, and the prior of a new load. */
import { type HarmonicPrior, HarmonicLoad, type HarmonicReading } from './harmonicLoad.js';

const SHORTEST_PERIOD_MS = 5_000;
const PERIOD_STEP = 1.06;
const PERIOD_COUNT = 36;
const FINE_STEPS = [0.98, 0.99, 1.01, 1.02] as const;
/** Number of loads with enough readings that are used to compare periods. */
const COMPARED_LOADS = 12;
const MINIMUM_READINGS = 12;
const WARM_UP_READINGS = 6;
const PERIOD_SEARCH_INTERVAL_MS = 2_000;
/** Decay of the accumulated scores at each search. */
const SCORE_DECAY = 0.8;
/** A new period must reduce the residual at least to this factor of the current one. */
const PERIOD_IMPROVEMENT_FACTOR = 0.97;
/** Weight of one reading in the moving averages of the forecast errors. */
const ERROR_WEIGHT = 0.01;
const MAXIMUM_ERROR = 1;
/** Harmonic forecasts are used if their error is below this share of the trend forecasts'. */
const HARMONIC_ERROR_FACTOR = 0.85;
/** Only harmonic forecasts below this variance are compared with the trend or used in the prior. */
const CONFIDENT_VARIANCE = 0.15;
const MINIMUM_PRIOR_LOADS = 4;
/** The number of most recently read loads that are kept, by step name. */
const MAXIMUM_LOADS = 1_000;
const MINIMUM_PRIOR_VARIANCE = 0.05;

const CANDIDATES_MS = Array.from(
  { length: PERIOD_COUNT },
  (_, index) => SHORTEST_PERIOD_MS * PERIOD_STEP ** index,
);

/** The mean squared one-step forecast error of a load's readings, relative to their variance. */
const residualOf = (readings: readonly HarmonicReading[], periodMs: number): number => {
  const load = new HarmonicLoad(periodMs);
  let sum = 0;
  readings.forEach((reading, index) => {
    if (index >= WARM_UP_READINGS) {
      sum += (reading.level - load.levelAt(reading.atMs)) ** 2 / reading.variance;
    }
    load.add(reading, periodMs);
  });
  return sum / Math.max(1, readings.length - WARM_UP_READINGS);
};

export class LoadDynamics {
  readonly #learnsPeriod: boolean;

  #periodMs = CANDIDATES_MS[Math.floor(PERIOD_COUNT / 2)] as number;

  #searchedAtMs = Number.NEGATIVE_INFINITY;

  readonly #scores = new Map<number, number>();

  readonly #loads = new Map<string, HarmonicLoad>();

  #trendError = MAXIMUM_ERROR;

  #harmonicError = MAXIMUM_ERROR;

  constructor(learnsPeriod = true) {
    this.#learnsPeriod = learnsPeriod;
  }

  get periodMs(): number {
    return this.#periodMs;
  }

  /** Whether harmonic forecasts have been sufficiently more accurate than trend forecasts. */
  get isPeriodic(): boolean {
    return this.#learnsPeriod && this.#harmonicError < HARMONIC_ERROR_FACTOR * this.#trendError;
  }

  /** Creates the model of a load on a worker, from its model on another worker if there is one. */
  newLoad(name: string): HarmonicLoad {
    return new HarmonicLoad(this.#periodMs, this.#loads.get(name) ?? this.#prior());
  }

  /** Adds a reading of a load; `trendExcess` is the error of the trend forecast. */
  addReading(
    name: string,
    load: HarmonicLoad,
    reading: HarmonicReading,
    trendExcess: number,
  ): void {
    const { atMs } = reading;
    const excess = reading.level - load.levelAt(atMs);
    if (load.varianceAt(atMs) < CONFIDENT_VARIANCE) {
      const cappedSquare = (error: number): number => Math.min(MAXIMUM_ERROR, error * error);
      this.#trendError += (cappedSquare(trendExcess) - this.#trendError) * ERROR_WEIGHT;
      this.#harmonicError += (cappedSquare(excess) - this.#harmonicError) * ERROR_WEIGHT;
    }
    load.add(reading, this.#periodMs);
    this.#loads.delete(name);
    this.#loads.set(name, load);
    const [oldest] = this.#loads.keys();
    if (this.#loads.size > MAXIMUM_LOADS && oldest !== undefined) this.#loads.delete(oldest);
    this.#updatePeriod(atMs);
  }

  #prior(): HarmonicPrior | undefined {
    const known = [...this.#loads.values()].filter(
      (load) => load.meanVariance < CONFIDENT_VARIANCE,
    );
    if (known.length < MINIMUM_PRIOR_LOADS) return undefined;
    const mean = known.reduce((sum, load) => sum + load.mean, 0) / known.length;
    const variance =
      known.reduce((sum, load) => sum + (load.mean - mean) ** 2, 0) / known.length +
      MINIMUM_PRIOR_VARIANCE;
    const amplitude = known.reduce((sum, load) => sum + load.amplitude ** 2, 0) / known.length;
    return {
      mean,
      meanVariance: variance,
      amplitudeVariance: amplitude / 2 + MINIMUM_PRIOR_VARIANCE,
    };
  }

  #updatePeriod(nowMs: number): void {
    if (nowMs - this.#searchedAtMs < PERIOD_SEARCH_INTERVAL_MS) return;
    const histories = [...this.#loads.values()]
      .map(({ readings }) => readings)
      .filter(({ length }) => length >= MINIMUM_READINGS)
      .slice(0, COMPARED_LOADS);
    if (histories.length === 0) return;
    this.#searchedAtMs = nowMs;
    const scoreOf = (periodMs: number): number =>
      histories.reduce((sum, readings) => sum + residualOf(readings, periodMs), 0) /
      histories.length;
    let best = Number.POSITIVE_INFINITY;
    let bestMs = CANDIDATES_MS[0] as number;
    CANDIDATES_MS.forEach((periodMs) => {
      const score = SCORE_DECAY * (this.#scores.get(periodMs) ?? 0) + scoreOf(periodMs);
      this.#scores.set(periodMs, score);
      if (score >= best) return;
      best = score;
      bestMs = periodMs;
    });
    let bestScore = scoreOf(bestMs);
    FINE_STEPS.forEach((factor) => {
      const score = scoreOf(bestMs * factor);
      if (score >= bestScore) return;
      bestScore = score;
      bestMs *= factor;
    });
    if (bestScore < PERIOD_IMPROVEMENT_FACTOR * scoreOf(this.#periodMs)) this.#periodMs = bestMs;
  }
}
