/** Distributed tracing with a span for each hop, by W3C Trace Context. */
import { type Either, isLeft } from 'fp-ts/lib/Either.js';

import type { Failure } from '../../errors/common/errorKinds.js';

export const Hop = {
  Entry: 'entry',
  Queue: 'queue',
  Attempt: 'attempt',
  PeerCall: 'peer-call',
  TableCall: 'table-call',
  WorkerCall: 'worker-call',
} as const;
export type Hop = (typeof Hop)[keyof typeof Hop];

export type SpanFields = Readonly<Record<string, string | number | boolean>>;

/** One hop of a sampled request. */
export interface TraceSpan {
  /** The `traceparent` header that identifies this span to the next hop. */
  readonly traceparent: string;
  child(hop: Hop, fields?: SpanFields): TraceSpan;
  end(fields?: SpanFields): void;
}

export interface Tracing {
  /**
   * Starts a trace, or continues the one that `traceparent` identifies. Returns undefined if the
   * request is not sampled; the caller then passes on the received header unchanged.
   */
  startTrace(hop: Hop, traceparent?: string, fields?: SpanFields): TraceSpan | undefined;
}

/** A finished span in the ring buffer of recent traces. */
export interface RecordedSpan {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId: string;
  readonly hop: string;
  readonly startedAt: string;
  readonly durationMs: number;
  readonly fields: SpanFields;
}

export const silentTracing: Tracing = { startTrace: () => undefined };

/** Runs a call within a span and records the outcome when it ends the span. */
export const tracedCall = async <Result extends Either<Failure, unknown>>(
  span: TraceSpan | undefined,
  call: () => Promise<Result>,
): Promise<Result> => {
  if (span === undefined) return call();
  const result = await call();
  span.end({ outcome: isLeft(result) ? result.left.kind : 'answered' });
  return result;
};
