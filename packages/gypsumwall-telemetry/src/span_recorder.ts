/** Records ended spans in memory, so that a test can follow a request. */
import * as otelSdk from '@opentelemetry/sdk-trace-node';

/** A span that has ended. */
export interface RecordedSpan {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  /** Absent for the root span of a trace. */
  readonly parentSpanId?: string;
  readonly attributes: Readonly<Record<string, unknown>>;
  /** Error message; present if the step failed. */
  readonly error?: string;
}

/** Recorder of ended spans; several tracers may share one. */
export interface SpanRecorder {
  readonly exporter: otelSdk.SpanExporter;
  /** Returns the ended spans, in the order in which they ended. */
  spans(): RecordedSpan[];
}

/** Creates an empty recorder. */
export function createSpanRecorder(): SpanRecorder {
  const exporter = new otelSdk.InMemorySpanExporter();
  // The original method deletes all spans. With several tracers, the first one
  // to close would delete the spans of the others.
  exporter.shutdown = () => Promise.resolve();
  return {
    exporter,
    spans: () => exporter.getFinishedSpans().map(toRecordedSpan),
  };
}

function toRecordedSpan(span: otelSdk.ReadableSpan): RecordedSpan {
  const {traceId, spanId} = span.spanContext();
  return {
    name: span.name,
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    attributes: span.attributes,
    error: span.status.message,
  };
}
