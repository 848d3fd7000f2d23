/** One upstream over HTTP, with as many connections as its share allows. */
import * as stream from 'node:stream';
import * as result from 'true-myth/result';
import * as undici from 'undici';
import * as types from '@gypsumwall/types';
import * as httpCall from './http_call.js';
import type * as upstream from './upstream.js';

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

/** Makes a client of one upstream. */
export function createHttpUpstream(
  options: HttpUpstreamOptions,
): upstream.Upstream {
  let pool = makePool(options.address, options.connections);
  let connections = options.connections;
  return {
    execute: (req) => execute(options, pool, req),
    setConnections: (wanted) => {
      if (wanted === connections) return;
      connections = wanted;
      // The old pool finishes what it carries and then closes.
      void pool.close().catch(() => undefined);
      pool = makePool(options.address, wanted);
    },
    close: () => pool.close(),
  };
}

function makePool(address: string, connections: number): undici.Pool {
  return new undici.Pool(address, {
    connections: Math.max(1, connections),
    pipelining: 1,
  });
}

type Answer = Promise<
  result.Result<upstream.UpstreamAnswer, types.stepError.StepError>
>;

async function execute(
  options: HttpUpstreamOptions,
  pool: undici.Pool,
  req: upstream.UpstreamRequest,
): Answer {
  const where = {step: STEP, peer: options.id};
  const spanMs = req.deadline - options.clock.monotonic();
  const timeout = AbortSignal.timeout(Math.max(1, Math.floor(spanMs)));
  const signal =
    req.signal === undefined ? timeout : AbortSignal.any([timeout, req.signal]);
  try {
    const res = await pool.request({
      method: 'POST',
      path: `/v1/execute/${encodeURIComponent(req.operation)}`,
      headers: headersOf(req),
      body: req.body,
      signal,
    });
    if (res.statusCode !== 200) return await refused(options, res);
    if (headerOf(res.headers, REQUEST_ID_HEADER) !== req.requestId) {
      discard(res.body);
      return result.err(crossedAnswer(options));
    }
    return result.ok(wholeAnswer(res));
  } catch (thrown) {
    return result.err(httpCall.transportError(where, thrown));
  }
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

function headerOf(
  headers: undici.Dispatcher.ResponseData['headers'],
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

async function refused(
  options: HttpUpstreamOptions,
  res: undici.Dispatcher.ResponseData,
): Answer {
  const text = await res.body.text();
  const proved = headerOf(res.headers, NOT_RUN_HEADER) === 'true';
  return result.err({
    kind: 'refused',
    step: STEP,
    peer: options.id,
    effect: proved ? 'not_run' : 'unknown',
    message: `status ${res.statusCode}: ${text.slice(0, 200)}`,
  });
}

/**
 * Breaks an answer off. Its stream then fails, and a failure that nobody
 * listens for would end the whole process.
 */
function discard(body: stream.Readable): void {
  body.on('error', () => undefined);
  body.destroy();
}

/**
 * An answer that carries another request's id would tell one caller what
 * another asked. The request itself may have run.
 */
function crossedAnswer(
  options: HttpUpstreamOptions,
): types.stepError.StepError {
  return {
    kind: 'invalid',
    step: STEP,
    peer: options.id,
    effect: 'unknown',
    message: `the answer does not carry this request's ${REQUEST_ID_HEADER}`,
  };
}

function wholeAnswer(
  res: undici.Dispatcher.ResponseData,
): upstream.UpstreamAnswer {
  const declared = headerOf(res.headers, 'content-length');
  const body = new stream.PassThrough();
  // A body that breaks off fails the stream instead of just ending it.
  stream.pipeline(res.body, body, () => undefined);
  return {
    contentType:
      headerOf(res.headers, 'content-type') ?? 'application/octet-stream',
    contentLength: declared === undefined ? undefined : Number(declared),
    body,
  };
}
