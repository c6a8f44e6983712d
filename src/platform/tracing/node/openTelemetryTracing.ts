/** Tracing through the OpenTelemetry interface, with a ring of recent spans in memory. */
import {
  type Context,
  ROOT_CONTEXT,
  type Span,
  type SpanContext,
  trace,
  TraceFlags,
  type Tracer,
} from '@opentelemetry/api';
import {
  BasicTracerProvider,
  type ReadableSpan,
  type SpanExporter,
  SimpleSpanProcessor,
} from '@opentelemetry/sdk-trace-base';

import type { RandomSource } from '../../../base/common/random.js';
import type { Hop, RecordedSpan, SpanFields, TraceSpan, Tracing } from '../common/tracing.js';

const TRACEPARENT = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/u;
const MS_PER_SECOND = 1_000;
const NS_PER_MS = 1_000_000;
const HEXADECIMAL = 16;

const toMs = (time: readonly [number, number]): number =>
  time[0] * MS_PER_SECOND + time[1] / NS_PER_MS;

const toRecordedSpan = (span: ReadableSpan): RecordedSpan => ({
  traceId: span.spanContext().traceId,
  spanId: span.spanContext().spanId,
  parentSpanId: span.parentSpanContext?.spanId ?? '',
  hop: span.name,
  startedAt: new Date(toMs(span.startTime)).toISOString(),
  durationMs: toMs(span.duration),
  fields: span.attributes as SpanFields,
});

/** Keeps the newest spans; the oldest give way, so memory stays bounded. */
export class SpanRing implements SpanExporter {
  readonly #capacity: number;

  readonly #spans: ReadableSpan[] = [];

  #nextIndex = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  export(spans: ReadableSpan[], resultCallback: (result: { code: number }) => void): void {
    spans.forEach((span) => {
      this.#spans[this.#nextIndex] = span;
      this.#nextIndex = (this.#nextIndex + 1) % this.#capacity;
    });
    resultCallback({ code: 0 });
  }

  shutdown(): Promise<void> {
    this.#spans.length = 0;
    return Promise.resolve();
  }

  find(traceId: string): readonly RecordedSpan[] {
    return this.#spans
      .filter((span) => span.spanContext().traceId === traceId)
      .map(toRecordedSpan)
      .sort((left, right) => (left.startedAt < right.startedAt ? -1 : 1));
  }

  /** Ids of the traces in the ring, newest last. */
  traceIds(): readonly string[] {
    return [...new Set(this.#spans.map((span) => span.spanContext().traceId))];
  }
}

class OpenTelemetrySpan implements TraceSpan {
  readonly #tracer: Tracer;

  readonly #span: Span;

  constructor(tracer: Tracer, span: Span) {
    this.#tracer = tracer;
    this.#span = span;
  }

  get traceparent(): string {
    const { traceId, spanId } = this.#span.spanContext();
    return `00-${traceId}-${spanId}-01`;
  }

  child(hop: Hop, fields: SpanFields = {}): TraceSpan {
    const context = trace.setSpan(ROOT_CONTEXT, this.#span);
    const span = this.#tracer.startSpan(hop, { attributes: fields }, context);
    return new OpenTelemetrySpan(this.#tracer, span);
  }

  end(fields: SpanFields = {}): void {
    this.#span.setAttributes(fields);
    this.#span.end();
  }
}

const parseTraceparent = (header: string | undefined): SpanContext | undefined => {
  const match = header === undefined ? null : TRACEPARENT.exec(header);
  if (match === null) return undefined;
  const [, traceId = '', spanId = '', flags = '00'] = match;
  return { traceId, spanId, traceFlags: Number.parseInt(flags, HEXADECIMAL), isRemote: true };
};

export class OpenTelemetryTracing implements Tracing {
  readonly ring: SpanRing;

  readonly #tracer: Tracer;

  readonly #sampleRatio: number;

  readonly #random: RandomSource;

  constructor(sampleRatio: number, ringCapacity: number, random: RandomSource) {
    this.ring = new SpanRing(ringCapacity);
    const provider = new BasicTracerProvider({
      spanProcessors: [new SimpleSpanProcessor(this.ring)],
    });
    this.#tracer = provider.getTracer('snipethread');
    this.#sampleRatio = sampleRatio;
    this.#random = random;
  }

  startTrace(hop: Hop, traceparent: string | undefined): TraceSpan | undefined {
    const parent = parseTraceparent(traceparent);
    // Sampling is the lowest bit of the flags.
    const isSampledByCaller = parent !== undefined && parent.traceFlags % 2 === 1;
    if (!isSampledByCaller && this.#random.nextFraction() >= this.#sampleRatio) return undefined;
    const context: Context =
      parent === undefined
        ? ROOT_CONTEXT
        : trace.setSpanContext(ROOT_CONTEXT, { ...parent, traceFlags: TraceFlags.SAMPLED });
    return new OpenTelemetrySpan(this.#tracer, this.#tracer.startSpan(hop, {}, context));
  }
}
