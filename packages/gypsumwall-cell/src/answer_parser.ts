/**
 * Parses the HTTP/1.1 answers that arrive on one connection, without input or
 * output. It understands what a client that sends only GET and POST and one call
 * at a time needs.
 */

/** Maximum size of an answer's head; bytes. */
const MAX_HEAD_BYTES = 16_384;
const HEAD_END = '\r\n\r\n';
const LINE_END = '\r\n';
const STATUS_LINE = /^HTTP\/1\.([01]) (\d{3})(?: |$)/;
const KEEP_ALIVE_TIMEOUT = /^timeout=(\d+)/;
const CHUNK_SIZE = /^([0-9a-f]+)[ \t]*(?:;|$)/i;
const LENGTH = /^\d+$/;
const MS_PER_SECOND = 1_000;
/**
 * A connection is not used in the last part of the time for which its server
 * keeps it open, as the server might close it meanwhile; milliseconds.
 */
const KEEP_ALIVE_MARGIN_MS = 1_000;

/** A complete answer. */
export interface ParsedAnswer {
  readonly status: number;
  readonly body: Buffer;
  /** Whether the connection can be used for another call. */
  readonly isReusable: boolean;
  /** Time for which it can be used; undefined if the server set no limit. */
  readonly reusableForMs: number | undefined;
}

/** Parses answers one after the other. */
export interface AnswerParser {
  /**
   * Takes the next bytes, which it doesn't keep. Returns the answer once it is
   * complete, and expects the next one from then on; throws if the bytes are not
   * an answer.
   */
  push(bytes: Buffer): ParsedAnswer | undefined;
  /** Whether a part of the body of the current answer has been taken. */
  hasBody(): boolean;
  /**
   * Takes the end of the connection. Returns the answer if that completes it.
   */
  end(): ParsedAnswer | undefined;
}

interface Head {
  readonly status: number;
  readonly body: BodyForm;
  readonly keepsAlive: boolean;
  readonly reusableForMs: number | undefined;
}

/** How the end of the body is found. */
type BodyForm =
  | {readonly type: 'sized'; readonly bytes: number}
  | {readonly type: 'chunked'}
  | {readonly type: 'until_close'};

/** What the next bytes are. */
type State =
  | {readonly type: 'head'}
  | {readonly type: 'sized'; left: number}
  | {readonly type: 'chunk_size'}
  | {readonly type: 'chunk'; left: number}
  | {readonly type: 'chunk_end'}
  | {readonly type: 'trailer'}
  | {readonly type: 'until_close'};

/** Creates a parser that has read nothing. */
export function createAnswerParser(): AnswerParser {
  let state: State = {type: 'head'};
  let head: Head | undefined;
  /** Received bytes that aren't a whole line or head yet. */
  let rest: Buffer | undefined;
  let body: Buffer[] = [];

  /** Moves up to `left` bytes to the body; returns how many these are. */
  function take(bytes: Buffer, left: number): number {
    const taken = bytes.subarray(0, left);
    // The caller reuses the memory of the bytes.
    if (taken.length > 0) body.push(Buffer.from(taken));
    return taken.length;
  }

  /** Length of the line that the bytes begin with; undefined if it has no end. */
  function lineLength(bytes: Buffer, ending: string): number | undefined {
    const length = bytes.indexOf(ending, 0, 'latin1');
    if (
      length > MAX_HEAD_BYTES ||
      (length < 0 && bytes.length > MAX_HEAD_BYTES)
    )
      throw new Error(`over ${MAX_HEAD_BYTES} bytes without an end of line`);
    if (length >= 0) return length;
    rest = Buffer.from(bytes);
    return undefined;
  }

  function complete(isLast: boolean): ParsedAnswer {
    const {status, keepsAlive, reusableForMs} = head!;
    const parts = body;
    state = {type: 'head'};
    body = [];
    return {
      status,
      body: parts.length === 1 ? parts[0]! : Buffer.concat(parts),
      isReusable: keepsAlive && isLast,
      reusableForMs,
    };
  }

  function beginBody(found: Head): void {
    // An interim answer, such as 100, precedes the answer.
    if (found.status < 200) return;
    head = found;
    switch (found.body.type) {
      case 'sized':
        state = {type: 'sized', left: found.body.bytes};
        return;
      case 'chunked':
        state = {type: 'chunk_size'};
        return;
      case 'until_close':
        state = {type: 'until_close'};
        return;
    }
  }

  /**
   * Parses as much as belongs to one state. Returns the number of bytes parsed,
   * the answer, or undefined if more bytes are needed.
   */
  function parse(bytes: Buffer): number | ParsedAnswer | undefined {
    switch (state.type) {
      case 'head': {
        const length = lineLength(bytes, HEAD_END);
        if (length === undefined) return undefined;
        beginBody(parseHead(bytes.toString('latin1', 0, length)));
        return length + HEAD_END.length;
      }
      case 'sized':
        state.left -= take(bytes, state.left);
        if (state.left > 0) return undefined;
        return complete(bytes.length === (body.at(-1)?.length ?? 0));
      case 'chunk_size': {
        const length = lineLength(bytes, LINE_END);
        if (length === undefined) return undefined;
        const left = parseChunkSize(bytes.toString('latin1', 0, length));
        state = left === 0 ? {type: 'trailer'} : {type: 'chunk', left};
        return length + LINE_END.length;
      }
      case 'chunk': {
        const taken = take(bytes, state.left);
        state.left -= taken;
        if (state.left > 0) return undefined;
        state = {type: 'chunk_end'};
        return taken;
      }
      case 'chunk_end': {
        const length = lineLength(bytes, LINE_END);
        if (length === undefined) return undefined;
        if (length > 0) throw new Error('a chunk has the wrong size');
        state = {type: 'chunk_size'};
        return LINE_END.length;
      }
      case 'trailer': {
        const length = lineLength(bytes, LINE_END);
        if (length === undefined) return undefined;
        const parsed = length + LINE_END.length;
        return length > 0 ? parsed : complete(bytes.length === parsed);
      }
      case 'until_close':
        take(bytes, bytes.length);
        return undefined;
    }
  }

  return {
    push(bytes) {
      let unparsed = rest === undefined ? bytes : Buffer.concat([rest, bytes]);
      rest = undefined;
      for (;;) {
        const found = parse(unparsed);
        if (typeof found !== 'number') return found;
        unparsed = unparsed.subarray(found);
      }
    },
    hasBody: () => body.length > 0,
    end: () => (state.type === 'until_close' ? complete(false) : undefined),
  };
}

function parseHead(text: string): Head {
  const lines = text.split(LINE_END);
  const statusLine = STATUS_LINE.exec(lines[0]!);
  if (statusLine === null) throw new Error('the answer has no status line');
  const status = Number(statusLine[2]);
  let length: string | undefined;
  let isChunked = false;
  let connection = '';
  let keepAlive = '';
  for (let nth = 1; nth < lines.length; nth++) {
    const line = lines[nth]!;
    const colonAt = line.indexOf(':');
    const value = line.slice(colonAt + 1).trim();
    switch (line.slice(0, colonAt).toLowerCase()) {
      case 'content-length':
        if (!LENGTH.test(value) || (length !== undefined && length !== value))
          throw new Error(`content-length = ${value}`);
        length = value;
        break;
      case 'transfer-encoding':
        isChunked = value.toLowerCase().endsWith('chunked');
        break;
      case 'connection':
        connection = value.toLowerCase();
        break;
      case 'keep-alive':
        keepAlive = value;
        break;
    }
  }
  const keepsAlive =
    statusLine[1] === '1'
      ? !connection.includes('close')
      : connection.includes('keep-alive');
  return {
    status,
    body: bodyForm(status, isChunked, length),
    keepsAlive,
    reusableForMs: parseKeepAlive(keepAlive),
  };
}

function bodyForm(
  status: number,
  isChunked: boolean,
  length: string | undefined,
): BodyForm {
  if (status === 204 || status === 304) return {type: 'sized', bytes: 0};
  if (isChunked) return {type: 'chunked'};
  if (length === undefined) return {type: 'until_close'};
  return {type: 'sized', bytes: Number(length)};
}

function parseChunkSize(line: string): number {
  const [, digits] = CHUNK_SIZE.exec(line) ?? [];
  const size = Number.parseInt(digits ?? '', 16);
  if (!Number.isSafeInteger(size)) throw new Error('a chunk has no size');
  return size;
}

function parseKeepAlive(value: string): number | undefined {
  const [, seconds] = KEEP_ALIVE_TIMEOUT.exec(value) ?? [];
  if (seconds === undefined) return undefined;
  return Math.max(0, Number(seconds) * MS_PER_SECOND - KEEP_ALIVE_MARGIN_MS);
}
