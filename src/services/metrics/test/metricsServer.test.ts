import { request } from 'undici';
import { describe, expect, it } from 'vitest';

import { ErrorKind, failure } from '../../errors/common/errorKinds.js';
import { MeteredTable } from '../../table/common/meteredTable.js';
import { type TableService, TransactionOutcome } from '../../table/common/table.js';
import { left, right } from 'fp-ts/lib/Either.js';
import { MetricsServer } from '../node/metricsServer.js';
import { PrometheusMetrics } from '../node/prometheusMetrics.js';

describe('the metrics of a daemon', () => {
  it('show table calls by kind and outcome, and gauges that are updated on collection', async () => {
    // An engineer who investigates refusals needs to see whether the store failed and how, how long
    // it has been reachable from this instance, and whether the instance is the scheduler.
    let nowMs = 0;
    const table: TableService = {
      read: () => async () => {
        nowMs += 12;
        return left(failure(ErrorKind.StoreUnavailable, 'away'));
      },
      transact: () => async () => right({ outcome: TransactionOutcome.Conflict, version: 0 }),
    };
    const metrics = new PrometheusMetrics();
    const metered = new MeteredTable(table, metrics, { nowMs: () => nowMs });
    await metered.read({ keys: [], prefixes: [] })();
    await metered.transact({ operationId: '', conditions: [], writes: [] })();
    const server = new MetricsServer(metrics, 16, () => metrics.gauge('fleet_scheduling', 1));
    const port = await server.listen({ host: '127.0.0.1', port: 0 });
    const answer = await request(`http://127.0.0.1:${port}/metrics`);
    const lines = (await answer.body.text()).split('\n');
    await server.close();
    expect(answer.headers['content-type']).toContain('text/plain');
    expect(lines).toContain('snipethread_fleet_scheduling 1');
    expect(lines).toContain(
      'snipethread_table_calls_total{call="read",outcome="store-unavailable"} 1',
    );
    expect(lines).toContain('snipethread_table_calls_total{call="write",outcome="conflict"} 1');
    expect(lines).toContain(
      'snipethread_table_call_duration_ms{call="read",quantile="0.5"} 12.031',
    );
  });
});
