/** The relays of one cell: a path for each pair of named ends. */
import * as relay from './relay.js';

/** Paths between an entry and its surroundings, by name. */
export interface Network {
  /** Makes or moves the path; gives the address that `from` has to use. */
  connect(from: string, to: string, address: string): Promise<string>;
  /** Cuts both directions between every `left` and every `right`. */
  cut(left: readonly string[], right: readonly string[]): void;
  /** Holds what either side sends on connections that it opened. */
  cutOneWay(left: readonly string[], right: readonly string[]): void;
  delay(left: readonly string[], right: readonly string[], ms: number): void;
  reset(left: readonly string[], right: readonly string[]): void;
  /** Ends cuts and delays. */
  heal(left: readonly string[], right: readonly string[]): void;
  silenceOpen(left: readonly string[], right: readonly string[]): void;
  /** That end is gone for good: every path to it refuses connections. */
  refuse(to: string): void;
  close(): Promise<void>;
}

/** Makes a network without paths. */
export function createNetwork(): Network {
  const relays = new Map<string, Map<string, relay.Relay>>();
  /** One after another, so that two callers never lay one path twice. */
  let laying: Promise<unknown> = Promise.resolve();

  const between = (
    left: readonly string[],
    right: readonly string[],
  ): relay.Relay[] => {
    const found: Array<relay.Relay | undefined> = [];
    for (const one of left) {
      for (const other of right) {
        found.push(relays.get(one)?.get(other), relays.get(other)?.get(one));
      }
    }
    return found.filter((path) => path !== undefined);
  };

  const lay = async (
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
      const laid = laying.then(() => lay(from, to, address));
      laying = laid;
      return laid;
    },
    cut: (left, right) => {
      for (const path of between(left, right)) path.cut();
    },
    cutOneWay: (left, right) => {
      for (const path of between(left, right)) path.cutOneWay();
    },
    delay: (left, right, ms) => {
      for (const path of between(left, right)) path.delay(ms);
    },
    reset: (left, right) => {
      for (const path of between(left, right)) path.reset();
    },
    heal: (left, right) => {
      for (const path of between(left, right)) path.heal();
    },
    silenceOpen: (left, right) => {
      for (const path of between(left, right)) path.silenceOpen();
    },
    refuse: (to) => {
      for (const paths of relays.values()) paths.get(to)?.refuse();
    },
    close: async () => {
      const all = [...relays.values()].flatMap((paths) => [...paths.values()]);
      await Promise.all(all.map((path) => path.close()));
    },
  };
}
