/**
 * Traces through OpenTelemetry. The context goes from hop to hop as a W3C
 * `traceparent`: caller, entry, peer entry, upstream or worker. It is handed
 * on by value, so that one reads in the code which span is whose parent.
 */
import * as otelApi from '@opentelemetry/api';
import * as otlpExporter from '@opentelemetry/exporter-trace-otlp-http';
import * as otelSdk from '@opentelemetry/sdk-trace-node';
import * as types from '@gypsumwall/types';
import type * as spanRecorder from './span_recorder.js';

/** Values an attribute may have. */
export type AttributeValue = string | number | boolean;

/** Attributes of a span. Never a token, a key or a body. */
export type SpanAttributes = Readonly<Record<string, AttributeValue>>;

/** One step under way. */
export interface Span {
  /** To be sent to the next hop, as the header of this name. */
  readonly traceparent: string;
  /** For log lines. */
  readonly traceId: string;
  setAttribute(key: string, value: AttributeValue): void;
  /** Ends the step; with a message if it failed. */
  end(error?: string): void;
}

/** Starts spans. */
export interface Tracer {
  /** A span below `parent`, or a new trace where that is absent or bad. */
  startSpan(name: string, parent?: string, attributes?: SpanAttributes): Span;
  /** Sends what is queued, for as long as the export timeout at most. */
  close(): Promise<void>;
}

/** Who traces, and where to. */
export interface TracerOptions {
  /** Id of this process; an attribute of every span. */
  readonly instance: string;
  /** OTLP/HTTP collector, such as `http://10.0.0.9:4318/v1/traces`. */
  readonly collectorUrl?: string;
  /** Keeps spans in memory, for tests. */
  readonly recorder?: spanRecorder.SpanRecorder;
  /** How long one export may take, in milliseconds. */
  readonly exportTimeoutMs?: number;
  /** Told of spans that could not be exported; nothing is thrown. */
  readonly onError?: (message: string) => void;
}

const DEFAULT_EXPORT_TIMEOUT_MS = 2_000;
const EXPORT_INTERVAL_MS = 500;
/** Spans that wait for an export; more are dropped. */
const MAX_QUEUED_SPANS = 2_048;
const MAX_BATCH_SPANS = 512;
/** Lets a closing tracer export its whole queue, beside one under way. */
const MAX_CONCURRENT_EXPORTS = MAX_QUEUED_SPANS / MAX_BATCH_SPANS + 1;
/** Keeps one absurd value from filling the queue's memory, in characters. */
const MAX_ATTRIBUTE_CHARACTERS = 256;

const TRACEPARENT_HEADER = 'traceparent';

/**
 * A tracer. Without collector and recorder it still makes trace ids, for logs
 * and for the next hop, and keeps the caller's decision to sample.
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
  // Makes the W3C propagator known; spans find their parents by hand.
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

/** OpenTelemetry tells faults of its exporters to one logger per process. */
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
 * A collector that hangs would hold every span until memory is gone, or slow
 * the path if one waited for it. The queue is bounded and drops what doesn't
 * fit, exports run beside the path, and each ends at its timeout.
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
