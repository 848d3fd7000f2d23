/** The HTTP/2 session of a peer client, whose late errors end no process. */
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
  /** Cuts the connection and all calls on it. */
  abort(): void;
}

/**
 * Makes a session that connects with its first call. When a peer that stops
 * sends GOAWAY, connect-node destroys the session with an error, and Node
 * emits that error only after the socket closed. Should the manager have left
 * the session by then, nobody listens any more and the process would end by
 * an uncaught error. A listener that stays for the session's life suffices:
 * calls learn of the error by their own streams.
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
