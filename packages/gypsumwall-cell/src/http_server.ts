/** Creates the fastify servers of an entry. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import * as fastify from 'fastify';

const BAD_REQUEST = 'HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n';

const REQUEST_TIMEOUT =
  'HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\r\n';

/**
 * Creates a server without schema compilers: handlers check the bodies
 * themselves, and loading the compilers would take a tenth of the process's
 * startup time.
 */
export function createSchemalessServer(
  options: fastify.FastifyHttpOptions<http.Server>,
): fastify.FastifyInstance {
  return fastify.fastify({
    logger: false,
    schemaController: {
      compilersFactory: {
        buildValidator: refuseSchemas,
        buildSerializer: refuseSchemas,
      },
    },
    ...options,
  });
}

/** Creates a server for other entries. */
export function createHttpServer(
  options: fastify.FastifyHttpOptions<http.Server> = {},
): fastify.FastifyInstance {
  /** Requests in progress by connection; callers may pipeline them. */
  const requestsInProgress = new WeakMap<net.Socket, number>();
  const count = (socket: net.Socket, change: number) => {
    const before = requestsInProgress.get(socket) ?? 0;
    requestsInProgress.set(socket, before + change);
  };
  const server = createSchemalessServer({
    clientErrorHandler: (err, socket) =>
      answerClientError(err, socket, (requestsInProgress.get(socket) ?? 0) > 0),
    ...options,
  });
  server.server.on('request', ({socket}, res) => {
    count(socket, 1);
    res.on('close', () => count(socket, -1));
  });
  return server;
}

/**
 * Answers bytes that can't be parsed. If a request is in progress on the same
 * connection, the answer would be taken for that to the request, whose outcome
 * is open.
 */
export function answerClientError(
  err: NodeJS.ErrnoException,
  socket: net.Socket,
  isBusy: boolean,
): void {
  if (isBusy || !socket.writable) {
    socket.destroy();
    return;
  }
  socket.write(isRequestTimeout(err) ? REQUEST_TIMEOUT : BAD_REQUEST);
  // A client that never closes its side would keep the descriptor.
  socket.destroySoon();
}

/** Whether a request did not arrive in time. */
export function isRequestTimeout({code}: NodeJS.ErrnoException): boolean {
  return code === 'ERR_HTTP_REQUEST_TIMEOUT';
}

function refuseSchemas(): never {
  throw new Error('schemas are not supported; check the body in the handler');
}
