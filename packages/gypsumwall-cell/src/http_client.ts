/**
 * Small HTTP calls over kept connections, on Node's own client: on instances
 * of this size undici costs 1.4 times its processor time a call and 100 ms and
 * 8 MB to load. An error tells whether the other end may have acted.
 */
import * as http from 'node:http';
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';

/** One call. */
export interface HttpCall {
  /** Dotted name for errors, such as `log.append`. */
  readonly step: string;
  readonly method: 'GET' | 'POST';
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  /** For the whole answer, or until it begins where `pieceTimeoutMs` is set. */
  readonly timeoutMs: number;
  /**
   * The longest pause between two pieces of an answer. For long ones: a link
   * may need longer for them than an answer is waited for, and one that still
   * arrives shows that the other end lives.
   */
  readonly chunkTimeoutMs?: number;
}

/** An answer, whatever its status. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** Calls to one address. */
export interface HttpClient {
  readonly address: string;
  call(call: HttpCall): ports.Answer<HttpAnswer>;
  close(): void;
}

/** Probes of idle connections: some go silent without a reset; milliseconds. */
const KEEP_ALIVE_PROBE_MS = 1_000;

/** Creates a client of `host:port` with at most so many connections. */
export function createHttpClient(
  address: string,
  maxConnections: number,
): HttpClient {
  const [host, port] = splitAddress(address);
  const agent = new http.Agent({
    keepAlive: true,
    keepAliveMsecs: KEEP_ALIVE_PROBE_MS,
    maxSockets: maxConnections,
    scheduling: 'lifo',
  });

  function send(call: HttpCall): Promise<HttpAnswer> {
    return new Promise((resolve, reject) => {
      const req = http.request({
        agent,
        host,
        port,
        method: call.method,
        path: call.path,
        headers: headersOf(call),
      });
      let sent = false;
      // The connection goes with the call: its late answer must not be taken
      // for the next one's.
      const timer = createAnswerTimer((spanMs) =>
        req.destroy(new Error(`no answer in ${spanMs} ms`)),
      );
      timer.restart(call.timeoutMs);
      const fail = (err: Error) => {
        timer.stop();
        reject(Object.assign(err, {sent}));
      };
      req.on('socket', (socket) => {
        if (!socket.connecting) sent = true;
        else socket.once('connect', () => (sent = true));
      });
      req.on('error', fail);
      const {chunkTimeoutMs: pieceTimeoutMs} = call;
      req.on('response', (res) => {
        const chunks: Buffer[] = [];
        res.on('data', (chunk: Buffer) => {
          chunks.push(chunk);
          if (pieceTimeoutMs !== undefined) timer.restart(pieceTimeoutMs);
        });
        res.on('error', fail);
        res.on('aborted', () => fail(new Error('the answer broke off')));
        res.on('end', () => {
          timer.stop();
          const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
          resolve({status: res.statusCode ?? 0, body});
        });
      });
      req.end(call.body);
    });
  }

  return {
    address,
    async call(call) {
      try {
        return result.ok(await send(call));
      } catch (thrown) {
        return result.err(callError(call, address, thrown));
      }
    },
    close: () => agent.destroy(),
  };
}

interface AnswerTimer {
  /** Begins a span, in milliseconds, that ends the one before. */
  restart(spanMs: number): void;
  stop(): void;
}

/**
 * Calls once a span is up and all that has arrived until then is read. A
 * process that was busy for longer finds its timers due before it reads: it
 * took sound workers for lost, and stopped tasks that they had just started.
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

function headersOf(call: HttpCall): http.OutgoingHttpHeaders {
  if (call.body === undefined) return {...call.headers};
  const length = Buffer.byteLength(call.body);
  return {
    'content-type': 'application/json',
    'content-length': length,
    ...call.headers,
  };
}

/** Splits `host:port`. */
export function splitAddress(address: string): [string, number] {
  const cut = address.lastIndexOf(':');
  return [address.slice(0, cut), Number(address.slice(cut + 1))];
}

function callError(
  call: HttpCall,
  peer: string,
  thrown: unknown,
): types.stepError.StepError {
  const {sent = true, code} = thrown as {sent?: boolean; code?: string};
  const refused = code === 'ECONNREFUSED';
  return types.stepError.createStepError({
    kind: refused ? 'unreachable' : 'timeout',
    step: call.step,
    peer,
    effect: sent ? 'unknown' : 'not_run',
    message: types.stepError.messageOf(thrown),
  });
}

/**
 * Reads an answer. One that was cut short or garbled, or is of another version,
 * is a failed call: it says nothing of what was done. Thrown where it is read,
 * it ended the process of every entry that met one.
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
        message: `an answer of ${answer.body.length} bytes: ${types.stepError.messageOf(thrown)}`,
      }),
    );
  }
}

/** The error of an answer whose status says that nothing was done. */
export function refusalError(
  step: string,
  peer: string,
  answer: HttpAnswer,
): types.stepError.StepError {
  return types.stepError.createStepError({
    kind: 'refused',
    step,
    peer,
    effect: 'not_run',
    message: `status ${answer.status}: ${answer.body.toString('utf8', 0, 200)}`,
  });
}
