/** Metrics kept in prom-client's registry, with durations in HDR histograms. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Counter, Gauge, Registry } from 'prom-client';

import type { MetricLabels, Metrics } from '../common/metrics.js';

const METRIC_PREFIX = 'snipethread_';
const QUANTILES = [50, 90, 99, 99.9] as const;
/** Durations are kept in microseconds up to ten minutes with two significant digits. */
const HIGHEST_MICROSECONDS = 600_000_000;
const MICROSECONDS_PER_MS = 1_000;

interface LabelledHistogram {
  readonly labels: MetricLabels;
  readonly histogram: Histogram;
}

export class PrometheusMetrics implements Metrics {
  readonly #registry = new Registry();

  readonly #counters = new Map<string, Counter>();

  readonly #gauges = new Map<string, Gauge>();

  readonly #histograms = new Map<string, Map<string, LabelledHistogram>>();

  count(name: string, labels: MetricLabels = {}, amount = 1): void {
    let counter = this.#counters.get(name);
    if (counter === undefined) {
      counter = new Counter({
        name: `${METRIC_PREFIX}${name}_total`,
        help: name,
        labelNames: Object.keys(labels),
        registers: [this.#registry],
      });
      this.#counters.set(name, counter);
    }
    counter.inc(labels, amount);
  }

  gauge(name: string, value: number, labels: MetricLabels = {}): void {
    let gauge = this.#gauges.get(name);
    if (gauge === undefined) {
      gauge = new Gauge({
        name: `${METRIC_PREFIX}${name}`,
        help: name,
        labelNames: Object.keys(labels),
        registers: [this.#registry],
      });
      this.#gauges.set(name, gauge);
    }
    gauge.set(labels, value);
  }

  recordMs(name: string, durationMs: number, labels: MetricLabels = {}): void {
    let series = this.#histograms.get(name);
    if (series === undefined) {
      series = new Map();
      this.#histograms.set(name, series);
    }
    const seriesKey = Object.values(labels).join('\u0000');
    let labelled = series.get(seriesKey);
    if (labelled === undefined) {
      const histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_MICROSECONDS,
        numberOfSignificantValueDigits: 2,
        bitBucketSize: 32,
        useWebAssembly: false,
      });
      labelled = { labels, histogram };
      series.set(seriesKey, labelled);
    }
    const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS);
    labelled.histogram.recordValue(Math.min(Math.max(microseconds, 1), HIGHEST_MICROSECONDS));
  }

  /** The text exposition format of all that was recorded. */
  async exposition(): Promise<string> {
    this.#histograms.forEach((series, name) => {
      series.forEach(({ labels, histogram }) => this.#exportQuantiles(name, labels, histogram));
    });
    return this.#registry.metrics();
  }

  #exportQuantiles(name: string, labels: MetricLabels, histogram: Histogram): void {
    QUANTILES.forEach((quantile) => {
      const valueMs = histogram.getValueAtPercentile(quantile) / MICROSECONDS_PER_MS;
      this.gauge(`${name}_ms`, valueMs, { ...labels, quantile: String(quantile / 100) });
    });
    this.gauge(`${name}_observation_count`, histogram.totalCount, labels);
  }
}
