/** Clients of the platform, the workers and the upstreams, with telemetry. */
import * as undici from 'undici';
import * as platform from '@gypsumwall/platform';
import type * as settings from '@gypsumwall/settings';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';

/** Options of `createEntryClients`. */
export interface EntryClientsOptions {
  readonly settings: settings.entrySettings.EntrySettings;
  readonly clock: types.clock.Clock;
  readonly metrics: telemetry.metrics.Metrics;
  readonly tracer: telemetry.tracing.Tracer;
}

/** Clients of an entry. */
export interface EntryClients {
  readonly log: platform.platformLog.PlatformLog;
  readonly list: platform.instanceList.InstanceList;
  makeWorker(
    listed: platform.instanceList.ListedWorker,
  ): platform.worker.Worker;
  makeUpstream(
    listed: platform.instanceList.ListedUpstream,
    connections: number,
  ): platform.upstream.Upstream;
  close(): Promise<void>;
}

/** One connection for calls, and a spare for when the first one hangs. */
const WORKER_CONNECTIONS = 2;

/** Creates the clients; none connects before its first call. */
export function createEntryClients(options: EntryClientsOptions): EntryClients {
  const {clock} = options;
  const cfg = options.settings;
  const workerDispatcher = new undici.Agent({connections: WORKER_CONNECTIONS});
  const log = platform.httpPlatformLog.createHttpPlatformLog({
    url: cfg.logUrl,
    timeoutMs: cfg.platformTimeoutMs,
  });
  return {
    log: {
      read: (req) => log.read(req),
      append: meteredAppend(options, log),
    },
    list: platform.httpInstanceList.createHttpInstanceList({
      url: cfg.listUrl,
      timeoutMs: cfg.platformTimeoutMs,
    }),
    makeWorker: (listed) =>
      platform.httpWorker.createHttpWorker({
        id: listed.id,
        address: listed.address,
        timeoutMs: cfg.platformTimeoutMs,
        dispatcher: workerDispatcher,
      }),
    makeUpstream: (listed, connections) => {
      const upstream = platform.httpUpstream.createHttpUpstream({
        id: listed.id,
        address: listed.address,
        connections,
        clock,
      });
      return {...upstream, execute: tracedExecute(options, listed, upstream)};
    },
    close: () => workerDispatcher.destroy(),
  };
}

function meteredAppend(
  {clock, metrics}: EntryClientsOptions,
  log: platform.platformLog.PlatformLog,
): platform.platformLog.PlatformLog['append'] {
  return async (req) => {
    const startedAt = clock.monotonic();
    const answer = await log.append(req);
    const stream = req.stream.split('.')[0];
    const outcome = answer.isOk ? 'done' : answer.error.effect;
    metrics.count('logAppends', {stream, outcome});
    metrics.observe('logAppendTime', clock.monotonic() - startedAt, {stream});
    return answer;
  };
}

function tracedExecute(
  {metrics, tracer}: EntryClientsOptions,
  listed: platform.instanceList.ListedUpstream,
  upstream: platform.upstream.Upstream,
): platform.upstream.Upstream['execute'] {
  return async (req) => {
    const span = tracer.startSpan('upstream.execute', req.traceparent, {
      upstream: listed.id,
      operation: req.operation,
      request_id: req.requestId,
    });
    const answer = await upstream.execute({
      ...req,
      traceparent: span.traceparent,
    });
    const outcome = answer.isOk ? 'answered' : answer.error.effect;
    metrics.count('upstreamTries', {outcome});
    span.end(
      answer.isErr ? types.stepError.describeError(answer.error) : undefined,
    );
    return answer;
  };
}
