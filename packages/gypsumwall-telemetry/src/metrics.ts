/**
 * Sends metrics to a StatsD daemon over UDP, through hot-shots. UDP never
 * waits for the other end, so a daemon that is gone costs the path nothing.
 */
import * as hotShots from 'hot-shots';
import * as metricTable from './metric_table.js';

/** Sends the metrics of one process. */
export interface Metrics {
  /** Adds to a counter; 1 where `by` is left out. */
  count<Name extends metricTable.MetricOf<'counter'>>(
    name: Name,
    tags?: metricTable.TagsOf<Name>,
    by?: number,
  ): void;
  /** States what a gauge reads now. */
  gauge<Name extends metricTable.MetricOf<'gauge'>>(
    name: Name,
    value: number,
    tags?: metricTable.TagsOf<Name>,
  ): void;
  /** Adds one value, in the metric's unit, to a distribution. */
  observe<Name extends metricTable.MetricOf<'histogram'>>(
    name: Name,
    value: number,
    tags?: metricTable.TagsOf<Name>,
  ): void;
  /** Sends what is buffered and closes the socket. */
  close(): Promise<void>;
}

/** Where metrics go. */
export interface MetricsOptions {
  readonly host: string;
  readonly port: number;
  /** Tags on every metric, such as the entry's id. */
  readonly tags: Readonly<Record<string, string>>;
  /** Told of faults of the socket; they are never thrown. */
  readonly onError: (err: Error) => void;
}

/** How long metrics are gathered into one packet, in milliseconds. */
const BUFFER_MS = 500;
/** Fits into one Ethernet frame, in bytes. */
const PACKET_BYTES = 1_400;

/** Metrics that go to a StatsD daemon. */
export function createMetrics(options: MetricsOptions): Metrics {
  const client = new hotShots.StatsD({
    host: options.host,
    port: options.port,
    prefix: metricTable.METRIC_PREFIX,
    globalTags: {...options.tags},
    errorHandler: options.onError,
    maxBufferSize: PACKET_BYTES,
    bufferFlushInterval: BUFFER_MS,
    includeDatadogTelemetry: false,
    includeDataDogTags: false,
  });
  return {
    count: (name, tags, by = 1) =>
      client.increment(wireName(name), by, plainTags(tags)),
    gauge: (name, value, tags) =>
      client.gauge(wireName(name), value, plainTags(tags)),
    observe: (name, value, tags) =>
      client.histogram(wireName(name), value, plainTags(tags)),
    close: () => new Promise((resolve) => client.close(() => resolve())),
  };
}

/** Metrics that go nowhere, for a process without a daemon. */
export function createNoopMetrics(): Metrics {
  return {
    count: () => undefined,
    gauge: () => undefined,
    observe: () => undefined,
    close: () => Promise.resolve(),
  };
}

function wireName(name: metricTable.MetricName): string {
  return metricTable.METRICS[name].name;
}

function plainTags(tags: object = {}): Record<string, string> {
  return Object.fromEntries(
    Object.entries(tags).filter(
      (pair): pair is [string, string] => typeof pair[1] === 'string',
    ),
  );
}
