/** The relays of one cell: one for each path between two named instances. */
import * as relay from './relay.js';

/** The paths between entries and the instances that they call. */
export interface Network {
  /**
   * Creates the relay of a path, or changes its target; returns the address
   * that `from` has to use.
   */
  connect(from: string, to: string, address: string): Promise<string>;
  /**
   * Cuts both directions between each instance of `left` and each of `right`.
   */
  cut(left: readonly string[], right: readonly string[]): void;
  /** Stops forwarding what either side sends on connections that it opened. */
  cutOneWay(left: readonly string[], right: readonly string[]): void;
  delay(left: readonly string[], right: readonly string[], ms: number): void;
  reset(left: readonly string[], right: readonly string[]): void;
  /** Ends cuts and delays. */
  heal(left: readonly string[], right: readonly string[]): void;
  silenceOpen(left: readonly string[], right: readonly string[]): void;
  /** Makes every path to the instance refuse connections, permanently. */
  refuseConnections(to: string): void;
  close(): Promise<void>;
}

/** Creates a network without paths. */
export function createNetwork(): Network {
  const relays = new Map<string, Map<string, relay.Relay>>();
  /**
   * Paths are set up one after another, so that two callers never create a
   * relay for the same path.
   */
  let pendingSetup: Promise<unknown> = Promise.resolve();

  const relaysBetween = (
    left: readonly string[],
    right: readonly string[],
  ): relay.Relay[] => {
    const found: Array<relay.Relay | undefined> = [];
    for (const leftEnd of left) {
      for (const rightEnd of right) {
        found.push(
          relays.get(leftEnd)?.get(rightEnd),
          relays.get(rightEnd)?.get(leftEnd),
        );
      }
    }
    return found.filter((path) => path !== undefined);
  };

  const setUpPath = async (
    from: string,
    to: string,
    address: string,
  ): Promise<string> => {
    const url = new URL(address);
    const target = {host: url.hostname, port: Number(url.port)};
    const paths = relays.get(from) ?? new Map<string, relay.Relay>();
    relays.set(from, paths);
    const known = paths.get(to);
    known?.setTarget(target);
    const path = known ?? (await relay.createRelay(target));
    paths.set(to, path);
    return path.address;
  };

  return {
    connect: (from, to, address) => {
      const setup = pendingSetup.then(() => setUpPath(from, to, address));
      pendingSetup = setup;
      return setup;
    },
    cut: (left, right) => {
      for (const path of relaysBetween(left, right)) path.cut();
    },
    cutOneWay: (left, right) => {
      for (const path of relaysBetween(left, right)) path.cutOneWay();
    },
    delay: (left, right, ms) => {
      for (const path of relaysBetween(left, right)) path.delay(ms);
    },
    reset: (left, right) => {
      for (const path of relaysBetween(left, right)) path.reset();
    },
    heal: (left, right) => {
      for (const path of relaysBetween(left, right)) path.heal();
    },
    silenceOpen: (left, right) => {
      for (const path of relaysBetween(left, right)) path.silenceOpen();
    },
    refuseConnections: (to) => {
      for (const paths of relays.values()) paths.get(to)?.refuseConnections();
    },
    close: async () => {
      const all = [...relays.values()].flatMap((paths) => [...paths.values()]);
      await Promise.all(all.map((path) => path.close()));
    },
  };
}
