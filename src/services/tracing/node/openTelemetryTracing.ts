/** Tracing through OpenTelemetry, with a ring buffer of recent spans in memory. */
import {
  type Context,
  isValidSpanId,
  isValidTraceId,
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
import {
  Hop,
  type RecordedSpan,
  type SpanFields,
  type TraceSpan,
  type Tracing,
} from '../common/tracing.js';

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

/** A ring buffer of spans with a fixed capacity. */
class Ring {
  readonly #capacity: number;

  readonly #spans: ReadableSpan[] = [];

  #nextIndex = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get spans(): readonly ReadableSpan[] {
    return this.#spans;
  }

  add(span: ReadableSpan): void {
    this.#spans[this.#nextIndex] = span;
    this.#nextIndex = (this.#nextIndex + 1) % this.#capacity;
  }

  clear(): void {
    this.#spans.length = 0;
    this.#nextIndex = 0;
  }
}

/** Hops that the program also makes in the background, a few every second, without a request. */
const BACKGROUND_HOPS: ReadonlySet<string> = new Set([Hop.PeerCall, Hop.TableCall, Hop.WorkerCall]);

/**
 * Whether a span belongs to no request. Table and worker calls under a request's span belong to the
 * request; peer calls are always heartbeats.
 */
const isBackground = ({ name, parentSpanContext }: ReadableSpan): boolean =>
  BACKGROUND_HOPS.has(name) && (parentSpanContext === undefined || name === Hop.PeerCall);

/**
 * Keeps the newest spans and overwrites the oldest, so memory is bounded. Background calls have a
 * separate ring buffer. Otherwise they would displace a request's spans within seconds and leave
 * the rest of its trace without a root.
 */
export class SpanRing implements SpanExporter {
  readonly #requests: Ring;

  readonly #background: Ring;

  constructor(capacity: number) {
    this.#requests = new Ring(capacity);
    this.#background = new Ring(capacity);
  }

  export(spans: ReadableSpan[], resultCallback: (result: { code: number }) => void): void {
    spans.forEach((span) => {
      const ring = isBackground(span) ? this.#background : this.#requests;
      ring.add(span);
    });
    resultCallback({ code: 0 });
  }

  shutdown(): Promise<void> {
    this.#requests.clear();
    this.#background.clear();
    return Promise.resolve();
  }

  /** Returns the spans of a trace, sorted by start time. */
  find(traceId: string): readonly RecordedSpan[] {
    return this.#all()
      .filter((span) => span.spanContext().traceId === traceId)
      .sort((left, right) => toMs(left.startTime) - toMs(right.startTime))
      .map(toRecordedSpan);
  }

  /** Returns the ids of the traces with spans in the ring buffers. */
  traceIds(): readonly string[] {
    return [...new Set(this.#all().map((span) => span.spanContext().traceId))];
  }

  #all(): readonly ReadableSpan[] {
    return [...this.#requests.spans, ...this.#background.spans];
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

/** Returns undefined for an invalid header, which W3C Trace Context treats as absent. */
const parseTraceparent = (header: string | undefined): SpanContext | undefined => {
  const match = header === undefined ? null : TRACEPARENT.exec(header);
  if (match === null) return undefined;
  const [, traceId = '', spanId = '', flags = '00'] = match;
  if (!isValidTraceId(traceId) || !isValidSpanId(spanId)) return undefined;
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

  startTrace(hop: Hop, traceparent?: string, fields: SpanFields = {}): TraceSpan | undefined {
    const parent = parseTraceparent(traceparent);
    // The lowest bit of the flags is the sampled flag.
    const isSampledByCaller = parent !== undefined && parent.traceFlags % 2 === 1;
    if (!isSampledByCaller && this.#random.nextFraction() >= this.#sampleRatio) return undefined;
    const context: Context =
      parent === undefined
        ? ROOT_CONTEXT
        : trace.setSpanContext(ROOT_CONTEXT, { ...parent, traceFlags: TraceFlags.SAMPLED });
    const span = this.#tracer.startSpan(hop, { attributes: fields }, context);
    return new OpenTelemetrySpan(this.#tracer, span);
  }
}
