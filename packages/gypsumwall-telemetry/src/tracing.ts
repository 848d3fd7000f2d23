/**
 * Tracing with OpenTelemetry. The trace context is propagated as a W3C
 * `traceparent` from the caller through entry and peer entry to the upstream or
 * worker. Within a process it is passed as an argument, so the code shows the
 * parent of each span.
 */
import * as otelApi from '@opentelemetry/api';
import * as otlpExporter from '@opentelemetry/exporter-trace-otlp-http';
import * as otelSdk from '@opentelemetry/sdk-trace-node';
import * as types from '@gypsumwall/types';
import type * as spanRecorder from './span_recorder.js';

/** Type of the values of attributes. */
export type AttributeValue = string | number | boolean;

/** Attributes of a span; must not contain tokens, keys or bodies. */
export type SpanAttributes = Readonly<Record<string, AttributeValue>>;

/** A span that has not ended. */
export interface Span {
  /** Value of the `traceparent` header for the next hop. */
  readonly traceparent: string;
  /** Id of the trace, for log lines. */
  readonly traceId: string;
  setAttribute(key: string, value: AttributeValue): void;
  /** Ends the span; `error` is the message of a failed step. */
  end(error?: string): void;
}

/** Creates spans. */
export interface Tracer {
  /**
   * Starts a span as a child of the `traceparent` in `parent`, or a new trace
   * if it is absent or invalid.
   */
  startSpan(name: string, parent?: string, attributes?: SpanAttributes): Span;
  /** Exports the queued spans; stops at the export timeout. */
  close(): Promise<void>;
}

/** Identity of the process, and where its spans are sent. */
export interface TracerOptions {
  /** Id of this process; an attribute of every span. */
  readonly instance: string;
  /** OTLP/HTTP collector, such as `http://10.0.0.9:4318/v1/traces`. */
  readonly collectorUrl?: string;
  /** Records spans in memory, for tests. */
  readonly recorder?: spanRecorder.SpanRecorder;
  /** Timeout of one export, in milliseconds. */
  readonly exportTimeoutMs?: number;
  /** Receives the errors of failed exports, which are never thrown. */
  readonly onError?: (message: string) => void;
}

const DEFAULT_EXPORT_TIMEOUT_MS = 2_000;
const EXPORT_INTERVAL_MS = 500;
/** Further spans are dropped while this many wait for an export. */
const MAX_QUEUED_SPANS = 2_048;
const MAX_BATCH_SPANS = 512;
/**
 * Lets a closing tracer export its whole queue at once, in addition to an
 * export in progress.
 */
const MAX_CONCURRENT_EXPORTS = MAX_QUEUED_SPANS / MAX_BATCH_SPANS + 1;
/** Limits the memory that a very long attribute takes in the queue. */
const MAX_ATTRIBUTE_CHARACTERS = 256;

const TRACEPARENT_HEADER = 'traceparent';

/**
 * Creates a tracer. Without a collector and a recorder it still creates trace
 * ids for logs and for the next hop, and propagates the caller's sampling
 * decision.
 */
export function createTracer(options: TracerOptions): Tracer {
  if (options.onError !== undefined) reportExporterErrors(options.onError);
  const processors = createProcessors(options);
  const provider = new otelSdk.NodeTracerProvider({
    spanProcessors: processors,
    sampler: new otelSdk.ParentBasedSampler({
      root:
        processors.length > 0
          ? new otelSdk.AlwaysOnSampler()
          : new otelSdk.AlwaysOffSampler(),
    }),
    spanLimits: {attributeValueLengthLimit: MAX_ATTRIBUTE_CHARACTERS},
  });
  // Registers the W3C propagator. There is no context manager because parents
  // are passed explicitly.
  provider.register({contextManager: null});
  const tracer = provider.getTracer('gypsumwall');
  return {
    startSpan: (name, parent, attributes) =>
      startSpan(tracer, name, parent, {
        'service.instance.id': options.instance,
        ...attributes,
      }),
    close: () =>
      provider.shutdown().catch((thrown: unknown) => {
        options.onError?.(types.stepError.messageOf(thrown));
      }),
  };
}

/** Sets the one logger per process to which exporters report errors. */
function reportExporterErrors(onError: (message: string) => void): void {
  const ignore = () => undefined;
  otelApi.diag.setLogger(
    {
      error: onError,
      warn: onError,
      info: ignore,
      debug: ignore,
      verbose: ignore,
    },
    {
      logLevel: otelApi.DiagLogLevel.WARN,
      suppressOverrideMessage: true,
    },
  );
}

/**
 * Creates the processors that export ended spans. A collector that does not
 * answer must neither exhaust the memory nor delay requests: the queue is
 * bounded and drops further spans, exports run in the background, and each
 * export has a timeout.
 */
function createProcessors(options: TracerOptions): otelSdk.SpanProcessor[] {
  const processors: otelSdk.SpanProcessor[] = [];
  const exportTimeoutMs = options.exportTimeoutMs ?? DEFAULT_EXPORT_TIMEOUT_MS;
  if (options.collectorUrl !== undefined) {
    const exporter = new otlpExporter.OTLPTraceExporter({
      url: options.collectorUrl,
      timeoutMillis: exportTimeoutMs,
      concurrencyLimit: MAX_CONCURRENT_EXPORTS,
    });
    processors.push(
      new otelSdk.BatchSpanProcessor(exporter, {
        maxQueueSize: MAX_QUEUED_SPANS,
        maxExportBatchSize: MAX_BATCH_SPANS,
        scheduledDelayMillis: EXPORT_INTERVAL_MS,
        exportTimeoutMillis: exportTimeoutMs,
      }),
    );
  }
  if (options.recorder !== undefined) {
    processors.push(new otelSdk.SimpleSpanProcessor(options.recorder.exporter));
  }
  return processors;
}

function startSpan(
  tracer: otelApi.Tracer,
  name: string,
  parent: string | undefined,
  attributes: SpanAttributes,
): Span {
  const root = otelApi.ROOT_CONTEXT;
  const context =
    parent === undefined
      ? root
      : otelApi.propagation.extract(root, {[TRACEPARENT_HEADER]: parent});
  const span = tracer.startSpan(name, {attributes}, context);
  const carrier: Record<string, string> = {};
  otelApi.propagation.inject(otelApi.trace.setSpan(context, span), carrier);
  return {
    traceparent: carrier[TRACEPARENT_HEADER] ?? '',
    traceId: span.spanContext().traceId,
    setAttribute: (key, value) => {
      span.setAttribute(key, value);
    },
    end: (error) => {
      if (error !== undefined) {
        const code = otelApi.SpanStatusCode.ERROR;
        span.setStatus({code, message: error});
      }
      span.end();
    },
  };
}
