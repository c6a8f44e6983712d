/** Formats the spans of a trace as a tree. */
import type { RecordedSpan } from '../../services/tracing/common/tracing.js';

const INDENTATION = '  ';

const spanLine = (span: RecordedSpan, depth: number): string => {
  const fields = Object.entries(span.fields).map(([name, value]) => ` ${name}=${value}`);
  const name = `${INDENTATION.repeat(depth)}${span.hop}`;
  return `${name.padEnd(20)} ${span.durationMs.toFixed(2).padStart(9)} ms${fields.join('')}`;
};

/**
 * Formats the spans as an indented tree. A span whose parent is not in the list is a root: the
 * parent is the caller's own span, has not ended yet, or was overwritten in the ring buffer. A trace
 * has several roots if the caller sent several requests with the same trace id.
 */
export const traceText = (spans: readonly RecordedSpan[]): string => {
  if (spans.length === 0) return 'no spans; only sampled requests have some, and old ones give way';
  const ids = new Set(spans.map(({ spanId }) => spanId));
  const linesUnder = (parents: readonly RecordedSpan[], depth: number): readonly string[] =>
    parents.flatMap((parent) => [
      spanLine(parent, depth),
      ...linesUnder(
        spans.filter(({ parentSpanId }) => parentSpanId === parent.spanId),
        depth + 1,
      ),
    ]);
  return linesUnder(
    spans.filter(({ parentSpanId }) => !ids.has(parentSpanId)),
    0,
  ).join('\n');
};
