/**
 * One persistent connection of an HTTP client, which carries one call at a time.
 * Reads bypass Node's streams, and all connections share one buffer for them.
 */
import * as net from 'node:net';
import * as answerParsers from './answer_parser.js';

/**
 * Interval of keep-alive probes on idle connections, some of which fail without
 * a reset; milliseconds.
 */
const KEEP_ALIVE_PROBE_MS = 1_000;
/** Maximum number of bytes that one read returns. */
const READ_BUFFER_BYTES = 65_536;

/** Each read is parsed before the next one, so one buffer is enough. */
const readBuffer = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);

/** A request as it is sent. */
export interface Message {
  /** Request line and headers with the empty line at their end. */
  readonly head: string;
  readonly body: string | Buffer | undefined;
}

/** An answer and how long it was transferred. */
export interface ReceivedAnswer extends answerParsers.ParsedAnswer {
  /** Time from the first bytes of the body to its end; milliseconds. */
  readonly transferMs: number;
}

/** Receives what happens to a call; it ends with an answer or a failure. */
export interface CallHandlers {
  /** From now on the server may receive the call. */
  readonly onConnected: () => void;
  /** A part of the answer's body has arrived. */
  readonly onProgress: () => void;
  readonly onAnswer: (answer: ReceivedAnswer) => void;
  readonly onFailed: (err: Error) => void;
}

/** A connection that is being opened or is open. */
export interface HttpConnection {
  /** Sends a call; the connection must carry none. */
  send(message: Message, handlers: CallHandlers): void;
  /** Whether the server expects another call on it. */
  isReusable(): boolean;
  /** Closes the connection; a call in progress fails with the error. */
  close(err: Error): void;
}

/** Receives the changes of a connection. */
export interface ConnectionListener {
  /** A call was answered, and the connection can carry another one. */
  onIdle(connection: HttpConnection): void;
  /** The connection can't be used any more; called once. */
  onClosed(connection: HttpConnection): void;
}

/** Opens a connection. */
export function openHttpConnection(
  host: string,
  port: number,
  listener: ConnectionListener,
): HttpConnection {
  const parser = answerParsers.createAnswerParser();
  let call: CallHandlers | undefined;
  let isConnected = false;
  let isClosed = false;
  /** When the first bytes of the body arrived, if they were not all. */
  let begunAt: number | undefined;
  /** On the clock of `performance.now`. */
  let reusableUntil = Infinity;

  const socket = net.connect({
    host,
    port,
    noDelay: true,
    keepAlive: true,
    keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
    onread: {
      buffer: readBuffer,
      callback(length) {
        onBytes(readBuffer.subarray(0, length));
        return true;
      },
    },
  });

  const connection: HttpConnection = {
    send({head, body}, handlers) {
      call = handlers;
      begunAt = undefined;
      socket.ref();
      if (isConnected) handlers.onConnected();
      if (typeof body !== 'object') {
        socket.write(body === undefined ? head : head + body);
        return;
      }
      socket.cork();
      socket.write(head);
      socket.write(body);
      socket.uncork();
    },
    isReusable: () =>
      reusableUntil === Infinity || performance.now() < reusableUntil,
    close,
  };

  function close(err: Error): void {
    if (isClosed) return;
    isClosed = true;
    const failed = call;
    call = undefined;
    socket.destroy();
    listener.onClosed(connection);
    failed?.onFailed(err);
  }

  function onBytes(bytes: Buffer): void {
    if (isClosed) return;
    if (call === undefined) {
      close(new Error('the server sent bytes without a call'));
      return;
    }
    let answer: answerParsers.ParsedAnswer | undefined;
    try {
      answer = parser.push(bytes);
    } catch (thrown) {
      close(thrown as Error);
      return;
    }
    if (answer !== undefined) {
      onAnswer(call, answer);
      return;
    }
    // A head may come long before its body, as that of a held back answer does.
    if (!parser.hasBody()) return;
    begunAt ??= performance.now();
    call.onProgress();
  }

  function onAnswer(
    {onAnswer: pass}: CallHandlers,
    answer: answerParsers.ParsedAnswer,
  ): void {
    call = undefined;
    const now = performance.now();
    // After an early answer the next call would wait behind the unsent rest of
    // this one, which the server may never read.
    if (answer.isReusable && socket.writableLength === 0) {
      reusableUntil = now + (answer.reusableForMs ?? Infinity);
      socket.unref();
      listener.onIdle(connection);
    } else {
      close(new Error('the connection is not kept open'));
    }
    pass({...answer, transferMs: begunAt === undefined ? 0 : now - begunAt});
  }

  function onEnd(): void {
    const answer = isClosed ? undefined : parser.end();
    if (call !== undefined && answer !== undefined) onAnswer(call, answer);
    const err = new Error(
      'the connection closed before the answer was complete',
    );
    close(Object.assign(err, {code: 'ECONNRESET'}));
  }

  socket.on('connect', () => {
    isConnected = true;
    call?.onConnected();
  });
  socket.on('error', close);
  socket.on('end', onEnd);
  socket.on('close', onEnd);
  return connection;
}
