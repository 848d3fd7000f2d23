/** The HTTP/2 session of a peer client; its late errors don't end the process. */
import type * as http2 from 'node:http2';
import * as connectNode from '@connectrpc/connect-node';

type SessionManager = NonNullable<
  Extract<
    Parameters<typeof connectNode.createConnectTransport>[0],
    {httpVersion: '2'}
  >['sessionManager']
>;

/** A session manager that can be closed. */
export interface GuardedSession extends SessionManager {
  /** Closes the connection and aborts all calls on it. */
  abort(): void;
}

/**
 * Creates a session that connects with its first call. When a stopping peer
 * sends GOAWAY, connect-node destroys the session with an error, and Node emits
 * that error only after the socket has closed. If the manager has removed its
 * listeners from the session before, the uncaught error would end the process.
 * An empty listener for the session's lifetime prevents this; calls get the
 * error from their own streams.
 */
export function createGuardedSession(address: string): GuardedSession {
  const manager = new connectNode.Http2SessionManager(address);
  const guarded = new WeakSet<http2.Http2Session>();
  return {
    authority: manager.authority,
    abort: () => manager.abort(),
    notifyResponseByteRead: (stream) => manager.notifyResponseByteRead(stream),
    request: async (method, path, headers, options) => {
      const stream = await manager.request(method, path, headers, options);
      const {session} = stream;
      if (session !== undefined && !guarded.has(session)) {
        guarded.add(session);
        session.on('error', () => undefined);
      }
      return stream;
    },
  };
}
