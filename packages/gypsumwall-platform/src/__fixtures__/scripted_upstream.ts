/** Test upstream on a real socket whose reply the test defines byte by byte. */
import * as events from 'node:events';
import * as net from 'node:net';

/** Writes the reply to one request that has arrived on a connection. */
export type Reply = (socket: net.Socket, request: string) => void;

/** A running test upstream. */
export interface ScriptedUpstream {
  readonly address: string;
  /**
   * Connections open now, the most that were open at a time, and all that were
   * ever opened.
   */
  readonly connectionCounts: {open: number; maxOpen: number; opened: number};
  /** Sets the reply to all further requests. */
  setReply(reply: Reply): void;
  close(): Promise<void>;
}

/** Starts a test upstream on a port that the kernel chooses. */
export async function startScriptedUpstream(
  first: Reply,
): Promise<ScriptedUpstream> {
  let reply = first;
  const connectionCounts = {open: 0, maxOpen: 0, opened: 0};
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    connectionCounts.opened += 1;
    connectionCounts.open += 1;
    connectionCounts.maxOpen = Math.max(
      connectionCounts.maxOpen,
      connectionCounts.open,
    );
    socket.on('error', () => undefined);
    socket.on('close', () => {
      sockets.delete(socket);
      connectionCounts.open -= 1;
    });
    socket.on('data', (bytes) => reply(socket, bytes.toString()));
  });
  server.listen(0, '127.0.0.1');
  await events.EventEmitter.once(server, 'listening');
  const {port} = server.address() as net.AddressInfo;
  return {
    address: `http://127.0.0.1:${port}`,
    connectionCounts,
    setReply: (wanted) => void (reply = wanted),
    close: async () => {
      for (const socket of sockets) socket.destroy();
      server.close();
      await events.EventEmitter.once(server, 'close');
    },
  };
}

/** Replies with the request's id and the given body. */
export function replyWith(body: string): Reply {
  return (socket, request) =>
    socket.write(
      formatHead(request, [`content-length: ${body.length}`]) + body,
    );
}

/** Status line and headers of a 200 answer with the request's id. */
export function formatHead(
  request: string,
  headers: readonly string[],
): string {
  const id = /gypsumwall-request-id: (\S+)/i.exec(request)?.[1] ?? '';
  const own = `gypsumwall-request-id: ${id}`;
  return ['HTTP/1.1 200 OK', own, ...headers, '', ''].join('\r\n');
}
