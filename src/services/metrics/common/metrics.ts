/** Counters, gauges and latency distributions, named in the Prometheus manner. */
export type MetricLabels = Readonly<Record<string, string>>;

export interface Metrics {
  count(name: string, labels?: MetricLabels, amount?: number): void;
  gauge(name: string, value: number, labels?: MetricLabels): void;
  /** Records a duration; quantiles are exported per label set. */
  recordMs(name: string, durationMs: number, labels?: MetricLabels): void;
}

export const silentMetrics: Metrics = { count: () => {}, gauge: () => {}, recordMs: () => {} };
