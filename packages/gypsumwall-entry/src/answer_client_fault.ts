/**
 * Answers callers whose HTTP can't be read or comes too slowly. A route sees a
 * call only once its body is there, so it is proved that nothing ran.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as problem from './problem.js';

const BAD_REQUEST = 400;

/** Status by the code of Node's parser; all others are a bad request. */
const STATUS_OF_CODE: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};

const DETAIL_OF_STATUS: Readonly<Record<number, string>> = {
  408: 'the call came too slowly: send its head and body in one go',
  431: 'the head of the call is too large: send fewer or shorter headers',
};

/** Writes the answer onto the socket and closes it. */
export function answerClientFault(
  err: Error & {readonly code?: string},
  socket: net.Socket,
): void {
  if (err.code === 'ECONNRESET' || !socket.writable || isServing(socket)) {
    socket.destroy();
    return;
  }
  const status = STATUS_OF_CODE[err.code ?? ''] ?? BAD_REQUEST;
  const detail =
    DETAIL_OF_STATUS[status] ?? `the call is no HTTP/1.1: ${err.message}`;
  const refusal = {...problem.notRun('invalid', detail), status};
  const body = JSON.stringify(problem.toBody(refusal));
  socket.end(
    [
      `HTTP/1.1 ${status} ${http.STATUS_CODES[status]}`,
      'content-type: application/problem+json',
      'gypsumwall-outcome: not_run',
      `content-length: ${Buffer.byteLength(body)}`,
      'connection: close',
      '',
      body,
    ].join('\r\n'),
  );
}

/**
 * Whether a call that came whole before on this connection has no answer yet.
 * Failure: garbage follows it. Symptom: the caller reads our `not_run` as the
 * answer to that call, which runs. A connection that is cut says `unknown`.
 */
function isServing(socket: net.Socket): boolean {
  // Node keeps the answer under way here; it has no public name.
  const {_httpMessage: answer} = socket as net.Socket & {
    readonly _httpMessage?: http.ServerResponse | null;
  };
  if (answer === undefined || answer === null) return false;
  return answer.headersSent || answer.req.complete;
}
