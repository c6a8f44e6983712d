import { right } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { SeededRandom } from '../../../base/common/random.js';
import type { TableService } from '../../table/common/table.js';
import { tableUnder, TracedTableService } from '../../table/common/tracedTableService.js';
import { Hop } from '../common/tracing.js';
import { OpenTelemetryTracing } from '../node/openTelemetryTracing.js';

const SEED = 5;
const CALLER_TRACE = '4bf92f3577b34da6a3ce929d0e0e4736';
const CALLER_SPAN = '00f067aa0ba902b7';
const SAMPLED = `00-${CALLER_TRACE}-${CALLER_SPAN}-01`;

const tracingWith = (sampleRatio: number, capacity = 10): OpenTelemetryTracing =>
  new OpenTelemetryTracing(sampleRatio, capacity, new SeededRandom(SEED));

describe('tracing', () => {
  it("continues the caller's trace and passes its own span id to the next hop", () => {
    const tracing = tracingWith(0);
    const entry = tracing.startTrace(Hop.Entry, SAMPLED);
    const attempt = entry?.child(Hop.Attempt);
    const passedOn = attempt?.traceparent.split('-') ?? [];
    attempt?.end();
    entry?.end();
    const spans = tracing.ring.find(CALLER_TRACE);
    const entrySpan = spans.find(({ hop }) => hop === Hop.Entry);
    const attemptSpan = spans.find(({ hop }) => hop === Hop.Attempt);
    expect(entrySpan?.parentSpanId).toBe(CALLER_SPAN);
    expect(attemptSpan?.parentSpanId).toBe(entrySpan?.spanId);
    expect(passedOn).toEqual(['00', CALLER_TRACE, attemptSpan?.spanId, '01']);
  });

  it.each([
    ['an unsampled parent', `00-${CALLER_TRACE}-${CALLER_SPAN}-00`],
    ['no header', undefined],
    ['an all-zero trace id', `00-${'0'.repeat(32)}-${CALLER_SPAN}-01`],
    ['a malformed header', 'ff'],
  ])('starts no trace for %s unless the sample ratio selects it', (_name, header) => {
    expect(tracingWith(0).startTrace(Hop.Entry, header)).toBeUndefined();
    expect(tracingWith(1).startTrace(Hop.Entry, header)).toBeDefined();
  });

  it("keeps a request's spans despite many background calls", () => {
    // An operator looked up a trace from a few seconds ago and found children without their root:
    // table calls, several a second, had displaced the root from the ring buffer.
    const tracing = tracingWith(1, 4);
    const entry = tracing.startTrace(Hop.Entry, SAMPLED);
    entry?.child(Hop.Queue).end();
    entry?.end();
    Array.from({ length: 20 }, () => tracing.startTrace(Hop.TableCall)?.end());
    expect(tracing.ring.find(CALLER_TRACE)).toHaveLength(2);
    expect(tracing.ring.traceIds()).toHaveLength(5);
  });

  // A request waits for the claim of its idempotency key. As a separate trace the claim could not
  // be found from the request, and as a background call it was displaced within seconds.
  it("makes a request's table calls children of its span and keeps them like its other spans", async () => {
    const tracing = tracingWith(0, 4);
    const result = { outcome: 'committed' as const, version: 1 };
    const inner: TableService = {
      read: () => () => Promise.resolve(right({ rows: [] })),
      transact: () => () => Promise.resolve(right(result)),
    };
    const table = new TracedTableService(inner, tracing);
    const entry = tracing.startTrace(Hop.Entry, SAMPLED);
    await tableUnder(table, entry).transact({ operationId: 'o', conditions: [], writes: [] })();
    entry?.end();
    // Many background calls do not displace the spans of the request.
    const background = Array.from({ length: 20 }, () => tracing.startTrace(Hop.PeerCall, SAMPLED));
    background.forEach((span) => span?.end());
    const spans = tracing.ring.find(CALLER_TRACE);
    const entrySpan = spans.find(({ hop }) => hop === Hop.Entry);
    const call = spans.find(({ hop }) => hop === Hop.TableCall);
    expect(call?.parentSpanId).toBe(entrySpan?.spanId);
    expect(call?.fields).toEqual({ call: 'transact', outcome: 'answered' });
    expect(tableUnder(table, undefined)).toBe(table);
    expect(tableUnder(inner, entry)).toBe(inner);
  });
});
