/**
 * Computes a service's tail latency without drawing each request. A request's latency is a
 * log-normal base latency times the current slowdown of its worker, so it is enough to count the
 * requests by slowdown.
 */
const BUCKETS_PER_UNIT = 200;
const SIGMA = 0.5;
const P99 = 0.99;
const BISECTIONS = 40;

/** The standard normal distribution function, by formula 7.1.26 of Abramowitz and Stegun. */
const normalCdf = (value: number): number => {
  const scaled = Math.abs(value) / Math.SQRT2;
  const t = 1 / (1 + 0.327_591_1 * scaled);
  const polynomial =
    t *
    (0.254_829_592 +
      t * (-0.284_496_736 + t * (1.421_413_741 + t * (-1.453_152_027 + t * 1.061_405_429))));
  const erf = 1 - polynomial * Math.exp(-scaled * scaled);
  return value >= 0 ? (1 + erf) / 2 : (1 - erf) / 2;
};

/** The ratio of the standard deviation of a request's latency to its mean. */
export const LATENCY_DEVIATION = Math.sqrt(Math.exp(SIGMA * SIGMA) - 1);

export class LatencyTail {
  readonly #counts = new Map<number, number>();

  #total = 0;

  add(slowdown: number, requestCount: number): void {
    const bucket = Math.round(slowdown * BUCKETS_PER_UNIT);
    this.#counts.set(bucket, (this.#counts.get(bucket) ?? 0) + requestCount);
    this.#total += requestCount;
  }

  /** The ratio of the p99 of all requests to the p99 of requests without any slowdown. */
  get p99Ratio(): number {
    const unslowed = LatencyTail.#quantile((latency) => normalCdf(Math.log(latency) / SIGMA));
    return LatencyTail.#quantile((latency) => this.#shareBelow(latency)) / unslowed;
  }

  #shareBelow(latency: number): number {
    let below = 0;
    this.#counts.forEach((count, bucket) => {
      const slowdown = bucket / BUCKETS_PER_UNIT;
      below += count * normalCdf(Math.log(latency / slowdown) / SIGMA);
    });
    return below / this.#total;
  }

  static #quantile(shareBelow: (latency: number) => number): number {
    let low = 0.1;
    let high = 1_000;
    for (let step = 0; step < BISECTIONS; step += 1) {
      const middle = (low + high) / 2;
      if (shareBelow(middle) < P99) low = middle;
      else high = middle;
    }
    return high;
  }
}
