/**
 * Small HTTP calls over persistent connections. Node's own client needs twice
 * the processor time per call, and undici still more. An error says
 * whether the server may have acted on the call.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as connectionPools from './connection_pool.js';
import type * as ports from './ports.js';
import type * as trafficMeter from './traffic_meter.js';

/** One call. */
export interface HttpCall {
  /** Dotted name for errors, such as `log.append`. */
  readonly step: string;
  readonly method: 'GET' | 'POST';
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /**
   * Timeout of the whole answer, or of its first byte if a timeout between
   * chunks is set as well; milliseconds.
   */
  readonly timeoutMs: number;
  /**
   * Maximum pause between two chunks of an answer, for long answers: a slow
   * link may need longer than the timeout to transfer them, and each chunk
   * shows that the server is alive; milliseconds.
   */
  readonly chunkTimeoutMs?: number;
}

/** An answer of any status. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: Buffer;
  /**
   * Time from the answer's first byte to its end; 0 if absent; milliseconds.
   */
  readonly transferMs?: number;
}

/** Sends calls to one address. */
export interface HttpClient {
  readonly address: string;
  call(call: HttpCall): ports.Answer<HttpAnswer>;
  /** Closes the connections that no call uses; calls in progress go on. */
  closeIdle(): void;
  close(): void;
}

const REQUEST_PATH = /^\/[\x21-\x7e]*$/;
const HEADER_VALUE = /^[\t\x20-\x7e]*$/;

/**
 * Creates a client of `host:port` with a maximum number of connections. Its
 * calls are counted by the meter, if there is one.
 */
export function createHttpClient(
  address: string,
  maxConnections: number,
  meter?: trafficMeter.TrafficMeter,
): HttpClient {
  const [host, port] = splitAddress(address);
  const pool = connectionPools.createConnectionPool(host, port, maxConnections);

  function send(call: HttpCall): Promise<HttpAnswer> {
    return new Promise((resolve, reject) => {
      const message = {head: headOf(call, address), body: call.body};
      let sent = false;
      const {chunkTimeoutMs} = call;
      // Closes the connection with the call, so that a late answer is not taken
      // for the answer to the next call.
      const timer = createAnswerTimer((spanMs) =>
        sending.abort(new Error(`no answer in ${spanMs} ms`)),
      );
      const sending = pool.send(message, {
        onConnected: () => void (sent = true),
        onProgress() {
          if (chunkTimeoutMs !== undefined) timer.restart(chunkTimeoutMs);
        },
        onAnswer({status, body, transferMs}) {
          timer.stop();
          resolve({status, body, transferMs});
        },
        onFailed(err) {
          timer.stop();
          reject(Object.assign(err, {sent}));
        },
      });
      // Only now, as sending throws for an address that is no address.
      timer.restart(call.timeoutMs);
    });
  }

  return {
    address,
    async call(call) {
      const {step} = call;
      const sentBytes = call.path.length + bytesOf(call.body);
      try {
        const answer = await send(call);
        meter?.record({step, sentBytes, receivedBytes: answer.body.length});
        return result.ok(answer);
      } catch (thrown) {
        meter?.record({step, sentBytes, receivedBytes: undefined});
        return result.err(callError(call, address, thrown));
      }
    },
    closeIdle: () => pool.closeIdle(),
    close: () => pool.close(),
  };
}

interface AnswerTimer {
  /** Starts a span in milliseconds, replacing the previous one. */
  restart(spanMs: number): void;
  stop(): void;
}

/**
 * Calls back after a span, but only once all data that arrived until then has
 * been read. In a process that was busy for longer than a timeout, due timers
 * run before pending reads. Without this, healthy workers were considered lost,
 * and tasks that they had just started were stopped.
 */
function createAnswerTimer(onTimeout: (spanMs: number) => void): AnswerTimer {
  let timer: NodeJS.Timeout | undefined;

  function stop(): void {
    clearTimeout(timer);
    timer = undefined;
  }

  return {
    restart(spanMs) {
      stop();
      const current = setTimeout(() => {
        setImmediate(() => {
          if (timer === current) onTimeout(spanMs);
        });
      }, spanMs);
      timer = current;
    },
    stop,
  };
}

function bytesOf(body: HttpCall['body']): number {
  return body === undefined ? 0 : Buffer.byteLength(body);
}

/**
 * Request line and headers of a call. Throws if a part of them would end the
 * head or begin another header.
 */
function headOf(call: HttpCall, address: string): string {
  const {method, path} = call;
  if (!REQUEST_PATH.test(path)) throw new Error(`path = ${path}: invalid`);
  let head = `${method} ${path} HTTP/1.1\r\nHost: ${address}\r\n`;
  for (const [name, value] of Object.entries(headersOf(call))) {
    if (!HEADER_VALUE.test(value))
      throw new Error(`header ${name} = ${value}: invalid`);
    head += `${name}: ${value}\r\n`;
  }
  return `${head}Connection: keep-alive\r\n\r\n`;
}

function headersOf(call: HttpCall): Readonly<Record<string, string>> {
  if (call.body === undefined) return call.headers ?? {};
  return {
    'content-type': 'application/json',
    'content-length': String(bytesOf(call.body)),
    ...call.headers,
  };
}

/** Splits `host:port`. */
export function splitAddress(address: string): [string, number] {
  const colonAt = address.lastIndexOf(':');
  return [address.slice(0, colonAt), Number(address.slice(colonAt + 1))];
}

function errorKindOf(code: string | undefined): types.stepError.StepErrorKind {
  if (code === 'ECONNREFUSED') return 'unreachable';
  return code === 'ECONNRESET' || code === 'EPIPE' ? 'closed' : 'timeout';
}

function callError(
  call: HttpCall,
  peer: string,
  thrown: unknown,
): types.stepError.StepError {
  const {sent = true, code} = thrown as {sent?: boolean; code?: string};
  return types.stepError.createStepError({
    kind: errorKindOf(code),
    step: call.step,
    peer,
    effect: sent ? 'unknown' : 'not_run',
    message: types.stepError.messageOf(thrown),
  });
}

/**
 * Decodes the body of an answer. A truncated or malformed answer, or one of
 * another version, counts as a failed call whose effect is unknown. When the
 * error was thrown instead, it ended the process of every entry that received
 * such an answer.
 */
export function decodeAnswer<Value>(
  step: string,
  peer: string,
  answer: HttpAnswer,
  decode: (body: Buffer) => Value,
): result.Result<Value, types.stepError.StepError> {
  try {
    return result.ok(decode(answer.body));
  } catch (thrown) {
    return result.err(
      types.stepError.createStepError({
        kind: 'invalid',
        step,
        peer,
        effect: 'unknown',
        message: `can't decode an answer of ${answer.body.length} bytes: ${types.stepError.messageOf(thrown)}`,
      }),
    );
  }
}

/** Statuses above 499 by which a server says that it has not acted. */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([503, 507]);

/**
 * Fails with the status of an answer. After a status that is no refusal, such
 * as 500 or 504, the server may have acted on the call.
 */
export function failWithStatus<Value>(
  step: string,
  peer: string,
  {status, body}: HttpAnswer,
): result.Result<Value, types.stepError.StepError> {
  const isRefusal =
    (status >= 400 && status < 500) || REFUSAL_STATUSES.has(status);
  return result.err(
    types.stepError.createStepError({
      kind: isRefusal ? 'refused' : 'invalid',
      step,
      peer,
      effect: isRefusal ? 'not_run' : 'unknown',
      message: `status ${status}: ${body.toString('utf8', 0, 200)}`,
    }),
  );
}
