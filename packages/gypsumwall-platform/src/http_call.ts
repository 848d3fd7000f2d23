/**
 * One JSON call over HTTP by undici, with a deadline and typed errors. Every
 * client of the platform goes through here.
 */
import * as result from 'true-myth/result';
import * as undici from 'undici';
import * as types from '@gypsumwall/types';

/** One call. */
export interface JsonCall {
  /** Dotted name for errors, such as `log.append`. */
  readonly step: string;
  readonly peer: string;
  readonly method: 'GET' | 'POST';
  readonly url: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly dispatcher: undici.Dispatcher;
  readonly signal?: AbortSignal;
}

/** What the other end answers when it refuses. */
interface RefusalBody {
  readonly error?: string;
  readonly message?: string;
  readonly retryAfterMs?: number;
}

/**
 * Errors of undici after which surely no byte of the request was written.
 * Anything else may have reached the other end.
 */
const NEVER_SENT_CODES = new Set([
  'ECONNREFUSED',
  'UND_ERR_CONNECT_TIMEOUT',
  'EHOSTUNREACH',
  'ENETUNREACH',
]);

const REFUSAL_KINDS: Readonly<Record<string, types.stepError.StepErrorKind>> = {
  stale_epoch: 'stale_epoch',
  too_late: 'too_late',
  conflict: 'conflict',
  invalid: 'invalid',
};

/** Does the call; a 2xx answer's body is returned as it was parsed. */
export async function callJson<Value>(
  call: JsonCall,
): Promise<result.Result<Value, types.stepError.StepError>> {
  try {
    const res = await undici.request(call.url, {
      method: call.method,
      dispatcher: call.dispatcher,
      headers: {'content-type': 'application/json'},
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: joinSignals(call),
    });
    const text = await res.body.text();
    if (res.statusCode >= 200 && res.statusCode < 300) {
      return result.ok(parse<Value>(text));
    }
    return result.err(refusal(call, res.statusCode, text));
  } catch (thrown) {
    return result.err(createTransportError(call, thrown));
  }
}

function joinSignals(call: JsonCall): AbortSignal {
  const timeout = AbortSignal.timeout(Math.max(1, call.timeoutMs));
  if (call.signal === undefined) return timeout;
  return AbortSignal.any([timeout, call.signal]);
}

function parse<Value>(text: string): Value {
  return (text === '' ? undefined : JSON.parse(text)) as Value;
}

/** Reads a refusal in the wire form of docs/PLATFORM.md. */
export function refusal(
  call: Pick<JsonCall, 'step' | 'peer'>,
  status: number,
  text: string,
): types.stepError.StepError {
  let body: RefusalBody = {};
  try {
    body = parse<RefusalBody>(text) ?? {};
  } catch {
    body = {message: text.slice(0, 200)};
  }
  return {
    kind: REFUSAL_KINDS[body.error ?? ''] ?? 'refused',
    step: call.step,
    peer: call.peer,
    // A 5xx may be a failure halfway through; a 4xx refuses before any effect.
    effect: status < 500 || body.error === 'not_run' ? 'not_run' : 'unknown',
    message: `status ${status}: ${body.message ?? body.error ?? 'no reason'}`,
    retryAfterMs: body.retryAfterMs,
  };
}

/** Turns what a transport threw into a step error. */
export function createTransportError(
  call: Pick<JsonCall, 'step' | 'peer'>,
  thrown: unknown,
): types.stepError.StepError {
  const code = findErrorCode(thrown);
  const neverSent = NEVER_SENT_CODES.has(code);
  const timedOut = thrown instanceof Error && thrown.name === 'TimeoutError';
  return {
    kind: timedOut ? 'timeout' : neverSent ? 'unreachable' : 'closed',
    step: call.step,
    peer: call.peer,
    effect: neverSent ? 'not_run' : 'unknown',
    message: types.stepError.messageOf(thrown),
  };
}

/** The error code of whatever was thrown, or an empty string. */
export function findErrorCode(thrown: unknown): string {
  if (!(thrown instanceof Error)) return '';
  const code = (thrown as NodeJS.ErrnoException).code;
  if (code !== undefined) return code;
  return thrown.cause === undefined ? '' : findErrorCode(thrown.cause);
}
