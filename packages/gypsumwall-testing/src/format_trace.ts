/**
 * Formats a trace as text: one line for each span, indented below its parent.
 */
import type * as traceCollector from './trace_collector.js';

type Span = traceCollector.CollectedSpan;

const INSTANCE_ATTRIBUTE = 'service.instance.id';

/** Formats spans as a tree; spans whose parent is unknown become roots. */
export function formatTrace(spans: readonly Span[]): string {
  const known = new Set(spans.map((span) => span.spanId));
  const firstMs = Math.min(...spans.map((span) => span.startMs));
  const roots = spans.filter((span) => !known.has(span.parentSpanId ?? ''));
  return sortByStart(roots)
    .flatMap((root) => formatSubtree(root, spans, 0, firstMs))
    .join('\n');
}

/**
 * Returns the trace with the most different span names, or undefined if there
 * is no trace.
 */
export function longestTrace(
  traces: ReadonlyMap<string, readonly Span[]>,
): readonly Span[] | undefined {
  const countSpanNames = (spans: readonly Span[]) =>
    new Set(spans.map((span) => span.name)).size;
  return [...traces.values()].sort(
    (left, right) =>
      countSpanNames(right) - countSpanNames(left) ||
      left.length - right.length,
  )[0];
}

function formatSubtree(
  span: Span,
  spans: readonly Span[],
  depth: number,
  firstMs: number,
): string[] {
  const children = sortByStart(
    spans.filter((other) => other.parentSpanId === span.spanId),
  );
  return [
    formatSpan(span, depth, firstMs),
    ...children.flatMap((child) =>
      formatSubtree(child, spans, depth + 1, firstMs),
    ),
  ];
}

function formatSpan(span: Span, depth: number, firstMs: number): string {
  const {[INSTANCE_ATTRIBUTE]: instance, ...others} = span.attributes;
  const pairs = Object.entries(others).map(([key, value]) => `${key}=${value}`);
  const at = (span.startMs - firstMs).toFixed(1);
  const failed = span.error === undefined ? [] : [`failed: ${span.error}`];
  return [
    `${'  '.repeat(depth)}${span.name}`,
    `at ${at} ms for ${span.durationMs.toFixed(1)} ms`,
    `by ${instance ?? '?'}`,
    ...pairs,
    ...failed,
  ].join('  ');
}

function sortByStart(spans: readonly Span[]): Span[] {
  return [...spans].sort((left, right) => left.startMs - right.startMs);
}
