/**
 * A collector of traces for a trial on one machine: takes what the entries
 * export (OTLP over HTTP, as JSON) and prints one trace as a tree.
 */
import type * as fastify from 'fastify';
import * as zod from 'zod';
import * as standInServer from './stand_in_server.js';

const attribute = zod.object({
  key: zod.string(),
  value: zod.record(zod.string(), zod.unknown()),
});

const exportBody = zod.object({
  resourceSpans: zod.array(
    zod.object({
      scopeSpans: zod.array(
        zod.object({
          spans: zod.array(
            zod.object({
              traceId: zod.string(),
              spanId: zod.string(),
              parentSpanId: zod.string().optional(),
              name: zod.string(),
              startTimeUnixNano: zod.coerce.bigint(),
              endTimeUnixNano: zod.coerce.bigint(),
              attributes: zod.array(attribute).default([]),
            }),
          ),
        }),
      ),
    }),
  ),
});

/** A span as an entry exported it. */
export interface CollectedSpan {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentSpanId?: string;
  readonly name: string;
  readonly startMs: number;
  readonly endMs: number;
  readonly attributes: Readonly<Record<string, string>>;
}

/** The collector. */
export interface TraceCollector {
  /** To be given to entries as `tracesUrl`. */
  readonly url: string;
  spans(): readonly CollectedSpan[];
  close(): Promise<void>;
}

const TRACES_PATH = '/v1/traces';
const NANOS_A_MS = 1e6;

/** Starts the collector on a port of the kernel's choice. */
export async function createTraceCollector(): Promise<TraceCollector> {
  const spans: CollectedSpan[] = [];
  const server = standInServer.createServer();
  server.post(TRACES_PATH, (req: fastify.FastifyRequest) => {
    spans.push(...readExport(req.body));
    return {};
  });
  const address = await standInServer.listen(server);
  return {
    url: `${address}${TRACES_PATH}`,
    spans: () => spans,
    close: () => server.close(),
  };
}

function readExport(body: unknown): CollectedSpan[] {
  return exportBody
    .parse(body)
    .resourceSpans.flatMap(({scopeSpans}) => scopeSpans)
    .flatMap((scope) => scope.spans)
    .map((span) => ({
      traceId: span.traceId,
      spanId: span.spanId,
      parentSpanId: span.parentSpanId === '' ? undefined : span.parentSpanId,
      name: span.name,
      startMs: Number(span.startTimeUnixNano) / NANOS_A_MS,
      endMs: Number(span.endTimeUnixNano) / NANOS_A_MS,
      attributes: Object.fromEntries(
        span.attributes.map(({key, value}) => [
          key,
          String(Object.values(value)[0]),
        ]),
      ),
    }));
}

/** The trace with the most hops; undefined when nothing was collected. */
export function longestTrace(
  spans: readonly CollectedSpan[],
): readonly CollectedSpan[] | undefined {
  const traces = new Map<string, CollectedSpan[]>();
  for (const span of spans) {
    const trace = traces.get(span.traceId) ?? [];
    trace.push(span);
    traces.set(span.traceId, trace);
  }
  return [...traces.values()].sort(
    (left, right) => right.length - left.length,
  )[0];
}

/** A trace as indented lines, each with its moment and length in ms. */
export function formatTrace(trace: readonly CollectedSpan[]): string {
  const ids = new Set(trace.map((span) => span.spanId));
  const start = Math.min(...trace.map((span) => span.startMs));
  const lines: string[] = [];
  const add = (span: CollectedSpan, depth: number) => {
    const {['service.instance.id']: instance, ...rest} = span.attributes;
    const fields = Object.entries(rest).map(
      ([key, value]) => `${key}=${value}`,
    );
    const at = (span.startMs - start).toFixed(1).padStart(7);
    const took = (span.endMs - span.startMs).toFixed(1).padStart(7);
    const name = `${'  '.repeat(depth)}${span.name}`;
    lines.push([at, took, name, instance ?? '', ...fields].join(' '));
    trace
      .filter((child) => child.parentSpanId === span.spanId)
      .sort((left, right) => left.startMs - right.startMs)
      .forEach((child) => add(child, depth + 1));
  };
  trace
    .filter(({parentSpanId}) => !ids.has(parentSpanId ?? ''))
    .forEach((root) => add(root, 0));
  return ['  at ms took ms span, entry, attributes', ...lines].join('\n');
}
