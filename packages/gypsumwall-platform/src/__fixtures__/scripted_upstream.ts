/** An upstream on a real socket that answers byte for byte as it is told. */
import * as events from 'node:events';
import * as net from 'node:net';

/** Answers one request that has arrived on a connection. */
export type Reply = (socket: net.Socket, request: string) => void;

/** A listening upstream. */
export interface ScriptedUpstream {
  readonly address: string;
  /** Connections open now and the most there ever were. */
  readonly count: {open: number; most: number; made: number};
  /** What each further request is answered with. */
  setReply(reply: Reply): void;
  close(): Promise<void>;
}

/** Starts one on a port of the kernel's choice. */
export async function startScriptedUpstream(
  first: Reply,
): Promise<ScriptedUpstream> {
  let reply = first;
  const count = {open: 0, most: 0, made: 0};
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    count.made += 1;
    count.open += 1;
    count.most = Math.max(count.most, count.open);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      sockets.delete(socket);
      count.open -= 1;
    });
    socket.on('data', (bytes) => reply(socket, bytes.toString()));
  });
  server.listen(0, '127.0.0.1');
  await events.EventEmitter.once(server, 'listening');
  const {port} = server.address() as net.AddressInfo;
  return {
    address: `http://127.0.0.1:${port}`,
    count,
    setReply: (wanted) => void (reply = wanted),
    close: async () => {
      for (const socket of sockets) socket.destroy();
      server.close();
      await events.EventEmitter.once(server, 'close');
    },
  };
}

/** Answers with the request's own id and the given body. */
export function whole(body: string): Reply {
  return (socket, request) =>
    socket.write(head(request, [`content-length: ${body.length}`]) + body);
}

/** The head of a 200 answer that carries the request's own id. */
export function head(request: string, headers: readonly string[]): string {
  const id = /gypsumwall-request-id: (\S+)/i.exec(request)?.[1] ?? '';
  const own = `gypsumwall-request-id: ${id}`;
  return ['HTTP/1.1 200 OK', own, ...headers, '', ''].join('\r\n');
}
