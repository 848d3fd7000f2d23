/** Keeps ended spans in memory, so that a test can follow a request. */
import * as otelSdk from '@opentelemetry/sdk-trace-node';

/** A span that has ended. */
export interface RecordedSpan {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  /** Absent for the first span of a trace. */
  readonly parentSpanId?: string;
  readonly attributes: Readonly<Record<string, unknown>>;
  /** Present if the step failed. */
  readonly error?: string;
}

/** Memory of ended spans; several tracers may share one. */
export interface SpanRecorder {
  readonly exporter: otelSdk.SpanExporter;
  /** Ended spans, in the order in which they ended. */
  spans(): RecordedSpan[];
}

/** An empty recorder. */
export function createSpanRecorder(): SpanRecorder {
  const exporter = new otelSdk.InMemorySpanExporter();
  // A tracer that closes would empty what the others recorded.
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
