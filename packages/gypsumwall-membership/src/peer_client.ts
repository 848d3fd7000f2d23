/**
 * Calls to the peer service of one entry over one HTTP/2 connection, which can
 * be replaced when it stops answering.
 */
import * as bufbuild from '@bufbuild/protobuf';
import * as connect from '@connectrpc/connect';
import * as connectNode from '@connectrpc/connect-node';
import * as result from 'true-myth/result';
import * as platform from '@gypsumwall/platform';
import * as protocol from '@gypsumwall/protocol';
import * as types from '@gypsumwall/types';
import * as guardedSession from './guarded_session.js';

type Answer<Value> = Promise<result.Result<Value, types.stepError.StepError>>;
type Init<Schema extends bufbuild.DescMessage> =
  bufbuild.MessageInitShape<Schema>;

/** Address and timeouts of a peer. */
export interface PeerClientOptions {
  /** `http://ip:port` */
  readonly address: string;
  /** Timeout of calls that have no timeout of their own. */
  readonly timeoutMs: number;
  /** How long calls on a replaced connection may continue. */
  readonly retirementMs?: number;
}

/** The calls to one peer. */
export interface PeerClient {
  heartbeat(
    req: Init<typeof protocol.peer.HeartbeatRequestSchema>,
    timeoutMs?: number,
  ): Answer<protocol.peer.HeartbeatResponse>;
  promiseClaim(
    req: Init<typeof protocol.peer.PromiseClaimRequestSchema>,
    timeoutMs?: number,
  ): Answer<protocol.peer.PromiseClaimResponse>;
  witnessTakeover(
    req: Init<typeof protocol.peer.WitnessTakeoverRequestSchema>,
    timeoutMs?: number,
  ): Answer<protocol.peer.WitnessTakeoverResponse>;
  forward(
    req: Init<typeof protocol.peer.ForwardRequestSchema>,
    timeoutMs: number,
    signal?: AbortSignal,
  ): Answer<protocol.peer.ForwardResponse>;
  readState(
    req: Init<typeof protocol.peer.ReadStateRequestSchema>,
  ): Answer<protocol.peer.ReadStateResponse>;
  /** Uses a new connection for new calls; calls in flight may still finish. */
  replaceConnection(): void;
  close(): void;
}

const DEFAULT_RETIREMENT_MS = 30_000;
const CONNECTION_REFUSED = 'ECONNREFUSED';

interface Connection {
  readonly session: guardedSession.GuardedSession;
  readonly service: connect.Client<typeof protocol.peer.PeerService>;
}

/** Creates a client; it connects with its first call. */
export function createPeerClient(options: PeerClientOptions): PeerClient {
  const {address} = options;
  const retirementMs = options.retirementMs ?? DEFAULT_RETIREMENT_MS;
  const retiring = new Map<guardedSession.GuardedSession, NodeJS.Timeout>();
  let connection = openConnection();

  function openConnection(): Connection {
    const session = guardedSession.createGuardedSession(address);
    const transport = connectNode.createConnectTransport({
      baseUrl: address,
      httpVersion: '2',
      useBinaryFormat: true,
      sessionManager: session,
    });
    const service = connect.createClient(protocol.peer.PeerService, transport);
    return {session, service};
  }

  async function call<Value>(
    step: string,
    send: () => Promise<Value>,
  ): Answer<Value> {
    try {
      return result.ok(await send());
    } catch (thrown) {
      return result.err(peerError(step, address, thrown));
    }
  }

  return {
    heartbeat: (req, timeoutMs = options.timeoutMs) =>
      call('peer.heartbeat', () =>
        connection.service.heartbeat(req, callOptions(timeoutMs)),
      ),
    promiseClaim: (req, timeoutMs = options.timeoutMs) =>
      call('peer.promise_claim', () =>
        connection.service.promiseClaim(req, callOptions(timeoutMs)),
      ),
    witnessTakeover: (req, timeoutMs = options.timeoutMs) =>
      call('peer.witness_takeover', () =>
        connection.service.witnessTakeover(req, callOptions(timeoutMs)),
      ),
    forward: (req, forwardTimeoutMs, signal) =>
      call('peer.forward', () =>
        connection.service.forward(req, {
          ...callOptions(forwardTimeoutMs),
          signal,
        }),
      ),
    readState: (req) =>
      call('peer.read_state', () =>
        connection.service.readState(req, callOptions(options.timeoutMs)),
      ),
    // A device between the two ends can lose the state of a connection. The
    // connection then stays open but every call on it times out, while a new
    // connection would work. The old one isn't closed at once, since a slow peer
    // may still answer on it.
    replaceConnection: () => {
      const {session} = connection;
      connection = openConnection();
      const timer = setTimeout(() => {
        retiring.delete(session);
        session.abort();
      }, retirementMs);
      timer.unref();
      retiring.set(session, timer);
    },
    close: () => {
      for (const [session, timer] of retiring) {
        clearTimeout(timer);
        session.abort();
      }
      retiring.clear();
      connection.session.abort();
    },
  };
}

/**
 * Rounds the timeout down to a whole number, at least 1. Connect sends it in a
 * header that must be a whole number of milliseconds. With a fraction, peers
 * would refuse every call as malformed and would look silent to each other.
 */
function callOptions(timeoutMs: number): {timeoutMs: number} {
  return {timeoutMs: Math.max(1, Math.floor(timeoutMs))};
}

/** Whether the machine is up but no process listens at the address. */
export function isRefusedConnection(err: types.stepError.StepError): boolean {
  return err.kind === 'unreachable' && err.message.includes(CONNECTION_REFUSED);
}

function peerError(
  step: string,
  peer: string,
  thrown: unknown,
): types.stepError.StepError {
  if (!(thrown instanceof connect.ConnectError)) {
    return platform.httpCall.createTransportError({step, peer}, thrown);
  }
  // Only the cause, not the message, shows whether the request was sent.
  if (platform.httpCall.findErrorCode(thrown.cause) !== '') {
    return platform.httpCall.createTransportError({step, peer}, thrown.cause);
  }
  // No status code proves that the call had no effect: an answer that can't be
  // parsed here has the same codes as a request that the peer couldn't parse.
  // If the effect were `not_run`, the caller would repeat a call that has run.
  const {message} = thrown;
  return {kind: kindOf(thrown.code), step, peer, effect: 'unknown', message};
}

function kindOf(code: connect.Code): types.stepError.StepErrorKind {
  switch (code) {
    case connect.Code.DeadlineExceeded:
      return 'timeout';
    case connect.Code.InvalidArgument:
    case connect.Code.OutOfRange:
    case connect.Code.DataLoss:
      return 'truncated';
    case connect.Code.Canceled:
    case connect.Code.Aborted:
    case connect.Code.Unavailable:
    case connect.Code.Internal:
    case connect.Code.Unknown:
      return 'closed';
    case connect.Code.NotFound:
    case connect.Code.AlreadyExists:
    case connect.Code.PermissionDenied:
    case connect.Code.Unauthenticated:
    case connect.Code.ResourceExhausted:
    case connect.Code.FailedPrecondition:
    case connect.Code.Unimplemented:
      return 'refused';
  }
}
