/** The connections of a client to one server, and the calls that wait for one. */
import * as httpConnection from './http_connection.js';

/** A call that was handed to the pool. */
export interface SentCall {
  /** Ends the call with the error, and the connection that carries it. */
  abort(err: Error): void;
}

/** Connections to one server. */
export interface ConnectionPool {
  /**
   * Sends a call on the connection that was used last, or on a new one. It waits
   * while all connections are in use.
   */
  send(
    message: httpConnection.Message,
    handlers: httpConnection.CallHandlers,
  ): SentCall;
  /** Closes the connections that no call uses. */
  closeIdle(): void;
  /** Closes all connections; calls on them fail. */
  close(): void;
}

interface PendingCall {
  readonly message: httpConnection.Message;
  readonly handlers: httpConnection.CallHandlers;
  /** Undefined while the call waits for a connection. */
  connection: httpConnection.HttpConnection | undefined;
}

/** Creates a pool without connections. */
export function createConnectionPool(
  host: string,
  port: number,
  maxConnections: number,
): ConnectionPool {
  const open = new Set<httpConnection.HttpConnection>();
  const idle: httpConnection.HttpConnection[] = [];
  const waiting: PendingCall[] = [];

  const listener: httpConnection.ConnectionListener = {
    onIdle(connection) {
      const next = waiting.shift();
      if (next === undefined) idle.push(connection);
      else sendOn(connection, next);
    },
    onClosed(connection) {
      open.delete(connection);
      const idleAt = idle.indexOf(connection);
      if (idleAt >= 0) idle.splice(idleAt, 1);
      if (waiting.length > 0) sendOn(openConnection(), waiting.shift()!);
    },
  };

  function openConnection(): httpConnection.HttpConnection {
    const opened = httpConnection.openHttpConnection(host, port, listener);
    open.add(opened);
    return opened;
  }

  function sendOn(
    connection: httpConnection.HttpConnection,
    call: PendingCall,
  ): void {
    call.connection = connection;
    connection.send(call.message, call.handlers);
  }

  function takeConnection(): httpConnection.HttpConnection | undefined {
    for (;;) {
      const newest = idle.pop();
      if (newest === undefined) break;
      if (newest.isReusable()) return newest;
      newest.close(new Error('its server no longer keeps it open'));
    }
    return open.size < maxConnections ? openConnection() : undefined;
  }

  return {
    send(message, handlers) {
      const call: PendingCall = {message, handlers, connection: undefined};
      const connection = takeConnection();
      if (connection === undefined) waiting.push(call);
      else sendOn(connection, call);
      return {
        abort(err) {
          if (call.connection !== undefined) {
            call.connection.close(err);
            return;
          }
          waiting.splice(waiting.indexOf(call), 1);
          handlers.onFailed(err);
        },
      };
    },
    closeIdle() {
      for (const connection of [...idle])
        connection.close(new Error('it was idle'));
    },
    close() {
      for (const connection of [...open])
        connection.close(new Error('the client was closed'));
    },
  };
}
