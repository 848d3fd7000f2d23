/**
 * Stand-in for a trace collector (OTLP over HTTP, in JSON) that stores the
 * spans that entries export.
 */
import * as zod from 'zod';
import * as standInServer from './stand_in_server.js';

/** One exported span. */
export interface CollectedSpan {
  readonly name: string;
  readonly traceId: string;
  readonly spanId: string;
  /** Absent for the root span of a trace. */
  readonly parentSpanId?: string;
  /**
   * Start on the exporter's wall clock, in milliseconds since the Unix epoch.
   */
  readonly startMs: number;
  readonly durationMs: number;
  readonly attributes: Readonly<Record<string, string>>;
  /** The error message; present only if the operation failed. */
  readonly error?: string;
}

/** A running collector. */
export interface TraceCollector {
  /** The value for the entry setting `tracesUrl`. */
  readonly url: string;
  /** Returns all spans received so far, by trace id. */
  traces(): ReadonlyMap<string, readonly CollectedSpan[]>;
  close(): Promise<void>;
}

const TRACES_PATH = '/v1/traces';
const NANOS_PER_MS = 1e6;

const spanSchema = zod.object({
  name: zod.string(),
  traceId: zod.string(),
  spanId: zod.string(),
  parentSpanId: zod.string().optional(),
  startTimeUnixNano: zod.string(),
  endTimeUnixNano: zod.string(),
  attributes: zod
    .array(
      zod.object({
        key: zod.string(),
        value: zod.record(zod.string(), zod.unknown()),
      }),
    )
    .default([]),
  status: zod.object({message: zod.string().optional()}).default({}),
});

const exportSchema = zod.object({
  resourceSpans: zod.array(
    zod.object({
      scopeSpans: zod.array(zod.object({spans: zod.array(spanSchema)})),
    }),
  ),
});

/** Starts a collector on a port that the kernel assigns. */
export async function startTraceCollector(): Promise<TraceCollector> {
  const traces = new Map<string, CollectedSpan[]>();
  const server = standInServer.createServer();
  server.post(TRACES_PATH, (req) => {
    for (const span of readSpans(req.body)) {
      traces.set(span.traceId, [...(traces.get(span.traceId) ?? []), span]);
    }
    return {};
  });
  const address = await server.listen({port: 0, host: '127.0.0.1'});
  return {
    url: `${address}${TRACES_PATH}`,
    traces: () => traces,
    close: () => server.close(),
  };
}

function readSpans(body: unknown): CollectedSpan[] {
  return exportSchema
    .parse(body)
    .resourceSpans.flatMap((resource) => resource.scopeSpans)
    .flatMap((scope) => scope.spans)
    .map(toCollectedSpan);
}

function toCollectedSpan(span: zod.infer<typeof spanSchema>): CollectedSpan {
  const startMs = Number(span.startTimeUnixNano) / NANOS_PER_MS;
  const endMs = Number(span.endTimeUnixNano) / NANOS_PER_MS;
  return {
    name: span.name,
    traceId: span.traceId,
    spanId: span.spanId,
    parentSpanId: span.parentSpanId,
    startMs,
    durationMs: endMs - startMs,
    attributes: Object.fromEntries(
      span.attributes.map(({key, value}) => [
        key,
        String(Object.values(value)[0]),
      ]),
    ),
    error: span.status.message,
  };
}
