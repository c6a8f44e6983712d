import { describe, expect, it } from 'vitest';

import { sourceText } from '../../../../tools/test/sourceText.js';
import { METRICS } from '../common/metricList.js';
import { PrometheusMetrics } from '../node/prometheusMetrics.js';

/** Matches metric names in the source: metric calls, counter effects, invariants; not log lines. */
const NAME_PATTERN =
  /(?:\b(?:count|counted|gauge|recordMs)\(|\bcounter: |\bcounter\()\s*'([a-z][a-z0-9_]+)'|(?<!\.error\()'(invariant_[a-z0-9_]+)'/gu;

describe('metrics', () => {
  it('use only names from the list of metrics', async () => {
    const text = await sourceText(['metricList.ts']);
    const used = new Set(
      [...text.matchAll(NAME_PATTERN)].map(([, name, invariant]) => name ?? invariant),
    );
    expect([...used].filter((name) => METRICS[name ?? ''] === undefined)).toEqual([]);
  });

  it('are exported as counters, gauges and quantiles in the Prometheus text format', async () => {
    const metrics = new PrometheusMetrics();
    metrics.count('requests', { outcome: 'answered' });
    metrics.count('requests', { outcome: 'answered' }, 2);
    metrics.gauge('configuration_version', 7);
    metrics.recordMs('request_duration', 12);
    const lines = (await metrics.exposition()).split('\n');
    expect(lines).toContain('snipethread_requests_total{outcome="answered"} 3');
    expect(lines).toContain('snipethread_configuration_version 7');
    expect(lines).toContain('snipethread_request_duration_observation_count 1');
    expect(lines.some((line) => line.includes('request_duration_ms{quantile="0.99"} 12'))).toBe(
      true,
    );
  });

  it('have a bounded number of label combinations and count dropped values', async () => {
    // Without a bound, label values from outside would make the daemon's memory grow without limit.
    const metrics = new PrometheusMetrics();
    Array.from({ length: 1_000 }, (_, index) => {
      metrics.recordMs('request_duration', 1, { service: `s${index}` });
      return metrics.count('requests', { outcome: `o${index}` });
    });
    const lines = (await metrics.exposition()).split('\n');
    expect(lines.filter((line) => line.startsWith('snipethread_requests_total{'))).toHaveLength(
      100,
    );
    expect(lines).toContain('snipethread_metric_series_dropped_total 1800');
  });
});
