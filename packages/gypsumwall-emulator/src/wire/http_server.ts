/** Helpers shared by the platform's HTTP servers. */
import type * as net from 'node:net';
import * as fastify from 'fastify';
import * as zod from 'zod';

/** A listening server. */
export interface WireServer {
  /** `host:port`. */
  readonly address: string;
  close(): Promise<void>;
}

const HOST = '127.0.0.1';
/** Exceeds the size of the largest append. */
const BODY_LIMIT_BYTES = 4 * 1024 * 1024;

/**
 * Creates a server that passes request bodies on as bytes and answers any
 * thrown error with 400.
 */
export function createServer(): fastify.FastifyInstance {
  const server = fastify.fastify({
    bodyLimit: BODY_LIMIT_BYTES,
    forceCloseConnections: true,
  });
  server.removeAllContentTypeParsers();
  server.addContentTypeParser('*', {parseAs: 'buffer'}, (_req, body, done) =>
    done(null, body),
  );
  server.setErrorHandler((err, _req, res) => {
    const message =
      err instanceof zod.ZodError ? zod.prettifyError(err) : String(err);
    return res.code(400).send({message});
  });
  return server;
}

/** Listens on loopback, on a port that the kernel assigns. */
export async function listen(
  server: fastify.FastifyInstance,
): Promise<WireServer> {
  await server.listen({host: HOST, port: 0});
  const {port} = server.server.address() as net.AddressInfo;
  return {address: `${HOST}:${port}`, close: () => server.close()};
}

/** Parses a JSON body; throws an error that the server answers with 400. */
export function readBody<Schema extends zod.ZodType>(
  req: fastify.FastifyRequest,
  schema: Schema,
): zod.infer<Schema> {
  const body = req.body as Buffer | undefined;
  return schema.parse(JSON.parse(body?.toString() ?? '{}'));
}

/** Leaves the call without an answer, with its connection open. */
export function leaveUnanswered(
  res: fastify.FastifyReply,
): fastify.FastifyReply {
  res.hijack();
  return res;
}
