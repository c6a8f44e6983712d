/** Forecasts the load of a step on one worker by its trend or, if periodic, by a harmonic. */
import type { HarmonicLoad } from './harmonicLoad.js';
import type { LoadDynamics } from './loadDynamics.js';
import { LoadEstimate, type LoadReading, type Innovation } from './loadEstimate.js';

/** Above this variance of the harmonic forecast the trend is used. */
const MAXIMUM_HARMONIC_VARIANCE = 0.25;
/** Number of standard deviations subtracted from a harmonic forecast. */
const FORECAST_DEVIATIONS = 0.3;
const FORECAST_STEP_MS = 400;
/** Subtracted from trend forecasts, because a trend does not predict when a load turns. */
const TREND_MARGIN = 0.15;

export class ServiceLoad {
  readonly image: string;

  /** Whether requests were queued at the last sample; the next samples then reflect the queue. */
  isQueueing = false;

  readonly #name: string;

  readonly #dynamics: LoadDynamics;

  readonly #trend: LoadEstimate;

  readonly #harmonic: HarmonicLoad;

  constructor(name: string, image: string, level: number, dynamics: LoadDynamics, nowMs: number) {
    this.image = image;
    this.#name = name;
    this.#dynamics = dynamics;
    this.#trend = new LoadEstimate(level, nowMs);
    this.#harmonic = dynamics.newLoad(name);
  }

  /** The lowest recent level. */
  get low(): number {
    return this.#trend.low;
  }

  /** Whether the load has been observed long enough for `low` to be meaningful. */
  hasReliableLow(nowMs: number): boolean {
    return this.#trend.hasReliableLow(nowMs);
  }

  /** The lowest level expected from `fromMs` to `untilMs` after `nowMs`. */
  lowestWithin(fromMs: number, untilMs: number, nowMs: number): number {
    if (!this.#isHarmonic(nowMs)) return this.#trend.levelAfter(untilMs) - TREND_MARGIN;
    const stepCount = Math.max(1, Math.ceil((untilMs - fromMs) / FORECAST_STEP_MS));
    let lowest = Number.POSITIVE_INFINITY;
    for (let step = 0; step <= stepCount; step += 1) {
      const atMs = nowMs + fromMs + ((untilMs - fromMs) * step) / stepCount;
      const deviation = Math.sqrt(this.#harmonic.varianceAt(atMs));
      lowest = Math.min(lowest, this.#harmonic.levelAt(atMs) - FORECAST_DEVIATIONS * deviation);
    }
    return lowest;
  }

  /** Advances the trend to `nowMs`. */
  advance(nowMs: number): void {
    this.#trend.advance(nowMs);
  }

  /** Assumes a constant level while the samples carry no information. */
  resetSlope(): void {
    this.#trend.resetSlope();
  }

  innovation(reading: LoadReading, nowMs: number): Innovation {
    if (!this.#isHarmonic(nowMs)) return this.#trend.innovation(reading);
    const { headroom, loss, variance, lossVariance } = reading;
    return {
      excess: headroom + loss - this.#harmonic.levelAt(nowMs),
      variance: this.#harmonic.varianceAt(nowMs) + variance + lossVariance,
    };
  }

  /** Updates the forecasts; only readings without queued requests update the harmonic. */
  correct(reading: LoadReading, hadNoQueue: boolean, nowMs: number): void {
    const trendInnovation = this.#trend.innovation(reading);
    this.#trend.correct(trendInnovation);
    if (!hadNoQueue) return;
    const level = reading.headroom + reading.loss;
    const variance = reading.variance + reading.lossVariance;
    const harmonicReading = { atMs: nowMs, level, variance };
    this.#dynamics.addReading(this.#name, this.#harmonic, harmonicReading, trendInnovation.excess);
  }

  #isHarmonic(nowMs: number): boolean {
    const isCertain = this.#harmonic.varianceAt(nowMs) < MAXIMUM_HARMONIC_VARIANCE;
    return isCertain && this.#dynamics.isPeriodic;
  }
}
