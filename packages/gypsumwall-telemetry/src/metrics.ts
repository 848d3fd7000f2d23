/**
 * Sends metrics to a StatsD daemon over UDP, through hot-shots. UDP does not
 * wait for the receiver, so an unreachable daemon does not delay the caller.
 */
import * as hotShots from 'hot-shots';
import * as metricTable from './metric_table.js';

/** Sends the metrics of one process. */
export interface Metrics {
  /** Adds `by` to a counter; 1 by default. */
  count<Name extends metricTable.MetricOf<'counter'>>(
    name: Name,
    tags?: metricTable.TagsOf<Name>,
    by?: number,
  ): void;
  /** Sets the current value of a gauge. */
  gauge<Name extends metricTable.MetricOf<'gauge'>>(
    name: Name,
    value: number,
    tags?: metricTable.TagsOf<Name>,
  ): void;
  /** Adds a value in the metric's unit to a histogram. */
  observe<Name extends metricTable.MetricOf<'histogram'>>(
    name: Name,
    value: number,
    tags?: metricTable.TagsOf<Name>,
  ): void;
  /** Sends what is buffered and closes the socket. */
  close(): Promise<void>;
}

/** Address of the daemon, and what all metrics have in common. */
export interface MetricsOptions {
  readonly host: string;
  readonly port: number;
  /** Tags of all metrics, such as the entry id. */
  readonly tags: Readonly<Record<string, string>>;
  /** Receives the errors of the socket, which are never thrown. */
  readonly onError: (err: Error) => void;
}

/** Interval at which buffered metrics are sent, in milliseconds. */
const FLUSH_INTERVAL_MS = 500;
/** Maximum size of a packet, in bytes; it fits into one Ethernet frame. */
const MAX_PACKET_BYTES = 1_400;

/** Creates metrics that are sent to a StatsD daemon. */
export function createMetrics(options: MetricsOptions): Metrics {
  const client = new hotShots.StatsD({
    host: options.host,
    port: options.port,
    prefix: metricTable.METRIC_PREFIX,
    globalTags: {...options.tags},
    errorHandler: options.onError,
    maxBufferSize: MAX_PACKET_BYTES,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    includeDatadogTelemetry: false,
    includeDataDogTags: false,
  });
  return {
    count: (name, tags, by = 1) =>
      client.increment(toWireName(name), by, dropAbsentTags(tags)),
    gauge: (name, value, tags) =>
      client.gauge(toWireName(name), value, dropAbsentTags(tags)),
    observe: (name, value, tags) =>
      client.histogram(toWireName(name), value, dropAbsentTags(tags)),
    close: () => new Promise((resolve) => client.close(() => resolve())),
  };
}

/** Creates metrics that are discarded, for a process without a daemon. */
export function createNoopMetrics(): Metrics {
  return {
    count: () => undefined,
    gauge: () => undefined,
    observe: () => undefined,
    close: () => Promise.resolve(),
  };
}

function toWireName(name: metricTable.MetricName): string {
  return metricTable.METRICS[name].name;
}

function dropAbsentTags(tags: object = {}): Record<string, string> {
  return Object.fromEntries(
    Object.entries(tags).filter(
      (pair): pair is [string, string] => typeof pair[1] === 'string',
    ),
  );
}
