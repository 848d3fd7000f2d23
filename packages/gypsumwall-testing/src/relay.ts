/**
 * A TCP pipe between two named ends that a test can cut. It stands between
 * one end and another, so that a cut strikes this one path only.
 */
import * as net from 'node:net';
import * as stream from 'node:stream';

/** Where a relay sends what it takes. */
export interface RelayTarget {
  readonly host: string;
  readonly port: number;
}

/** One directed path. */
export interface Relay {
  readonly address: string;
  /** Sends new connections there from now on. */
  setTarget(target: RelayTarget): void;
  /**
   * Holds all bytes, as a network does that drops packets. New connections
   * seem to open and stay silent.
   */
  cut(): void;
  /** Holds bytes towards the target; those that come back go on. */
  cutOneWay(): void;
  /** From now on each piece of bytes takes so much longer, both ways. */
  delay(ms: number): void;
  /** Resets all open connections. */
  reset(): void;
  /**
   * Ends cuts and delays and lets held bytes go on; what was opened during a
   * whole cut breaks.
   */
  heal(): void;
  /** Open connections go silent for good; new ones work. */
  silenceOpen(): void;
  /**
   * The target is gone for good: new connections are refused, as its own
   * machine would. A cut hides that until it is healed.
   */
  refuseConnections(): void;
  close(): Promise<void>;
}

interface ConnectionPair {
  readonly inbound: net.Socket;
  /** Absent for a connection that was opened during a cut. */
  readonly outbound?: net.Socket;
  isSilenced: boolean;
}

/** Starts a relay on a port from the kernel. */
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
      // Neither end of a held connection learns that the other is gone.
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

/** Passes on what one end sends to the other. */
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
