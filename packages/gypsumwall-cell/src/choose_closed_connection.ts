/**
 * Decides which connection is closed for a new one when all slots are taken:
 * the one that has kept the entry waiting for longest, before those of callers
 * that only pause between two calls.
 */
import type * as types from '@gypsumwall/types';

/** What a connection waits for. */
export type ConnectionState =
  /** A call is carried out; its outcome is open. */
  | 'busy'
  /** The client has to send the rest of a request or to read an answer. */
  | 'awaits_client'
  /** A whole request was answered, and none has followed. */
  | 'idle';

/** A connection that may be closed. */
export interface OpenConnection {
  readonly state: ConnectionState;
  /** When it entered the state. */
  readonly since: types.clock.MonotonicMs;
}

/** A client may take this long without being thought to stall. */
const MIN_WAIT_MS = 1_000;

/**
 * Returns undefined if no connection may be closed; the new one has to go then.
 * A connection that sends nothing at all counts as `awaits_client`.
 */
export function chooseClosedConnection<Connection extends OpenConnection>(
  connections: Iterable<Connection>,
  now: types.clock.MonotonicMs,
): Connection | undefined {
  let chosen: Connection | undefined;
  for (const connection of connections) {
    if (connection.state === 'busy') continue;
    if (now - connection.since < MIN_WAIT_MS) continue;
    if (chosen === undefined || isBefore(connection, chosen))
      chosen = connection;
  }
  return chosen;
}

function isBefore(one: OpenConnection, other: OpenConnection): boolean {
  if (one.state !== other.state) return one.state === 'awaits_client';
  return one.since < other.since;
}
