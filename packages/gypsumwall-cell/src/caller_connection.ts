/** A caller's connection and its requests, as a guarded server sees them. */
import type * as http from 'node:http';
import type * as net from 'node:net';
import type * as types from '@gypsumwall/types';
import type * as bodyCollector from './body_collector.js';
import type * as chooseClosedConnection from './choose_closed_connection.js';
import type * as connectionLedger from './connection_ledger.js';

/** A request whose headers have been read. */
export interface CallerRequest {
  readonly connection: CallerConnection;
  readonly req: http.IncomingMessage;
  readonly res: http.ServerResponse;
  readonly charge: connectionLedger.RequestCharge;
  readonly begin: () => void;
  /** Absent if no body follows the headers. */
  readonly body: bodyCollector.BodyCollector | undefined;
  phase: 'receiving' | 'waiting' | 'active';
  /** Whether a read that waits until the body takes more is charged. */
  isReadCharged: boolean;
  /** Whether it was answered without having begun. */
  isRefused: boolean;
  /** Whether the answer was sent or can't be sent any more. */
  isAnswered: boolean;
  /** False while a handler runs, which may outlive the connection. */
  isHandled: boolean;
}

/** An open connection. */
export interface CallerConnection {
  readonly socket: net.Socket;
  /** Requests that have not ended, in the order in which they were sent. */
  readonly requests: Set<CallerRequest>;
  /** Requests that wait for their turn. */
  readonly waiting: CallerRequest[];
  /** Requests that were begun and have not ended. */
  active: number;
  /** The request whose headers were read last. */
  last: CallerRequest | undefined;
  /** Whether requests that follow are ignored. */
  isClosing: boolean;
  state: chooseClosedConnection.ConnectionState;
  since: types.clock.MonotonicMs;
}

/** Creates a connection that was opened now. */
export function createCallerConnection(
  socket: net.Socket,
  now: types.clock.MonotonicMs,
): CallerConnection {
  const requests = new Set<CallerRequest>();
  return {
    socket,
    requests,
    waiting: [],
    active: 0,
    last: undefined,
    isClosing: false,
    state: 'awaits_client',
    since: now,
  };
}

/** Updates the state after a change of the requests. */
export function updateState(
  connection: CallerConnection,
  now: types.clock.MonotonicMs,
): void {
  const state = findState(connection);
  if (state === connection.state) return;
  connection.state = state;
  connection.since = now;
}

function findState({
  requests,
}: CallerConnection): chooseClosedConnection.ConnectionState {
  if (requests.size === 0) return 'idle';
  for (const {isHandled} of requests) if (!isHandled) return 'busy';
  return 'awaits_client';
}

/** Whether a body follows the headers. */
export function hasBody({headers}: http.IncomingMessage): boolean {
  return (
    headers['transfer-encoding'] !== undefined ||
    Number(headers['content-length'] ?? 0) > 0
  );
}
