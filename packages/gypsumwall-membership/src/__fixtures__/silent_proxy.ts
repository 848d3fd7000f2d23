/** A TCP relay that can permanently stop forwarding on its open connections. */
import * as net from 'node:net';

/** The relay. */
export interface SilentProxy {
  readonly address: string;
  /** Stops forwarding on open connections; new connections work. */
  silenceOpenConnections(): void;
  /** Number of connections accepted so far. */
  connections(): number;
  close(): Promise<void>;
}

/** Starts a relay to a port of this machine. */
export async function startSilentProxy(port: number): Promise<SilentProxy> {
  const sockets = new Set<net.Socket>();
  let opened = 0;
  const server = net.createServer((socket) => {
    opened++;
    const upstream = net.connect(port, '127.0.0.1');
    for (const end of [socket, upstream]) {
      sockets.add(end);
      end.on('error', () => end.destroy());
      end.on('close', () => sockets.delete(end));
    }
    socket.pipe(upstream);
    upstream.pipe(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = server.address() as net.AddressInfo;
  return {
    address: `http://127.0.0.1:${address.port}`,
    connections: () => opened,
    silenceOpenConnections: () => {
      for (const socket of sockets) {
        socket.unpipe();
        socket.pause();
      }
    },
    close: async () => {
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      for (const socket of sockets) socket.destroy();
      await closed;
    },
  };
}
