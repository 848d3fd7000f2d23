/**
 * One upstream over HTTP, with as many connections as its share allows. A
 * request that is silent until its deadline (or until its caller gives up on
 * it) takes its connection with it; the next request opens a new one.
 */
import * as result from 'true-myth/result';
import type * as undici from 'undici';
import * as types from '@gypsumwall/types';
import * as httpCall from './http_call.js';
import type * as upstream from './upstream.js';
import * as upstreamConnections from './upstream_connections.js';

/** Which upstream, and how to reach it. */
export interface HttpUpstreamOptions {
  readonly id: types.ids.UpstreamId;
  readonly address: string;
  readonly connections: number;
  readonly clock: types.clock.Clock;
}

const STEP = 'upstream.execute';
/** The upstream's own word that a refused request did not run. */
const NOT_RUN_HEADER = 'gypsumwall-not-run';
const REQUEST_ID_HEADER = 'gypsumwall-request-id';
/** A refusal's text is for people; a longer one is not read. */
const MAX_REFUSAL_BYTES = 4_096;
/**
 * An idle connection may have gone silent or be closing at the other end. A
 * request that may be repeated can find that out; one with a key would end
 * `unknown`, so it takes only a connection that was used just now.
 */
const MAX_IDLE_MS = 4_000;
const MAX_IDLE_WITH_KEY_MS = 500;

/** Timers above this many milliseconds overflow in Node and fire at once. */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

type Failed = result.Result<never, types.stepError.StepError>;
type Answer = result.Result<upstream.UpstreamAnswer, types.stepError.StepError>;

/** Makes a client of one upstream. */
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
  const spanMs = req.deadline - options.clock.monotonic();
  if (spanMs <= 0 || req.signal?.aborted === true) {
    return fail(options, 'too_late', 'not_run', 'too late to be sent');
  }
  const connection = connections.take(
    req.key === undefined ? MAX_IDLE_MS : MAX_IDLE_WITH_KEY_MS,
  );
  if (connection === undefined) {
    return fail(options, 'refused', 'not_run', 'all connections are in use');
  }
  const limit = createTimeLimit(spanMs, req.signal);
  const end = () => {
    limit.clear();
    // What silenced one connection may have silenced those beside it.
    if (limit.timedOut()) connections.dropIdle();
    connections.giveBack(connection);
  };
  const sent = watchForSending(connection);
  try {
    const res = await connection.client.request({
      method: 'POST',
      path: `/v1/execute/${encodeURIComponent(req.operation)}`,
      headers: headersOf(req),
      body: req.body,
      signal: limit.signal,
    });
    res.body.once('close', end);
    // An unread body that breaks off must not end the process.
    res.body.on('error', () => undefined);
    return await answerOf(options, req, res);
  } catch (thrown) {
    end();
    const where = {step: STEP, peer: options.id};
    const err = httpCall.createTransportError(where, thrown);
    return result.err(sent() ? err : {...err, effect: 'not_run'});
  }
}

async function answerOf(
  options: HttpUpstreamOptions,
  req: upstream.UpstreamRequest,
  res: undici.Dispatcher.ResponseData,
): Promise<Answer> {
  if (res.statusCode !== 200) return await refused(options, res);
  // Another request's answer would tell one caller what another asked.
  if (headerOf(res.headers, REQUEST_ID_HEADER) !== req.requestId) {
    res.body.destroy();
    const message = `the answer does not carry this request's ${REQUEST_ID_HEADER}`;
    return fail(options, 'invalid', 'unknown', message);
  }
  const length = headerOf(res.headers, 'content-length');
  // Without a length or an end mark, a half looks the same as the whole.
  if (length === undefined && !isChunked(res.headers)) {
    res.body.destroy();
    const message = 'the answer has neither a length nor an end mark';
    return fail(options, 'truncated', 'unknown', message);
  }
  return result.ok({
    contentType:
      headerOf(res.headers, 'content-type') ?? 'application/octet-stream',
    contentLength: length === undefined ? undefined : Number(length),
    body: res.body,
  });
}

async function refused(
  options: HttpUpstreamOptions,
  res: undici.Dispatcher.ResponseData,
): Promise<Failed> {
  const proved = headerOf(res.headers, NOT_RUN_HEADER) === 'true';
  const text = await readShort(res);
  return fail(
    options,
    'refused',
    proved ? 'not_run' : 'unknown',
    `status ${res.statusCode}: ${text}`,
  );
}

/** The body where it is short; a long or broken one is thrown away. */
async function readShort(res: undici.Dispatcher.ResponseData): Promise<string> {
  const length = Number(headerOf(res.headers, 'content-length'));
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

function headersOf(req: upstream.UpstreamRequest): Record<string, string> {
  return {
    'content-type': 'application/octet-stream',
    [REQUEST_ID_HEADER]: req.requestId,
    'gypsumwall-team': req.team,
    ...(req.key === undefined ? {} : {'idempotency-key': req.key}),
    ...(req.traceparent === undefined ? {} : {traceparent: req.traceparent}),
  };
}

type Headers = undici.Dispatcher.ResponseData['headers'];

function headerOf(headers: Headers, name: string): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function isChunked(headers: Headers): boolean {
  return headerOf(headers, 'transfer-encoding')?.endsWith('chunked') ?? false;
}

/**
 * Tells whether the request may have been written: it can't have been while
 * the connection was never open since it was handed the request.
 */
function watchForSending(
  connection: upstreamConnections.UpstreamConnection,
): () => boolean {
  const wasOpen = connection.client.stats.connected;
  const before = connection.opened;
  return () => wasOpen || connection.opened > before;
}

/** A deadline and a caller's signal as one signal. */
interface TimeLimit {
  readonly signal: AbortSignal;
  /** Whether it ended for want of an answer, not because the caller left. */
  timedOut(): boolean;
  clear(): void;
}

function createTimeLimit(
  spanMs: number,
  outer: AbortSignal | undefined,
): TimeLimit {
  const inner = new AbortController();
  const expire = () =>
    inner.abort(new DOMException('no answer in time', 'TimeoutError'));
  const timer = setTimeout(expire, Math.min(spanMs, LONGEST_TIMER_MS));
  const leave = () => inner.abort(outer?.reason);
  outer?.addEventListener('abort', leave, {once: true});
  return {
    signal: inner.signal,
    timedOut: () => isTimeout(inner.signal.reason),
    clear: () => {
      clearTimeout(timer);
      outer?.removeEventListener('abort', leave);
    },
  };
}

function isTimeout(reason: unknown): boolean {
  return reason instanceof Error && reason.name === 'TimeoutError';
}
