/**
 * Sends one JSON request over HTTP with undici, with a timeout and typed
 * errors. All clients of the platform's log, instance list and workers use
 * these errors.
 */
import * as result from 'true-myth/result';
import * as undici from 'undici';
import * as types from '@gypsumwall/types';

/** One HTTP call with JSON bodies. */
export interface JsonCall {
  /** Dotted name of the step for errors, such as `log.append`. */
  readonly step: string;
  readonly peer: string;
  readonly method: 'GET' | 'POST';
  readonly url: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
  readonly dispatcher: undici.Dispatcher;
  readonly signal?: AbortSignal;
}

/** Body of an answer whose status is not 2xx. */
interface RefusalBody {
  readonly error?: string;
  readonly message?: string;
  readonly retryAfterMs?: number;
}

/**
 * Error codes of undici and Node that prove that no byte of the request was
 * written. After any other error the request may have reached the server.
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

/** Sends the request; the parsed body of a 2xx answer is not validated. */
export async function callJson<Value>(
  call: JsonCall,
): Promise<result.Result<Value, types.stepError.StepError>> {
  try {
    const res = await undici.request(call.url, {
      method: call.method,
      dispatcher: call.dispatcher,
      headers: {'content-type': 'application/json'},
      body: call.body === undefined ? null : JSON.stringify(call.body),
      signal: combineSignals(call),
    });
    const text = await res.body.text();
    if (res.statusCode >= 200 && res.statusCode < 300) {
      return result.ok(parseBody<Value>(text));
    }
    return result.err(createRefusalError(call, res.statusCode, text));
  } catch (thrown) {
    return result.err(createTransportError(call, thrown));
  }
}

function combineSignals(call: JsonCall): AbortSignal {
  const timeout = AbortSignal.timeout(Math.max(1, call.timeoutMs));
  if (call.signal === undefined) return timeout;
  return AbortSignal.any([timeout, call.signal]);
}

function parseBody<Value>(text: string): Value {
  return (text === '' ? undefined : JSON.parse(text)) as Value;
}

/** Creates the error for a refusal in the wire format of docs/PLATFORM.md. */
export function createRefusalError(
  call: Pick<JsonCall, 'step' | 'peer'>,
  status: number,
  text: string,
): types.stepError.StepError {
  let body: RefusalBody = {};
  try {
    body = parseBody<RefusalBody>(text) ?? {};
  } catch {
    body = {message: text.slice(0, 200)};
  }
  return {
    kind: REFUSAL_KINDS[body.error ?? ''] ?? 'refused',
    step: call.step,
    peer: call.peer,
    // A 5xx may have failed partway through; a 4xx was refused before it had
    // any effect.
    effect: status < 500 || body.error === 'not_run' ? 'not_run' : 'unknown',
    message: `status ${status}: ${body.message ?? body.error ?? 'no reason given'}`,
    retryAfterMs: body.retryAfterMs,
  };
}

/** Creates the step error for an exception thrown by the HTTP client. */
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

/** Error code of a thrown value or of its cause; empty if there is none. */
export function findErrorCode(thrown: unknown): string {
  if (!(thrown instanceof Error)) return '';
  const code = (thrown as NodeJS.ErrnoException).code;
  if (code !== undefined) return code;
  return thrown.cause === undefined ? '' : findErrorCode(thrown.cause);
}
