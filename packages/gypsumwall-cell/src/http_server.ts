/** Servers on fastify as entries use them. */
import type * as http from 'node:http';
import * as fastify from 'fastify';

/**
 * Creates a server without schema compilers: bodies are checked where their
 * fields are known, and loading the compilers takes a tenth of a start.
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
  throw new Error('schema: this server compiles none; check the body itself');
}
