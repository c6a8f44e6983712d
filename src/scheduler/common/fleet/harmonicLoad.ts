/**
 * Models a load with a fixed period as the sum of a mean, a sine and a cosine term, estimated by a
 * Kalman filter with three states.
 */

/** Process noise: variance added to each state per second. */
const PROCESS_VARIANCE_PER_S = 0.002;
/** Number of recent readings kept for fitting again when the period changes. */
const MAXIMUM_READINGS = 40;
const TWO_PI = 2 * Math.PI;
const MS_PER_S = 1_000;

/** The prior of a load before its first reading. */
export interface HarmonicPrior {
  readonly mean: number;
  readonly meanVariance: number;
  readonly amplitudeVariance: number;
}

const WIDE_PRIOR: HarmonicPrior = { mean: 2.5, meanVariance: 4, amplitudeVariance: 0.5 };

export interface HarmonicReading {
  readonly atMs: number;
  readonly level: number;
  readonly variance: number;
}

type Vector = readonly [number, number, number];
type Matrix = readonly [Vector, Vector, Vector];

const basisAt = (atMs: number, periodMs: number): Vector => {
  const angle = (TWO_PI * atMs) / periodMs;
  return [1, Math.sin(angle), Math.cos(angle)];
};

const dot = (left: Vector, right: Vector): number =>
  left[0] * right[0] + left[1] * right[1] + left[2] * right[2];

const timesVector = (matrix: Matrix, vector: Vector): Vector => [
  dot(matrix[0], vector),
  dot(matrix[1], vector),
  dot(matrix[2], vector),
];

/** `vector + factor * change`. */
const addScaled = (vector: Vector, change: Vector, factor: number): Vector => [
  vector[0] + factor * change[0],
  vector[1] + factor * change[1],
  vector[2] + factor * change[2],
];

export class HarmonicLoad {
  readonly #prior: HarmonicPrior;

  #state: Vector = [0, 0, 0];

  #covariance: Matrix = [
    [0, 0, 0],
    [0, 0, 0],
    [0, 0, 0],
  ];

  #periodMs: number;

  #seenAtMs: number | undefined;

  readonly #readings: HarmonicReading[] = [];

  /** Starts from a prior, or as a copy of another load, including its period. */
  constructor(periodMs: number, from: HarmonicPrior | HarmonicLoad = WIDE_PRIOR) {
    this.#periodMs = periodMs;
    if (from instanceof HarmonicLoad) {
      this.#prior = from.#prior;
      this.#state = from.#state;
      this.#covariance = from.#covariance;
      this.#periodMs = from.#periodMs;
      this.#seenAtMs = from.#seenAtMs;
      this.#readings.push(...from.#readings);
    } else {
      this.#prior = from;
      this.#reset();
    }
  }

  get readings(): readonly HarmonicReading[] {
    return this.#readings;
  }

  get mean(): number {
    return this.#state[0];
  }

  get meanVariance(): number {
    return this.#covariance[0][0];
  }

  get amplitude(): number {
    return Math.hypot(this.#state[1], this.#state[2]);
  }

  levelAt(atMs: number): number {
    return dot(this.#state, basisAt(atMs, this.#periodMs));
  }

  varianceAt(atMs: number): number {
    const basis = basisAt(atMs, this.#periodMs);
    return dot(basis, timesVector(this.#covariance, basis));
  }

  /** Adds a reading; if the period has changed, fits all kept readings again. */
  add(reading: HarmonicReading, periodMs: number): void {
    this.#readings.push(reading);
    if (this.#readings.length > MAXIMUM_READINGS) this.#readings.shift();
    if (periodMs === this.#periodMs) {
      this.#correct(reading);
      return;
    }
    this.#periodMs = periodMs;
    this.#reset();
    this.#readings.forEach((keptReading) => this.#correct(keptReading));
  }

  #reset(): void {
    const { mean, meanVariance, amplitudeVariance } = this.#prior;
    this.#state = [mean, 0, 0];
    this.#covariance = [
      [meanVariance, 0, 0],
      [0, amplitudeVariance, 0],
      [0, 0, amplitudeVariance],
    ];
    this.#seenAtMs = undefined;
  }

  #correct({ atMs, level, variance }: HarmonicReading): void {
    const passedMs = Math.max(0, atMs - (this.#seenAtMs ?? atMs));
    const drift = (passedMs / MS_PER_S) * PROCESS_VARIANCE_PER_S;
    this.#seenAtMs = atMs;
    const [first, second, third] = this.#covariance;
    const predicted: Matrix = [
      [first[0] + drift, first[1], first[2]],
      [second[0], second[1] + drift, second[2]],
      [third[0], third[1], third[2] + drift],
    ];
    const basis = basisAt(atMs, this.#periodMs);
    const levelCovariance = timesVector(predicted, basis);
    const innovationVariance = dot(basis, levelCovariance) + variance;
    const excess = level - dot(this.#state, basis);
    this.#state = addScaled(this.#state, levelCovariance, excess / innovationVariance);
    this.#covariance = [
      addScaled(predicted[0], levelCovariance, -levelCovariance[0] / innovationVariance),
      addScaled(predicted[1], levelCovariance, -levelCovariance[1] / innovationVariance),
      addScaled(predicted[2], levelCovariance, -levelCovariance[2] / innovationVariance),
    ];
  }
}
