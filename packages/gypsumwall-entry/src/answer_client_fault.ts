/**
 * Answers callers whose HTTP is malformed or arrives too slowly. Routes are
 * called only once the whole body has arrived, so it is certain that nothing
 * ran.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as problem from './problem.js';

const BAD_REQUEST = 400;

/** Status for error codes of Node's parser; all other codes get 400. */
const STATUS_OF_CODE: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};

const DETAIL_OF_STATUS: Readonly<Record<number, string>> = {
  408: 'the call arrived too slowly: send headers and body without pauses',
  431: 'the headers of the call are too large: send fewer or shorter headers',
};

/** Writes an error answer to the socket and closes it. */
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
    DETAIL_OF_STATUS[status] ??
    `the call is not valid HTTP/1.1: ${err.message}`;
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
 * Whether an earlier, complete call on this connection has no answer yet.
 * Failure: invalid bytes follow that call. Symptom: the caller takes our
 * `not_run` for the answer to that call, which runs. Closing the connection
 * instead leaves the caller with `unknown`.
 */
function isServing(socket: net.Socket): boolean {
  // Node stores the response in progress in this private field.
  const {_httpMessage: answer} = socket as net.Socket & {
    readonly _httpMessage?: http.ServerResponse | null;
  };
  if (answer === undefined || answer === null) return false;
  return answer.headersSent || answer.req.complete;
}
