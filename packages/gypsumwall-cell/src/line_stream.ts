/**
 * A stream of lines in both directions over one HTTP request, whose body and
 * answer stay open. A line costs a fraction of the processor time of a call.
 */
import * as http from 'node:http';
import type * as stream from 'node:stream';
import * as types from '@gypsumwall/types';
import * as httpClient from './http_client.js';

/** Media type of the request and its answer: JSON texts, one in each line. */
export const LINES_TYPE = 'application/x-ndjson';

/** Timeout of the start of the answer; milliseconds. */
const OPEN_TIMEOUT_MS = 500;

/** What happens on a stream. */
export interface LineStreamEvents {
  /** The server has accepted the stream, with the media type of its answer. */
  readonly onOpen: (mediaType: string | undefined) => void;
  readonly onLine: (line: string) => void;
  /** Called once, at the end of the stream or if it can't be opened. */
  readonly onClosed: (err: types.stepError.StepError) => void;
}

/** The client's end of a stream. */
export interface LineStream {
  write(line: string): void;
  close(reason: string): void;
}

/** Opens a stream to `host:port`; accepts answers of a media type. */
export function openLineStream(
  address: string,
  path: string,
  accepted: string,
  events: LineStreamEvents,
): LineStream {
  const [host, port] = httpClient.splitAddress(address);
  const req = http.request({
    agent: false,
    host,
    port,
    path,
    method: 'POST',
    headers: {'content-type': LINES_TYPE, accept: accepted},
  });
  let isClosed = false;

  function close(reason: string): void {
    if (isClosed) return;
    isClosed = true;
    clearTimeout(opening);
    req.destroy();
    events.onClosed(
      types.stepError.createStepError({
        kind: 'unreachable',
        step: `peer.stream ${path}`,
        peer: address,
        effect: 'unknown',
        message: reason,
      }),
    );
  }

  const opening = setTimeout(
    () => close(`no answer in ${OPEN_TIMEOUT_MS} ms`),
    OPEN_TIMEOUT_MS,
  );
  req.on('error', (err) => close(err.message));
  req.on('response', (res) => {
    if (res.statusCode !== 200) {
      close(`status ${res.statusCode}`);
      return;
    }
    clearTimeout(opening);
    events.onOpen(res.headers['content-type']);
    readLines(res, events.onLine);
    res.on('close', () => close('the peer closed the stream'));
  });
  req.setNoDelay(true);
  req.flushHeaders();
  return {
    write(line) {
      if (!isClosed) req.write(`${line}\n`);
    },
    close,
  };
}

/** Passes on each complete line of a readable stream. */
export function readLines(
  source: stream.Readable,
  onLine: (line: string) => void,
): void {
  let rest = '';
  source.setEncoding('utf8');
  source.on('data', (chunk: string) => {
    const lines = (rest + chunk).split('\n');
    rest = lines.pop()!;
    for (const line of lines) onLine(line);
  });
}
