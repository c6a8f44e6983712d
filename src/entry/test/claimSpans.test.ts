import { isLeft } from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';

import { SeededRandom } from '../../base/common/random.js';
import { systemClock } from '../../base/node/systemClock.js';
import { silentMetrics } from '../../services/metrics/common/metrics.js';
import { TracedTableService } from '../../services/table/common/tracedTableService.js';
import { Hop } from '../../services/tracing/common/tracing.js';
import { OpenTelemetryTracing } from '../../services/tracing/node/openTelemetryTracing.js';
import { ClaimManager } from '../node/claimManager.js';
import { entrySettings, FaultyTable } from './entryHarness.js';

const TRACE = '4bf92f3577b34da6a3ce929d0e0e4736';

// An order waits for the claim of its key. Once the calls to the table were traces of their own, so
// the request's trace showed that time as a gap and gave no way to find the calls.
it('the table calls of a claim belong to the trace of their request', async () => {
  const tracing = new OpenTelemetryTracing(0, 10, new SeededRandom(1));
  const table = new FaultyTable();
  table.lostAnswerCount = 1;
  const traced = new TracedTableService(table, tracing);
  const claims = new ClaimManager(traced, systemClock, silentMetrics, entrySettings());
  const span = tracing.startTrace(Hop.Entry, `00-${TRACE}-00f067aa0ba902b7-01`);
  const order = { serviceName: 's', method: 'POST', path: '/orders', headers: {}, body: undefined };
  const claimed = await claims.claim(order, 'order-17', 0, span);
  if (isLeft(claimed) || claimed.right.kind !== 'held') throw new Error('not held');
  claims.recordAnswer(claimed.right.held, { statusCode: 200, headers: {}, bodyBase64: '' });
  await claims.settle();
  span?.end();
  claims.dispose();
  const spans = tracing.ring.find(TRACE);
  const root = spans.find(({ hop }) => hop === Hop.Entry);
  const calls = spans.filter(({ hop }) => hop === Hop.TableCall);
  expect(calls.map(({ fields }) => fields.call)).toEqual(['transact', 'read', 'transact']);
  expect(calls.map(({ parentSpanId }) => parentSpanId)).toEqual(calls.map(() => root?.spanId));
});
