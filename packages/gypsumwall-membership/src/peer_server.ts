/** The peer service of this entry. */
import * as http2 from 'node:http2';
import type * as net from 'node:net';
import type * as bufbuild from '@bufbuild/protobuf';
import * as connectNode from '@connectrpc/connect-node';
import * as protocol from '@gypsumwall/protocol';
import * as types from '@gypsumwall/types';
import type * as claimKeeper from './claim_keeper.js';

type Init<Schema extends bufbuild.DescMessage> =
  bufbuild.MessageInitShape<Schema>;

/** The state of this entry that heartbeats and their answers carry. */
export interface OwnState {
  readonly configOffset: number;
  readonly leaving: boolean;
  readonly heldEpoch?: number;
}

/** Handlers of the service's calls. */
export interface PeerHandlers {
  readonly claim: Pick<
    claimKeeper.ClaimKeeper,
    'answerPromise' | 'answerWitness'
  >;
  ownState(): OwnState;
  /** Instances of the own domain that the list shows as leaving. */
  leavingInstances(): readonly string[];
  /** Called for each heartbeat received from a peer. */
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
  /** 0 lets the kernel choose a port. */
  readonly port: number;
}

/** A listening peer service. */
export interface PeerServer {
  /** `http://ip:port` */
  readonly address: string;
  /**
   * Closes the port and waits at most `graceMs` for calls in flight. Release
   * the claim first: peers take the closed port as proof that this process
   * holds no claim.
   */
  close(graceMs: number): Promise<void>;
}

/** Starts the service; rejects if it can't listen on the port. */
export async function createPeerServer(
  options: PeerServerOptions,
): Promise<PeerServer> {
  const sessions = new Set<http2.ServerHttp2Session>();
  const server = http2.createServer(createRoutes(options));
  const sockets = new Set<net.Socket>();
  server.on('session', (session) => {
    sessions.add(session);
    session.once('close', () => sessions.delete(session));
    // A peer that ends abruptly resets its connection. This entry detects its
    // end by the heartbeats that it sends, so the error only closes the session.
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
        // Destroying the sessions isn't enough: they wait for their sockets to
        // flush, which never happens on a silent connection, and the server
        // would not close.
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
