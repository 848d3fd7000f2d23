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
  refuse(): void;
  close(): Promise<void>;
}

interface Pair {
  readonly inbound: net.Socket;
  /** Absent for a connection that was opened during a cut. */
  readonly outbound?: net.Socket;
  silenced: boolean;
}

/** Starts a relay on a port from the kernel. */
export async function createRelay(initial: RelayTarget): Promise<Relay> {
  const pairs = new Set<Pair>();
  let target = initial;
  let isCut = false;
  let isCutOneWay = false;
  let delayMs = 0;
  let refused = false;

  const open = (inbound: net.Socket): void => {
    const outbound = isCut ? undefined : net.connect(target);
    const pair: Pair = {inbound, outbound, silenced: false};
    pairs.add(pair);
    inbound.setNoDelay(true);
    outbound?.setNoDelay(true);
    const end = () => {
      // Neither end of a held connection learns that the other is gone.
      if (isCut || pair.silenced) return;
      destroy(pair);
      pairs.delete(pair);
    };
    for (const socket of socketsOf(pair)) {
      socket.on('error', () => undefined);
      socket.on('close', end);
    }
    if (isCut) inbound.pause();
    else flow(pair);
  };
  const flow = (pair: Pair): void => {
    const {inbound, outbound} = pair;
    if (outbound === undefined) return;
    pass(outbound, inbound, delayMs);
    if (!isCutOneWay) pass(inbound, outbound, delayMs);
  };
  const flowAnew = (): void => {
    for (const pair of pairs) {
      if (pair.silenced || isCut) continue;
      hold(pair);
      flow(pair);
    }
  };
  const server = net.createServer({noDelay: true}, open);
  const port = await listen(server);
  const shut = (): void => {
    server.close();
    for (const pair of pairs) {
      if (!pair.silenced) destroy(pair);
    }
  };

  return {
    address: `http://127.0.0.1:${port}`,
    setTarget: (wanted) => {
      target = wanted;
    },
    cut: () => {
      isCut = true;
      for (const pair of pairs) hold(pair);
    },
    cutOneWay: () => {
      isCutOneWay = true;
      flowAnew();
    },
    delay: (ms) => {
      delayMs = ms;
      flowAnew();
    },
    reset: () => {
      for (const pair of pairs) {
        if (pair.silenced) continue;
        for (const socket of socketsOf(pair)) socket.resetAndDestroy();
      }
    },
    heal: () => {
      const wasHindered = isCut || isCutOneWay || delayMs > 0;
      if (!wasHindered) return;
      isCut = false;
      isCutOneWay = false;
      delayMs = 0;
      for (const pair of [...pairs]) {
        if (pair.silenced) continue;
        if (socketsOf(pair).some((socket) => socket.destroyed)) destroy(pair);
        else if (pair.outbound === undefined) destroy(pair);
        else {
          hold(pair);
          flow(pair);
        }
      }
      if (refused) shut();
    },
    silenceOpen: () => {
      for (const pair of pairs) {
        pair.silenced = true;
        hold(pair);
      }
    },
    refuse: () => {
      refused = true;
      if (!isCut) shut();
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

function socketsOf(pair: Pair): net.Socket[] {
  return pair.outbound === undefined
    ? [pair.inbound]
    : [pair.inbound, pair.outbound];
}

/** Passes on what one end sends to the other. */
function pass(from: net.Socket, to: net.Socket, delayMs: number): void {
  if (delayMs === 0) {
    from.pipe(to);
    return;
  }
  const slow = new stream.Transform({
    transform(piece: Buffer, _encoding, done) {
      setTimeout(() => done(null, piece), delayMs);
    },
  });
  from.pipe(slow).pipe(to);
}

function hold(pair: Pair): void {
  for (const socket of socketsOf(pair)) {
    socket.unpipe();
    socket.pause();
  }
}

function destroy(pair: Pair): void {
  for (const socket of socketsOf(pair)) socket.destroy();
}
