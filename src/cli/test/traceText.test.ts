import { describe, expect, it } from 'vitest';

import type { RecordedSpan } from '../../services/tracing/common/tracing.js';
import { traceText } from '../common/traceText.js';

const span = (hop: string, spanId: string, parentSpanId: string): RecordedSpan => ({
  traceId: 't',
  spanId,
  parentSpanId,
  hop,
  startedAt: '2026-01-01T00:00:00.000Z',
  durationMs: 1,
  fields: {},
});

const hops = (spans: readonly RecordedSpan[]): readonly string[] =>
  traceText(spans)
    .split('\n')
    .map((line) => line.replace(/ +1\.00 ms$/u, ''));

describe('traceText', () => {
  it('prints each span below its parent for any order of the spans', () => {
    const spans = [
      span('attempt', 'c', 'a'),
      span('queue', 'b', 'a'),
      span('entry', 'a', 'remote'),
    ];
    expect(hops(spans)).toEqual(['entry', '  attempt', '  queue']);
  });

  it('prints a span whose parent is missing as a root', () => {
    expect(hops([span('attempt', 'c', 'gone')])).toEqual(['attempt']);
    expect(traceText([])).toContain('no spans');
  });
});
