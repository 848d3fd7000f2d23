/**
 * A TCP relay on one path between two instances, so that a test can cut or
 * delay this path alone.
 */
import * as net from 'node:net';
import * as stream from 'node:stream';

/** The address that a relay forwards to. */
export interface RelayTarget {
  readonly host: string;
  readonly port: number;
}

/** A relay for connections opened from one end to the other. */
export interface Relay {
  readonly address: string;
  /** Sets the target of new connections. */
  setTarget(target: RelayTarget): void;
  /**
   * Stops forwarding in both directions, like a network that drops packets. New
   * connections are accepted but get no data.
   */
  cut(): void;
  /**
   * Stops forwarding towards the target only; bytes from the target still
   * arrive.
   */
  cutOneWay(): void;
  /** Delays each chunk by `ms`, in both directions. */
  delay(ms: number): void;
  /** Resets all open connections. */
  reset(): void;
  /**
   * Ends cuts and delays and forwards the bytes held back; connections that
   * were opened during a full cut are closed.
   */
  heal(): void;
  /** Stops forwarding on the open connections permanently; new ones work. */
  silenceOpen(): void;
  /**
   * Refuses new connections, as the target's machine does after its process has
   * ended. During a cut this takes effect only once the cut is healed.
   */
  refuseConnections(): void;
  close(): Promise<void>;
}

interface ConnectionPair {
  readonly inbound: net.Socket;
  /** Absent for a connection that was opened during a full cut. */
  readonly outbound?: net.Socket;
  isSilenced: boolean;
}

/** Starts a relay on a port that the kernel assigns. */
export async function createRelay(initial: RelayTarget): Promise<Relay> {
  const pairs = new Set<ConnectionPair>();
  let target = initial;
  let isCut = false;
  let isCutOneWay = false;
  let delayMs = 0;
  let isRefusing = false;

  const acceptConnection = (inbound: net.Socket): void => {
    const outbound = isCut ? undefined : net.connect(target);
    const pair: ConnectionPair = {inbound, outbound, isSilenced: false};
    pairs.add(pair);
    inbound.setNoDelay(true);
    outbound?.setNoDelay(true);
    const closePair = () => {
      // During a cut neither end learns that the other one closed.
      if (isCut || pair.isSilenced) return;
      destroy(pair);
      pairs.delete(pair);
    };
    for (const socket of socketsOf(pair)) {
      socket.on('error', () => undefined);
      socket.on('close', closePair);
    }
    if (isCut) inbound.pause();
    else startForwarding(pair);
  };
  const startForwarding = (pair: ConnectionPair): void => {
    const {inbound, outbound} = pair;
    if (outbound === undefined) return;
    forward(outbound, inbound, delayMs);
    if (!isCutOneWay) forward(inbound, outbound, delayMs);
  };
  const restartForwarding = (): void => {
    for (const pair of pairs) {
      if (pair.isSilenced || isCut) continue;
      pauseForwarding(pair);
      startForwarding(pair);
    }
  };
  const server = net.createServer({noDelay: true}, acceptConnection);
  const port = await listen(server);
  const shutDown = (): void => {
    server.close();
    for (const pair of pairs) {
      if (!pair.isSilenced) destroy(pair);
    }
  };

  return {
    address: `http://127.0.0.1:${port}`,
    setTarget: (newTarget) => {
      target = newTarget;
    },
    cut: () => {
      isCut = true;
      for (const pair of pairs) pauseForwarding(pair);
    },
    cutOneWay: () => {
      isCutOneWay = true;
      restartForwarding();
    },
    delay: (ms) => {
      delayMs = ms;
      restartForwarding();
    },
    reset: () => {
      for (const pair of pairs) {
        if (pair.isSilenced) continue;
        for (const socket of socketsOf(pair)) socket.resetAndDestroy();
      }
    },
    heal: () => {
      const wasImpaired = isCut || isCutOneWay || delayMs > 0;
      if (!wasImpaired) return;
      isCut = false;
      isCutOneWay = false;
      delayMs = 0;
      for (const pair of [...pairs]) {
        if (pair.isSilenced) continue;
        if (socketsOf(pair).some((socket) => socket.destroyed)) destroy(pair);
        else if (pair.outbound === undefined) destroy(pair);
        else {
          pauseForwarding(pair);
          startForwarding(pair);
        }
      }
      if (isRefusing) shutDown();
    },
    silenceOpen: () => {
      for (const pair of pairs) {
        pair.isSilenced = true;
        pauseForwarding(pair);
      }
    },
    refuseConnections: () => {
      isRefusing = true;
      if (!isCut) shutDown();
    },
    close: async () => {
      const closed = new Promise<void>((resolve) => {
        server.close(() => resolve());
      });
      for (const pair of pairs) destroy(pair);
      await closed;
    },
  };
}

function listen(server: net.Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve((server.address() as net.AddressInfo).port);
    });
  });
}

function socketsOf(pair: ConnectionPair): net.Socket[] {
  return pair.outbound === undefined
    ? [pair.inbound]
    : [pair.inbound, pair.outbound];
}

/** Forwards what one end sends to the other. */
function forward(from: net.Socket, to: net.Socket, delayMs: number): void {
  if (delayMs === 0) {
    from.pipe(to);
    return;
  }
  const delayed = new stream.Transform({
    transform(chunk: Buffer, _encoding, done) {
      setTimeout(() => done(null, chunk), delayMs);
    },
  });
  from.pipe(delayed).pipe(to);
}

function pauseForwarding(pair: ConnectionPair): void {
  for (const socket of socketsOf(pair)) {
    socket.unpipe();
    socket.pause();
  }
}

function destroy(pair: ConnectionPair): void {
  for (const socket of socketsOf(pair)) socket.destroy();
}
