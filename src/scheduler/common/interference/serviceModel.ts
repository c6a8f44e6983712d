/**
 * A linear model of one service's latency, learnt by a Kalman filter. The first coefficient is the
 * latency without batch work. Each batch kind has two coefficients: the latency that its processor
 * usage adds, which throttling removes, and the latency that its presence adds, which only eviction
 * removes. The model keeps the whole covariance instead of only its diagonal: kinds that run side
 * by side share the slowdown until a worker shows them apart, and a wrongly blamed kind is cleared
 * when the right one is found.
 */

/** One latency measurement of the service on one worker. */
export interface Observation {
  readonly latencyMs: number;
  readonly requestCount: number;
  readonly exposures: ReadonlyMap<string, Exposure>;
}

/** The processor usage of a kind's tasks, as a share of the worker's processors. */
export interface Exposure {
  /** The usage that was measured. */
  readonly used: number;
  /** The usage expected without throttles. */
  readonly wanted: number;
}

/**
 * The slowdown that a worker full of a kind adds, as a multiple of the latency without batch work.
 */
export interface Pressure {
  readonly byUse: number;
  readonly byPresence: number;
}

export const NO_PRESSURE: Pressure = { byUse: 0, byPresence: 0 };

interface ModelState {
  readonly halfLifeMs: number;
  readonly updatedAtMs: number;
  /** The batch kinds, in the order of their coefficients, which follow the first one in pairs. */
  readonly kinds: readonly string[];
  readonly means: Float64Array;
  /** The covariance matrix, row by row. */
  readonly covariance: Float64Array;
  /** The highest recent lower bound of each kind's slowdown, which halves in a half-life. */
  readonly peaks: ReadonlyMap<string, number>;
}

/** Standard deviation of one request's latency relative to the mean; high for most services. */
const REQUEST_DEVIATION = 0.8;
/** Relative drift per second of the latency without batch work. */
const BASE_DRIFT = 0.01;
/** Prior standard deviation of an unknown pair, as a multiple of the latency without batch work. */
const PRIOR_DEVIATION = 2;
/** The same for presence: throttling is assumed to help until samples show that it does not. */
const PRIOR_PRESENCE_DEVIATION = 0.7;
/** The error of a sample is limited to this many standard deviations. */
const OUTLIER_DEVIATIONS = 3;
/** A peak is the mean lowered by this many standard deviations. */
const PEAK_DEVIATIONS = 1;
const MAXIMUM_KINDS = 48;
/** The index of a kind's coefficient of usage; its coefficient of presence is the next one. */
const coefficientIndexOf = (kindIndex: number): number => 1 + 2 * kindIndex;
const priorDeviation = (index: number): number =>
  index % 2 === 1 ? PRIOR_DEVIATION : PRIOR_PRESENCE_DEVIATION;
const MS_PER_SECOND = 1_000;

const decayFactor = (elapsedMs: number, halfLifeMs: number): number =>
  2 ** (-Math.max(0, elapsedMs) / halfLifeMs);

/** Extends the model by the kinds of an observation that it does not know yet. */
const withKinds = (state: ModelState, exposures: Observation['exposures']): ModelState => {
  const known = new Set(state.kinds);
  const added = [...exposures.keys()].filter((kind) => !known.has(kind));
  const kinds = [...state.kinds, ...added].slice(0, MAXIMUM_KINDS);
  if (kinds.length === state.kinds.length) return state;
  const previousSize = state.means.length;
  const size = coefficientIndexOf(kinds.length);
  const means = new Float64Array(size);
  means.set(state.means);
  const covariance = new Float64Array(size * size);
  for (let row = 0; row < size; row += 1) {
    if (row < previousSize) {
      covariance.set(
        state.covariance.subarray(row * previousSize, (row + 1) * previousSize),
        row * size,
      );
    } else covariance[row * size + row] = (priorDeviation(row) * (state.means[0] ?? 0)) ** 2;
  }
  return { ...state, kinds, means, covariance };
};

/**
 * Predicts the model after a time without measurements: the pairs decay and become less certain.
 */
const predicted = (state: ModelState, nowMs: number): ModelState => {
  const elapsedMs = Math.max(0, nowMs - state.updatedAtMs);
  const decay = decayFactor(elapsedMs, state.halfLifeMs);
  const size = state.means.length;
  const baseMs = state.means[0] ?? 0;
  const means = state.means.map((mean, index) => (index === 0 ? mean : mean * decay));
  const covariance = state.covariance.map((value, index) => {
    const rowDecay = index < size ? 1 : decay;
    return value * rowDecay * (index % size === 0 ? 1 : decay);
  });
  const pairGain = (index: number): number =>
    (1 - decay ** 2) * (priorDeviation(index) * baseMs) ** 2;
  const baseGain = (BASE_DRIFT * baseMs) ** 2 * (elapsedMs / MS_PER_SECOND);
  for (let index = 0; index < size; index += 1) {
    covariance[index * (size + 1)] =
      (covariance[index * (size + 1)] ?? 0) + (index === 0 ? baseGain : pairGain(index));
  }
  const peaks = new Map([...state.peaks].map(([kind, peak]) => [kind, peak * decay]));
  return { ...state, means, covariance, peaks, updatedAtMs: nowMs };
};

const dot = (left: Float64Array, right: Float64Array): number =>
  left.reduce((sum, value, index) => sum + value * (right[index] ?? 0), 0);

/** Corrects the means and the covariance by a measurement. */
const corrected = (state: ModelState, { latencyMs, requestCount, exposures }: Observation) => {
  const size = state.means.length;
  const features = new Float64Array(size);
  features[0] = 1;
  state.kinds.forEach((kind, index) => {
    const exposure = exposures.get(kind);
    features[coefficientIndexOf(index)] = exposure?.used ?? 0;
    features[coefficientIndexOf(index) + 1] = exposure?.wanted ?? 0;
  });
  const crossCovariance = new Float64Array(size);
  for (let row = 0; row < size; row += 1) {
    crossCovariance[row] = dot(state.covariance.subarray(row * size, (row + 1) * size), features);
  }
  const expectedMs = dot(state.means, features);
  const variance =
    dot(crossCovariance, features) + (REQUEST_DEVIATION * expectedMs) ** 2 / requestCount;
  // Without the limit, one wrong measurement would throttle all batch work beside the service.
  const limitMs = OUTLIER_DEVIATIONS * Math.sqrt(variance);
  const errorMs = Math.min(limitMs, Math.max(-limitMs, latencyMs - expectedMs));
  const means = state.means.map((mean, index) => {
    const next = mean + ((crossCovariance[index] ?? 0) / variance) * errorMs;
    return Math.max(index === 0 ? Number.EPSILON : 0, next);
  });
  const covariance = state.covariance.map((value, index) => {
    const [row, column] = [Math.floor(index / size), index % size];
    return value - ((crossCovariance[row] ?? 0) * (crossCovariance[column] ?? 0)) / variance;
  });
  return { means, covariance };
};

/** The standard deviation of the sum of a kind's two coefficients. */
const sumDeviation = ({ means, covariance }: ModelState, index: number): number => {
  const size = means.length;
  const at = (row: number, column: number): number => covariance[row * size + column] ?? 0;
  const variance = at(index, index) + at(index + 1, index + 1) + 2 * at(index, index + 1);
  return Math.sqrt(Math.max(0, variance));
};

const withPeaks = (state: ModelState): ModelState => {
  const peaks = new Map(state.peaks);
  state.kinds.forEach((kind, index) => {
    const usageIndex = coefficientIndexOf(index);
    const mean = (state.means[usageIndex] ?? 0) + (state.means[usageIndex + 1] ?? 0);
    const lowerBound = mean - PEAK_DEVIATIONS * sumDeviation(state, usageIndex);
    if (lowerBound > (peaks.get(kind) ?? 0)) peaks.set(kind, lowerBound);
  });
  return { ...state, peaks };
};

export class ServiceModel {
  readonly #state: ModelState;

  private constructor(state: ModelState) {
    this.#state = state;
  }

  static first(latencyMs: number, halfLifeMs: number, nowMs: number): ServiceModel {
    return new ServiceModel({
      halfLifeMs,
      updatedAtMs: nowMs,
      kinds: [],
      means: Float64Array.of(latencyMs),
      covariance: Float64Array.of((latencyMs / 2) ** 2),
      peaks: new Map(),
    });
  }

  get baseLatencyMs(): number {
    return this.#state.means[0] ?? 0;
  }

  /**
   * The pressure of a kind on the service, lowered by `doubtDeviations` standard deviations so that
   * harmless kinds are not throttled by chance.
   */
  pressure(kind: string, doubtDeviations: number, nowMs: number): Pressure {
    const usageIndex = coefficientIndexOf(this.#state.kinds.indexOf(kind));
    if (usageIndex < 0) return NO_PRESSURE;
    const { means } = this.#state;
    const mean = (means[usageIndex] ?? 0) + (means[usageIndex + 1] ?? 0);
    if (mean <= 0) return NO_PRESSURE;
    const lowerBound = Math.max(0, mean - doubtDeviations * sumDeviation(this.#state, usageIndex));
    const factor = ((lowerBound / mean) * this.#decay(nowMs)) / this.baseLatencyMs;
    return {
      byUse: (means[usageIndex] ?? 0) * factor,
      byPresence: (means[usageIndex + 1] ?? 0) * factor,
    };
  }

  /** The highest recent slowdown that a worker full of the kind certainly added. */
  worstPressure(kind: string, nowMs: number): number {
    return ((this.#state.peaks.get(kind) ?? 0) * this.#decay(nowMs)) / this.baseLatencyMs;
  }

  with(observation: Observation, nowMs: number): ServiceModel {
    const prior = predicted(withKinds(this.#state, observation.exposures), nowMs);
    return new ServiceModel(withPeaks({ ...prior, ...corrected(prior, observation) }));
  }

  #decay(nowMs: number): number {
    return decayFactor(nowMs - this.#state.updatedAtMs, this.#state.halfLifeMs);
  }
}
