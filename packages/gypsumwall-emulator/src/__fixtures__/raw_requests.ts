/** Bytes of requests as clients send them that ignore the usual forms. */
import * as crowdRun from './crowd_run.js';

const {host, pathPrefix} = crowdRun.QUEUE;
const CRLF = '\r\n';

/** Id of the job of a client's request, which nobody else names. */
export function jobIdOf(nth: number): string {
  return nth.toString(16).padStart(16, 'b');
}

/** The head of a submission, up to the empty line. */
export function encodeHead(nth: number, fields: readonly string[]): Buffer {
  const lines = [
    `POST ${pathPrefix}${jobIdOf(nth)} HTTP/1.1`,
    `Host: ${host}`,
    'Content-Type: application/json',
    ...fields,
  ];
  return Buffer.from(lines.join(CRLF) + CRLF + CRLF);
}

/** A chunk of a chunked body. */
export function encodeChunk(bytes: number): Buffer {
  const head = bytes.toString(16) + CRLF;
  return Buffer.from(head + 'a'.repeat(bytes) + CRLF);
}

/** Many chunks of the same size in one buffer. */
export function encodeChunks(bytes: number, count: number): Buffer {
  const chunk = encodeChunk(bytes);
  return Buffer.concat(Array.from({length: count}, () => chunk));
}

/** A request for the number of pending jobs. */
export function encodeGet(fields: readonly string[]): Buffer {
  const lines = [`GET ${pathPrefix} HTTP/1.1`, ...fields];
  return Buffer.from(lines.join(CRLF) + CRLF + CRLF);
}

/** A submission that is sent as a whole. */
export function encodeSubmission(nth: number, bytes: number): Buffer {
  const start = '{"spec":"';
  const end = '","phases":[{"count":1,"cpu":100,"memMb":10,"estimateMs":50}]}';
  const payload = 'a'.repeat(bytes - start.length - end.length);
  const head = encodeHead(nth, [`Content-Length: ${bytes}`]);
  return Buffer.concat([head, Buffer.from(start + payload + end)]);
}

/** Repeats a piece. */
export function* repeat(piece: Buffer, count: number): Iterable<Buffer> {
  for (let nth = 0; nth < count; nth++) yield piece;
}
