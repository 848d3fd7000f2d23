/** This entry's peer service. */
import * as http2 from 'node:http2';
import type * as net from 'node:net';
import type * as bufbuild from '@bufbuild/protobuf';
import * as connectNode from '@connectrpc/connect-node';
import * as protocol from '@gypsumwall/protocol';
import * as types from '@gypsumwall/types';
import type * as claimKeeper from './claim_keeper.js';

type Init<Schema extends bufbuild.DescMessage> =
  bufbuild.MessageInitShape<Schema>;

/** What this entry tells about itself with each heartbeat. */
export interface OwnState {
  readonly configOffset: number;
  readonly leaving: boolean;
  readonly heldEpoch?: number;
}

/** What the service answers with. */
export interface PeerHandlers {
  readonly claim: Pick<
    claimKeeper.ClaimKeeper,
    'answerPromise' | 'answerWitness'
  >;
  ownState(): OwnState;
  /** Instances of the own domain that the list shows as leaving. */
  leavingInstances(): readonly string[];
  /** A peer has made itself heard. */
  onHeartbeat(req: protocol.peer.HeartbeatRequest): void;
  forward(
    req: protocol.peer.ForwardRequest,
    signal: AbortSignal,
  ): Promise<Init<typeof protocol.peer.ForwardResponseSchema>>;
  readState(
    req: protocol.peer.ReadStateRequest,
  ): Promise<Init<typeof protocol.peer.ReadStateResponseSchema>>;
}

/** Options of `createPeerServer`. */
export interface PeerServerOptions {
  readonly self: types.ids.EntryId;
  readonly failureDomain: types.ids.FailureDomain;
  readonly handlers: PeerHandlers;
  readonly host: string;
  /** 0 lets the kernel choose. */
  readonly port: number;
}

/** A listening peer service. */
export interface PeerServer {
  /** `http://ip:port` */
  readonly address: string;
  /**
   * Lets running calls end for at most `graceMs`. Release the claim first:
   * peers take the closed port as proof that this process holds nothing.
   */
  close(graceMs: number): Promise<void>;
}

/** Listens; rejects if the port can't be had. */
export async function createPeerServer(
  options: PeerServerOptions,
): Promise<PeerServer> {
  const sessions = new Set<http2.ServerHttp2Session>();
  const server = http2.createServer(createRoutes(options));
  const sockets = new Set<net.Socket>();
  server.on('session', (session) => {
    sessions.add(session);
    session.once('close', () => sessions.delete(session));
    // A peer that dies resets its connection; its own heartbeats tell that.
    session.on('error', () => session.destroy());
  });
  server.on('connection', (socket: net.Socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, () => {
      server.off('error', reject);
      resolve();
    });
  });
  const {port} = server.address() as net.AddressInfo;
  return {
    address: `http://${options.host}:${port}`,
    close: async (graceMs) => {
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      for (const session of sessions) session.close();
      const timer = setTimeout(() => {
        // A destroyed session still waits for its socket to flush, which a
        // silent connection never does; the server would not close.
        for (const socket of sockets) socket.destroy();
      }, graceMs);
      await closed;
      clearTimeout(timer);
    },
  };
}

function createRoutes({self, failureDomain, handlers}: PeerServerOptions) {
  return connectNode.connectNodeAdapter({
    routes: (router) =>
      router.service(protocol.peer.PeerService, {
        heartbeat: (req) => {
          handlers.onHeartbeat(req);
          const own = handlers.ownState();
          return {
            entryId: self,
            failureDomain,
            configOffset: BigInt(own.configOffset),
            leaving: own.leaving,
            leavingInstances: [...handlers.leavingInstances()],
            heldEpoch:
              own.heldEpoch === undefined ? undefined : BigInt(own.heldEpoch),
          };
        },
        promiseClaim: (req) => {
          const reply = handlers.claim.answerPromise({
            holder: types.ids.brand(req.holder),
            epoch: Number(req.epoch),
            seen: Number(req.seen),
            promiseMs: Number(req.promiseMs),
          });
          return {
            entryId: self,
            promised: reply.type === 'promised',
            refusalReason: reply.type === 'refused' ? reply.reason : '',
          };
        },
        witnessTakeover: (req) => {
          const reply = handlers.claim.answerWitness({
            taker: types.ids.brand(req.taker),
            epoch: Number(req.epoch),
            seen: Number(req.seen),
          });
          return {
            entryId: self,
            released: reply.type === 'released',
            waitMs: BigInt(reply.type === 'wait' ? Math.ceil(reply.waitMs) : 0),
          };
        },
        forward: (req, context) => handlers.forward(req, context.signal),
        readState: (req) => handlers.readState(req),
      }),
  });
}
