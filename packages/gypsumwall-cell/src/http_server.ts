/** Creates the fastify servers of an entry. */
import type * as http from 'node:http';
import * as fastify from 'fastify';

/**
 * Creates a server without schema compilers: handlers check the bodies
 * themselves, and loading the compilers would take a tenth of the process's
 * startup time.
 */
export function createHttpServer(
  options: fastify.FastifyHttpOptions<http.Server> = {},
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

function refuseSchemas(): never {
  throw new Error('schemas are not supported; check the body in the handler');
}
