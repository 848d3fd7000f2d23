/** Answers to requests that are not handed to a handler. */
import type * as http from 'node:http';

const CONTINUE_PATTERN = /(?:^|\W)100-continue(?:$|\W)/i;
/** Retry-After of a request that was given up before it was begun. */
const RETRY_AFTER_S = '1';

/** Whether a request expects what this server offers, if anything. */
export function isExpectationKnown({headers}: http.IncomingMessage): boolean {
  const {expect} = headers;
  return expect === undefined || CONTINUE_PATTERN.test(expect);
}

/** Hands a request to its handler, unless its headers rule it out. */
export function beginOrRefuse(
  handle: http.RequestListener,
  req: http.IncomingMessage,
  res: http.ServerResponse,
): void {
  if (req.headers.host === undefined && req.httpVersion === '1.1') {
    res.writeHead(400, {connection: 'close'}).end();
    return;
  }
  if (!isExpectationKnown(req)) {
    res.writeHead(417, {connection: 'close'}).end();
    return;
  }
  handle(req, res);
}

/** Refuses a request that was not begun; it has had no effect. */
export function refuseForNow(res: http.ServerResponse): void {
  const message =
    'the call had no effect; retry after the delay in retry-after';
  sendAndClose(res, 503, {'retry-after': RETRY_AFTER_S}, {message});
}

/** Refuses a request whose body is over the limit, in bytes. */
export function refuseBody(
  res: http.ServerResponse,
  fault: string,
  limit: number,
): void {
  const message = `${fault}: send at most ${limit}`;
  sendAndClose(res, 413, {}, {message});
}

/** Sends an answer behind those before it, and closes the connection then. */
function sendAndClose(
  res: http.ServerResponse,
  status: number,
  headers: Readonly<Record<string, string>>,
  body: object,
): void {
  res.writeHead(status, {
    ...headers,
    'content-type': 'application/json',
    connection: 'close',
  });
  res.end(JSON.stringify(body));
}
