/**
 * Client of one upstream over HTTP, with as many connections as this entry's
 * share of the upstream allows. If a request gets no answer before its
 * deadline or before the caller aborts it, its connection is closed; the next
 * request opens a new one.
 */
import * as result from 'true-myth/result';
import type * as undici from 'undici';
import * as types from '@gypsumwall/types';
import * as httpCall from './http_call.js';
import type * as upstream from './upstream.js';
import * as upstreamConnections from './upstream_connections.js';

/** Identity, address and connection limit of one upstream. */
export interface HttpUpstreamOptions {
  readonly id: types.ids.UpstreamId;
  readonly address: string;
  readonly connections: number;
  readonly clock: types.clock.Clock;
}

const STEP = 'upstream.execute';
/** Header by which an upstream states that a refused request did not run. */
const NOT_RUN_HEADER = 'gypsumwall-not-run';
const REQUEST_ID_HEADER = 'gypsumwall-request-id';
/** A longer body of a refusal is discarded; it only serves error messages. */
const MAX_REFUSAL_BYTES = 4_096;
/**
 * An idle connection may be dead, or the upstream may be closing it. A request
 * without an idempotency key can be retried if its connection fails. One with
 * a key would end as `unknown`, so it only reuses a connection that was used
 * within the shorter time.
 */
const MAX_IDLE_MS = 4_000;
const MAX_IDLE_WITH_KEY_MS = 500;

/** Maximum delay of a Node timer; a longer one overflows and fires at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

type Failed = result.Result<never, types.stepError.StepError>;
type Answer = result.Result<upstream.UpstreamAnswer, types.stepError.StepError>;

/** Creates a client of one upstream. */
export function createHttpUpstream(
  options: HttpUpstreamOptions,
): upstream.Upstream {
  const connections = upstreamConnections.createUpstreamConnections({
    address: options.address,
    limit: options.connections,
    clock: options.clock,
  });
  return {
    execute: (req) => execute(options, connections, req),
    setMaxConnections: (wanted) => connections.setLimit(wanted),
    close: () => connections.close(),
  };
}

async function execute(
  options: HttpUpstreamOptions,
  connections: upstreamConnections.UpstreamConnections,
  req: upstream.UpstreamRequest,
): Promise<Answer> {
  const remainingMs = req.deadline - options.clock.monotonic();
  if (remainingMs <= 0 || req.signal?.aborted === true) {
    return fail(
      options,
      'too_late',
      'not_run',
      'the deadline passed or the caller aborted before the request was sent',
    );
  }
  const connection = connections.acquire(
    req.key === undefined ? MAX_IDLE_MS : MAX_IDLE_WITH_KEY_MS,
  );
  if (connection === undefined) {
    return fail(options, 'refused', 'not_run', 'all connections are in use');
  }
  const timeLimit = createTimeLimit(remainingMs, req.signal);
  const finish = () => {
    timeLimit.clear();
    // Whatever made this connection time out may have affected the idle ones
    // as well.
    if (timeLimit.hasTimedOut()) connections.closeIdle();
    connections.release(connection);
  };
  const mayHaveBeenSent = trackSending(connection);
  try {
    const res = await connection.client.request({
      method: 'POST',
      path: `/v1/execute/${encodeURIComponent(req.operation)}`,
      headers: createHeaders(req),
      body: req.body,
      signal: timeLimit.signal,
    });
    res.body.once('close', finish);
    // Without a listener, an error of a body that nobody reads would end the
    // process.
    res.body.on('error', () => undefined);
    return await toAnswer(options, req, res);
  } catch (thrown) {
    finish();
    const errorContext = {step: STEP, peer: options.id};
    const err = httpCall.createTransportError(errorContext, thrown);
    return result.err(mayHaveBeenSent() ? err : {...err, effect: 'not_run'});
  }
}

async function toAnswer(
  options: HttpUpstreamOptions,
  req: upstream.UpstreamRequest,
  res: undici.Dispatcher.ResponseData,
): Promise<Answer> {
  if (res.statusCode !== 200) return await toRefusal(options, res);
  // An answer to another request would disclose another caller's data.
  if (readHeader(res.headers, REQUEST_ID_HEADER) !== req.requestId) {
    res.body.destroy();
    const message = `the answer does not carry this request's ${REQUEST_ID_HEADER}`;
    return fail(options, 'invalid', 'unknown', message);
  }
  const length = readHeader(res.headers, 'content-length');
  // Without a content length or chunked encoding, a truncated answer can't be
  // told from a complete one.
  if (length === undefined && !isChunked(res.headers)) {
    res.body.destroy();
    const message =
      'the answer has neither a content length nor chunked encoding';
    return fail(options, 'truncated', 'unknown', message);
  }
  return result.ok({
    contentType:
      readHeader(res.headers, 'content-type') ?? 'application/octet-stream',
    contentLength: length === undefined ? undefined : Number(length),
    body: res.body,
  });
}

async function toRefusal(
  options: HttpUpstreamOptions,
  res: undici.Dispatcher.ResponseData,
): Promise<Failed> {
  const isProvedNotRun = readHeader(res.headers, NOT_RUN_HEADER) === 'true';
  const text = await readRefusalText(res);
  return fail(
    options,
    'refused',
    isProvedNotRun ? 'not_run' : 'unknown',
    `status ${res.statusCode}: ${text}`,
  );
}

/** Reads the body if it is short; a long or broken body is discarded. */
async function readRefusalText(
  res: undici.Dispatcher.ResponseData,
): Promise<string> {
  const length = Number(readHeader(res.headers, 'content-length'));
  if (!(length <= MAX_REFUSAL_BYTES)) {
    res.body.destroy();
    return '';
  }
  return res.body.text().catch(() => '');
}

function fail(
  options: HttpUpstreamOptions,
  kind: types.stepError.StepErrorKind,
  effect: types.stepError.Effect,
  message: string,
): Failed {
  return result.err({kind, effect, message, step: STEP, peer: options.id});
}

function createHeaders(req: upstream.UpstreamRequest): Record<string, string> {
  return {
    'content-type': 'application/octet-stream',
    [REQUEST_ID_HEADER]: req.requestId,
    'gypsumwall-team': req.team,
    ...(req.key === undefined ? {} : {'idempotency-key': req.key}),
    ...(req.traceparent === undefined ? {} : {traceparent: req.traceparent}),
  };
}

type Headers = undici.Dispatcher.ResponseData['headers'];

function readHeader(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function isChunked(headers: Headers): boolean {
  return readHeader(headers, 'transfer-encoding')?.endsWith('chunked') ?? false;
}

/**
 * Returns a function that reports whether the request may have been written.
 * It can't have been if the connection was closed when the request was queued
 * and has not been opened since.
 */
function trackSending(
  connection: upstreamConnections.UpstreamConnection,
): () => boolean {
  const wasConnected = connection.client.stats.connected;
  const connectCountBefore = connection.connectCount;
  return () => wasConnected || connection.connectCount > connectCountBefore;
}

/** Combines a deadline and the caller's abort signal into one signal. */
interface TimeLimit {
  readonly signal: AbortSignal;
  /** Whether the signal aborted with a timeout, here or from the caller. */
  hasTimedOut(): boolean;
  clear(): void;
}

function createTimeLimit(
  spanMs: number,
  callerSignal: AbortSignal | undefined,
): TimeLimit {
  const controller = new AbortController();
  const expire = () =>
    controller.abort(
      new DOMException('no answer before the deadline', 'TimeoutError'),
    );
  const timer = setTimeout(expire, Math.min(spanMs, MAX_TIMER_MS));
  const onCallerAbort = () => controller.abort(callerSignal?.reason);
  callerSignal?.addEventListener('abort', onCallerAbort, {once: true});
  return {
    signal: controller.signal,
    hasTimedOut: () => isTimeout(controller.signal.reason),
    clear: () => {
      clearTimeout(timer);
      callerSignal?.removeEventListener('abort', onCallerAbort);
    },
  };
}

function isTimeout(reason: unknown): boolean {
  return reason instanceof Error && reason.name === 'TimeoutError';
}
