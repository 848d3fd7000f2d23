/**
 * Clients that send bytes to a server without reading its answers and then keep
 * their connections open.
 */
import * as net from 'node:net';
import * as types from '@gypsumwall/types';

/** What each client sends, one piece after the other. */
export interface CrowdOptions {
  /** Address of the server, as `host:port`. */
  readonly address: string;
  readonly size: number;
  readonly piecesOf: (nth: number) => Iterable<Buffer>;
  readonly clock: types.clock.Clock;
}

/** Connected clients. */
export interface Crowd {
  /**
   * Resolves when each client has sent all of its pieces or has lost its
   * connection, and the server has read everything; also if neither makes
   * progress. `unreadBytes` are those that the server has not read.
   */
  settle(unreadBytes: () => number): Promise<void>;
  close(): void;
}

interface Client {
  readonly socket: net.Socket;
  isDone: boolean;
}

const POLL_MS = 100;
/** Time without any progress after which the clients count as settled. */
const STALL_MS = 2_000;
/** Bounds clients that could send for ever. */
const MAX_SETTLE_MS = 40_000;

/** Connects the clients, which begin to send at once. */
export function connectCrowd(options: CrowdOptions): Crowd {
  const [host, port] = options.address.split(':');
  const clients = Array.from({length: options.size}, (_, nth) =>
    connectClient({host: host!, port: Number(port)}, options.piecesOf(nth)),
  );
  const {clock} = options;
  return {
    async settle(unreadBytes) {
      const deadline = types.clock.after(clock.monotonic(), MAX_SETTLE_MS);
      let progressed = clock.monotonic();
      let read = -1;
      for (;;) {
        const unread = unreadBytes();
        if (unread === 0 && clients.every(({isDone}) => isDone)) return;
        const now = clock.monotonic();
        if (now >= deadline || now - progressed > STALL_MS) return;
        const sent = clients.reduce((sum, {socket}) => sum + sentBy(socket), 0);
        if (sent - unread !== read) progressed = now;
        read = sent - unread;
        await types.clock.sleepFor(clock, POLL_MS);
      }
    },
    close() {
      for (const {socket} of clients) socket.destroy();
    },
  };
}

/** Bytes that the kernel has accepted from a client. */
function sentBy(socket: net.Socket): number {
  return socket.bytesWritten - socket.writableLength;
}

function connectClient(
  target: net.TcpNetConnectOpts,
  pieces: Iterable<Buffer>,
): Client {
  const socket = net.connect(target);
  const client: Client = {socket, isDone: false};
  const rest = pieces[Symbol.iterator]();

  function sendNext(): void {
    while (!socket.destroyed) {
      const piece = rest.next();
      if (piece.done === true) break;
      if (socket.write(piece.value)) continue;
      socket.once('drain', sendNext);
      return;
    }
    if (socket.writableLength === 0) client.isDone = true;
    else socket.once('drain', () => (client.isDone = true));
  }

  socket.on('connect', sendNext);
  socket.on('error', () => undefined);
  socket.on('close', () => (client.isDone = true));
  return client;
}
