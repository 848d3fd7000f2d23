/** Creates the fastify servers of an entry. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as fastify from 'fastify';

const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n';

/**
 * Creates a server without schema compilers: handlers check the bodies
 * themselves, and loading the compilers would take a tenth of the process's
 * startup time.
 */
export function createHttpServer(
  options: fastify.FastifyHttpOptions<http.Server> = {},
): fastify.FastifyInstance {
  /** Requests in progress by connection; callers may pipeline them. */
  const requestsInProgress = new WeakMap<net.Socket, number>();
  const count = (socket: net.Socket, change: number) => {
    const before = requestsInProgress.get(socket) ?? 0;
    requestsInProgress.set(socket, before + change);
  };
  const server = fastify.fastify({
    logger: false,
    // The answer to bytes that can't be parsed would be taken for that to the
    // request in progress on the same connection, whose outcome is open.
    clientErrorHandler(_err, socket) {
      const isBusy = (requestsInProgress.get(socket) ?? 0) > 0;
      if (isBusy || !socket.writable) socket.destroy();
      else socket.end(BAD_REQUEST);
    },
    schemaController: {
      compilersFactory: {
        buildValidator: refuseSchemas,
        buildSerializer: refuseSchemas,
      },
    },
    ...options,
  });
  server.server.on('request', ({socket}, res) => {
    count(socket, 1);
    res.on('close', () => count(socket, -1));
  });
  return server;
}

function refuseSchemas(): never {
  throw new Error('schemas are not supported; check the body in the handler');
}
