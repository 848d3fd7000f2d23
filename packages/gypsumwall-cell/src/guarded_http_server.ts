/**
 * HTTP server for callers that are outside the operator's control. It begins a
 * request only within the limits of its connection and of all connections.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import type * as fastify from 'fastify';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import * as bodyCollectors from './body_collector.js';
import * as callerConnection from './caller_connection.js';
import * as callerRefusals from './caller_refusals.js';
import * as chooseClosed from './choose_closed_connection.js';
import type * as clientLimits from './client_limits.js';
import * as connectionLedgers from './connection_ledger.js';
import * as httpServer from './http_server.js';
import * as shedCounts from './shed_counts.js';
import * as slicedSocket from './sliced_socket.js';

/** A server with limits; the caller has to start listening. */
export interface GuardedHttpServer {
  readonly server: fastify.FastifyInstance;
  /**
   * Has to wrap the handling of each call: what a call holds counts until then,
   * also if its connection is lost before.
   */
  track<T>(req: http.IncomingMessage, handle: () => Promise<T>): Promise<T>;
  /** Returns the body of a call, once; undefined if it has none. */
  takeBody(req: http.IncomingMessage): string | undefined;
  status(): ClientStatus;
}

/** What the callers of one entry hold, and what was refused. */
export interface ClientStatus {
  readonly connections: number;
  readonly heldBytes: number;
  /** Connections that were shed, by reason. */
  readonly shed: Readonly<Record<connectionLedgers.ShedReason, number>>;
}

/** Options of {@link createGuardedHttpServer}. */
export interface GuardedHttpServerOptions {
  readonly limits: clientLimits.ClientLimits;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  /** Maximum size of a body now, in bytes. */
  readonly bodyLimit: () => number;
  readonly keepAliveTimeoutMs: number;
}

type Connection = callerConnection.CallerConnection;
type Request = callerConnection.CallerRequest;

/** A connection whose bytes have to wait may hold this many. */
const MAX_STALLED_BYTES = 4_096;
/** What one read of a socket holds at most. */
const READ_BYTES = 65_536;
/** Objects of a request that waits for its turn or its answer. */
const REQUEST_BYTES = 8_192;
/** Requests may exceed their timeout by this part of it. */
const CHECK_INTERVAL_FRACTION = 1 / 10;

/** Creates the server. */
export function createGuardedHttpServer(
  options: GuardedHttpServerOptions,
): GuardedHttpServer {
  const {limits, clock} = options;
  const pool = bodyCollectors.createSegmentPool();
  const sheds = shedCounts.createShedCounts(options);
  const connections = new WeakMap<net.Socket, Connection>();
  const requests = new WeakMap<http.IncomingMessage, Request>();
  /** Connections that hold a slot. */
  const open = new Set<Connection>();
  /** Connections whose bytes wait until others are gone. */
  const stalled = new Set<Connection>();
  const ledger = connectionLedgers.createConnectionLedger<Connection>({
    limits,
    shed,
  });

  function onConnection(socket: net.Socket): void {
    const connection = callerConnection.createCallerConnection(
      socket,
      clock.monotonic(),
    );
    connections.set(socket, connection);
    if (open.size >= limits.maxConnections) freeSlot(connection);
    open.add(connection);
    ledger.open(connection);
    slicedSocket.sliceSocket(socket, (restBytes) =>
      checkSlice(connection, restBytes),
    );
    socket.on('close', () => {
      ledger.close(connection);
      open.delete(connection);
      stalled.delete(connection);
      for (const request of connection.requests) {
        request.isAnswered = true;
        endIfDone(request);
      }
    });
  }

  /** Closes a connection for a new one, or the new one. */
  function freeSlot(connection: Connection): void {
    const closed = chooseClosed.chooseClosedConnection(open, clock.monotonic());
    if (closed === undefined) {
      sheds.add('no_slot');
      connection.isClosing = true;
      connection.socket.destroy();
      return;
    }
    // Its slot is taken now; the descriptor follows at the end of the loop.
    open.delete(closed);
    ledger.shed(closed, 'slot_needed');
    // The ledger sheds a connection once; this one may wait for a refusal.
    closed.socket.destroy();
  }

  function checkSlice(
    connection: Connection,
    restBytes: number,
  ): slicedSocket.SliceVerdict {
    const {socket} = connection;
    if (connection.isClosing || socket.destroyed) return 'drop';
    // The request that is being received takes no more bytes for now.
    const isBodyHeld = connection.last?.req.complete === false;
    if (socket.isPaused() && isBodyHeld)
      return holdBody(connection.last!) ? 'hold' : 'drop';
    if (!socket.isPaused() && !ledger.isFull()) return 'pass';
    if (restBytes > MAX_STALLED_BYTES) {
      const reason = socket.isPaused() ? 'answers_unread' : 'too_much_held';
      ledger.shed(connection, reason);
      return 'drop';
    }
    // Node resumes the socket when answers have been read.
    if (!socket.isPaused()) stalled.add(connection);
    return 'hold';
  }

  /** Charges the read that waits for its body; returns false if it can't be held. */
  function holdBody(request: Request): boolean {
    if (request.isReadCharged) return true;
    request.isReadCharged = true;
    return request.charge.add(READ_BYTES);
  }

  /** Reads on when shed connections are gone. */
  function resumeStalled(): void {
    if (stalled.size === 0 || ledger.isFull()) return;
    const resumed = [...stalled];
    stalled.clear();
    for (const {socket} of resumed) socket.resume();
  }

  function onRequest(
    handle: http.RequestListener,
    req: http.IncomingMessage,
    res: http.ServerResponse,
  ): void {
    const connection = connections.get(req.socket);
    // The parser goes on through the bytes that it has read when a connection
    // is closed.
    if (connection === undefined || connection.isClosing) return;
    if (req.socket.destroyed) return;
    const charge = ledger.begin(connection);
    if (charge === undefined) return;
    const request: Request = {
      connection,
      req,
      res,
      charge,
      body: callerConnection.hasBody(req)
        ? bodyCollectors.createBodyCollector({
            pool,
            charge,
            limit: options.bodyLimit(),
          })
        : undefined,
      begin: () => callerRefusals.beginOrRefuse(handle, req, res),
      phase: 'receiving',
      isReadCharged: false,
      isRefused: false,
      isAnswered: false,
      isHandled: true,
    };
    requests.set(req, request);
    connection.requests.add(request);
    connection.last = request;
    callerConnection.updateState(connection, clock.monotonic());
    res.on('close', () => {
      request.isAnswered = true;
      endIfDone(request);
    });
    if (charge.add(REQUEST_BYTES)) receive(request);
  }

  /** Waits for the body of a request before the request may begin. */
  function receive(request: Request): void {
    const {req, body} = request;
    // A client that expects something else may wait for the answer to that.
    if (body === undefined || !callerRefusals.isExpectationKnown(req)) {
      awaitTurn(request);
      return;
    }
    const announcedBytes = Number(req.headers['content-length'] ?? 0);
    if (announcedBytes > options.bodyLimit()) {
      refuseBody(request, `the body has ${announcedBytes} bytes`);
      return;
    }
    if (req.headers.expect !== undefined) request.res.writeContinue();
    req.on('data', (chunk: Buffer) => {
      if (body.add(chunk) === 'too_long')
        refuseBody(request, 'the body is too long');
    });
    req.on('end', () => {
      if (request.phase === 'receiving') awaitTurn(request);
    });
  }

  function awaitTurn(request: Request): void {
    // A refused or shed request stays `receiving`; its end may still arrive.
    if (request.isRefused) return;
    request.phase = 'waiting';
    request.connection.waiting.push(request);
    beginWaiting(request.connection);
  }

  /** Bytes that follow on the connection are dropped. */
  function refuseBody(request: Request, fault: string): void {
    const {connection, res} = request;
    request.isRefused = true;
    connection.isClosing = true;
    callerRefusals.refuseBody(res, fault, options.bodyLimit());
  }

  function beginWaiting(connection: Connection): void {
    const {waiting} = connection;
    while (connection.active < limits.maxActiveRequestsPerConnection) {
      const request = waiting.shift();
      if (request === undefined) return;
      request.phase = 'active';
      connection.active++;
      request.begin();
    }
  }

  /** Releases a request once its answer and its handling are over. */
  function endIfDone(request: Request): void {
    const {connection} = request;
    const isDone = request.isAnswered && request.isHandled;
    if (!isDone || !connection.requests.delete(request)) return;
    request.body?.discard();
    request.charge.end();
    callerConnection.updateState(connection, clock.monotonic());
    if (connection.last === request) connection.last = undefined;
    resumeStalled();
    if (request.phase !== 'active') return;
    connection.active--;
    if (!connection.socket.destroyed) beginWaiting(connection);
  }

  /**
   * Gives up the requests of a connection that were not begun. A refusal is
   * sent if there is only one request, which was not begun: behind others it
   * would be taken for an answer to the first of them.
   */
  function shed(
    connection: Connection,
    reason: connectionLedgers.ShedReason,
  ): void {
    sheds.add(reason);
    connection.isClosing = true;
    connection.waiting.length = 0;
    for (const request of connection.requests) {
      if (request.phase === 'active') continue;
      request.isRefused = true;
      request.body?.discard();
    }
    const [first] = connection.requests;
    const isRefusable =
      connection.requests.size === 1 && first?.phase !== 'active';
    if (isRefusable && reason === 'too_much_held')
      callerRefusals.refuseForNow(first!.res);
    else connection.socket.destroy();
  }

  function clientErrorHandler(
    err: NodeJS.ErrnoException,
    socket: net.Socket,
  ): void {
    if (httpServer.isRequestTimeout(err)) sheds.add('timed_out');
    const connection = connections.get(socket);
    const isBusy = (connection?.requests.size ?? 0) > 0;
    httpServer.answerClientError(err, socket, isBusy);
  }

  /** Called for each connection on which nothing has moved for a while. */
  function onStalled(socket: net.Socket): void {
    const connection = connections.get(socket);
    if (connection?.state === 'busy') return;
    if (connection !== undefined && connection.requests.size > 0)
      ledger.shed(connection, 'timed_out');
    socket.destroy();
  }

  return {
    server: httpServer.createSchemalessServer({
      forceCloseConnections: 'idle',
      clientErrorHandler,
      serverFactory(handle) {
        const listener = onRequest.bind(undefined, handle);
        const server = http.createServer(
          {
            keepAliveTimeout: options.keepAliveTimeoutMs,
            headersTimeout: limits.requestTimeoutMs,
            requestTimeout: limits.requestTimeoutMs,
            connectionsCheckingInterval:
              limits.requestTimeoutMs * CHECK_INTERVAL_FRACTION,
            // Otherwise such requests are answered before they are counted.
            requireHostHeader: false,
          },
          listener,
        );
        server.setTimeout(limits.stallTimeoutMs, onStalled);
        server.on('connection', onConnection);
        server.on('checkContinue', listener);
        server.on('checkExpectation', listener);
        return server;
      },
    }),
    async track(req, handle) {
      const request = requests.get(req);
      if (request === undefined) return handle();
      request.isHandled = false;
      request.charge.setReleasable(false);
      callerConnection.updateState(request.connection, clock.monotonic());
      try {
        return await handle();
      } finally {
        request.isHandled = true;
        request.charge.setReleasable(true);
        endIfDone(request);
        callerConnection.updateState(request.connection, clock.monotonic());
      }
    },
    takeBody(req) {
      const request = requests.get(req);
      return request?.body?.take();
    },
    status: () => ({
      connections: ledger.connections(),
      heldBytes: ledger.heldBytes(),
      shed: sheds.counts(),
    }),
  };
}
