/** Metrics in the Prometheus text format, with durations in HDR histograms. */
// The package's main module also loads its WebAssembly build, which takes 7 MB of memory.
import imported from 'hdr-histogram-js/dist/Int32Histogram.js';
import { Counter, Gauge, Registry } from 'prom-client';

import { LabelledSeries } from '../common/labelledSeries.js';
import { METRICS } from '../common/metricList.js';
import type { MetricLabels, Metrics } from '../common/metrics.js';

/** The content type of the text that `exposition` returns. */
export const EXPOSITION_TYPE = 'text/plain; version=0.0.4';
const METRIC_PREFIX = 'snipethread_';
const DROPPED_METRIC = 'metric_series_dropped';
const QUANTILES = [50, 90, 99, 99.9] as const;
/**
 * Histograms hold microseconds up to ten minutes with two significant digits, which takes 12 KB
 * each.
 */
const HIGHEST_MICROSECONDS = 600_000_000;
const SIGNIFICANT_DIGITS = 2;
const MICROSECONDS_PER_MS = 1_000;
/** Far more than seven zones with a few outcomes each; bounds histograms to 1.2 MB a metric. */
const MAXIMUM_SERIES = 100;

type HistogramClass = (typeof imported)['default'];
// Node.js and bundlers disagree about the default import of such a CommonJS module.
const Histogram = 'default' in imported ? imported.default : (imported as HistogramClass);
type Histogram = InstanceType<typeof Histogram>;

interface ValueFactory<Value> {
  readonly create: () => Value;
}

const numberFactory: ValueFactory<number> = { create: () => 0 };
const histogramFactory: ValueFactory<Histogram> = {
  create: () => new Histogram(1, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS),
};

const helpOf = (name: string): string => METRICS[name]?.help ?? name;

/** Series by metric name, created when a metric is first used. */
class SeriesByName<Value> {
  readonly #factory: ValueFactory<Value>;

  readonly #byName = new Map<string, LabelledSeries<Value>>();

  constructor(factory: ValueFactory<Value>) {
    this.#factory = factory;
  }

  of(name: string): LabelledSeries<Value> {
    const known = this.#byName.get(name);
    if (known !== undefined) return known;
    const created = new LabelledSeries(MAXIMUM_SERIES, this.#factory.create);
    this.#byName.set(name, created);
    return created;
  }

  forEach(visit: (series: LabelledSeries<Value>, name: string) => void): void {
    this.#byName.forEach(visit);
  }
}

/**
 * Every request records metrics, so recording only looks up a value by name and labels. The text
 * format is built from the values when the metrics are read.
 */
export class PrometheusMetrics implements Metrics {
  readonly #counters = new SeriesByName(numberFactory);

  readonly #gauges = new SeriesByName(numberFactory);

  readonly #histograms = new SeriesByName(histogramFactory);

  count(name: string, labels?: MetricLabels, amount = 1): void {
    const series = this.#counters.of(name).find(labels);
    if (series === undefined) this.#countDropped();
    else series.value += amount;
  }

  gauge(name: string, value: number, labels?: MetricLabels): void {
    const series = this.#gauges.of(name).find(labels);
    if (series === undefined) this.#countDropped();
    else series.value = value;
  }

  recordMs(name: string, durationMs: number, labels?: MetricLabels): void {
    const series = this.#histograms.of(name).find(labels);
    if (series === undefined) {
      this.#countDropped();
      return;
    }
    const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS);
    series.value.recordValue(Math.min(Math.max(microseconds, 1), HIGHEST_MICROSECONDS));
  }

  /** Returns all recorded values in the Prometheus text exposition format. */
  async exposition(): Promise<string> {
    const registry = new Registry();
    this.#counters.forEach((series, name) => {
      const options = { name: `${METRIC_PREFIX}${name}_total`, help: helpOf(name) };
      let counter: Counter | undefined;
      series.forEach(({ labels, value }) => {
        const labelNames = Object.keys(labels);
        counter ??= new Counter({ ...options, labelNames, registers: [registry] });
        counter.inc(labels, value);
      });
    });
    this.#gauges.forEach((series, name) => {
      const gauge = PrometheusMetrics.#gaugeIn(registry, name, helpOf(name), series);
      series.forEach(({ labels, value }) => gauge.set(labels, value));
    });
    this.#histograms.forEach((series, name) =>
      PrometheusMetrics.#exportDurations(registry, name, series),
    );
    return registry.metrics();
  }

  #countDropped(): void {
    this.count(DROPPED_METRIC);
  }

  static #gaugeIn(
    registry: Registry,
    name: string,
    help: string,
    series: LabelledSeries<unknown>,
    extraLabels: readonly string[] = [],
  ): Gauge {
    const labelNames = new Set(extraLabels);
    series.forEach(({ labels }) => Object.keys(labels).forEach((label) => labelNames.add(label)));
    return new Gauge({
      name: `${METRIC_PREFIX}${name}`,
      help,
      labelNames: [...labelNames],
      registers: [registry],
    });
  }

  static #exportDurations(
    registry: Registry,
    name: string,
    series: LabelledSeries<Histogram>,
  ): void {
    const help = helpOf(name);
    const quantiles = this.#gaugeIn(registry, `${name}_ms`, help, series, ['quantile']);
    const counts = this.#gaugeIn(registry, `${name}_observation_count`, help, series);
    series.forEach(({ labels, value: histogram }) => {
      QUANTILES.forEach((quantile) => {
        const valueMs = histogram.getValueAtPercentile(quantile) / MICROSECONDS_PER_MS;
        quantiles.set({ ...labels, quantile: String(quantile / 100) }, valueMs);
      });
      counts.set(labels, histogram.totalCount);
    });
  }
}
