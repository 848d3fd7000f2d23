/** HTTP server functions that all stand-ins share. */
import type * as net from 'node:net';
import * as fastify from 'fastify';
import * as zod from 'zod';
import type * as history from './history.js';

/** A refusal, in the wire format of docs/PLATFORM.md. */
export interface Refusal {
  readonly status: number;
  readonly error: string;
  readonly message: string;
}

/** A running stand-in and the addresses it listens on. */
export interface StandIn {
  /** Base address of `/control/...`. */
  readonly control: string;
  /** Addresses of the instances by id. */
  readonly addresses: Readonly<Record<string, string>>;
  close(): Promise<void>;
}

const HOST = '127.0.0.1';
/**
 * Larger than the biggest batch of starts or records that an entry may send.
 */
const BODY_LIMIT_BYTES = 64 * 1024 * 1024;

/** A refusal as an error to throw; it means that the call had no effect. */
export type RefusalError = Error & Refusal;

/** Creates a refusal to throw. */
export function createRefusalError(refusal: Refusal): RefusalError {
  return Object.assign(new Error(refusal.message), refusal);
}

function isRefusal(thrown: unknown): thrown is RefusalError {
  return thrown instanceof Error && 'status' in thrown && 'error' in thrown;
}

/**
 * Creates a server that sends thrown refusals to the client, and answers
 * invalid bodies with 400 `invalid`.
 */
export function createServer(
  onRefusal: (refusal: Refusal, url: string) => void = () => undefined,
): fastify.FastifyInstance {
  const server = fastify.fastify({
    bodyLimit: BODY_LIMIT_BYTES,
    forceCloseConnections: true,
  });
  server.setErrorHandler((err, req, reply) => {
    if (isRefusal(err)) {
      onRefusal(err, req.url);
      return refuse(reply, err);
    }
    const message =
      err instanceof zod.ZodError ? zod.prettifyError(err) : String(err);
    return refuse(reply, {status: 400, error: 'invalid', message});
  });
  return server;
}

/** Listens on a port that the kernel assigns and returns the address. */
export async function listen(server: fastify.FastifyInstance): Promise<string> {
  await server.listen({host: HOST, port: 0});
  const {port} = server.server.address() as net.AddressInfo;
  return `http://${HOST}:${port}`;
}

/** Sends a refusal. */
export function refuse(
  reply: fastify.FastifyReply,
  refusal: Refusal,
): fastify.FastifyReply {
  const {error, message} = refusal;
  return reply.code(refusal.status).send({error, message});
}

/** Closes the connection without an answer. */
export function dropConnection(
  reply: fastify.FastifyReply,
): fastify.FastifyReply {
  reply.hijack();
  reply.raw.destroy();
  return reply;
}

const historyQuery = zod.object({from: zod.coerce.number().int().default(0)});

/** Adds `GET /control/history?from=`. */
export function addHistoryRoute(
  server: fastify.FastifyInstance,
  recorded: history.History,
): void {
  server.get('/control/history', (req) => {
    const {from} = historyQuery.parse(req.query);
    return {events: recorded.since(from)};
  });
}
