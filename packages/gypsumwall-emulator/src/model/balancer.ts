/** Load balancer: spreads callers over the entries that report ready. */
import * as types from '@gypsumwall/types';

/** The entries in rotation. */
export interface Balancer {
  /** Picks an entry for a try of a call; `attempt` is the number of the try. */
  pick(caller: number, attempt: number): string;
  listReady(): readonly string[];
  stop(): void;
}

/** Options of {@link startBalancer}. */
export interface BalancerOptions {
  readonly clock: types.clock.Clock;
  readonly entries: readonly string[];
  readonly checkReady: (entry: string) => Promise<boolean>;
}

const PROBE_INTERVAL_MS = 1_000;
/** This many consecutive failed probes take an entry out of rotation. */
const MAX_FAILED_PROBES = 2;

/** Starts probing the entries. */
export function startBalancer(options: BalancerOptions): Balancer {
  const {clock, entries} = options;
  const failedProbes = new Map(
    entries.map((entry) => [entry, MAX_FAILED_PROBES]),
  );
  const stopped = new AbortController();

  async function probe(entry: string): Promise<void> {
    const isReady = await options.checkReady(entry);
    failedProbes.set(entry, isReady ? 0 : (failedProbes.get(entry) ?? 0) + 1);
  }

  async function probeAll(): Promise<void> {
    while (!stopped.signal.aborted) {
      await Promise.all(entries.map(probe));
      await types.clock.sleepFor(clock, PROBE_INTERVAL_MS, stopped.signal);
    }
  }

  const listReady = () =>
    entries.filter(
      (entry) =>
        (failedProbes.get(entry) ?? MAX_FAILED_PROBES) < MAX_FAILED_PROBES,
    );

  void probeAll();
  return {
    listReady,
    stop: () => stopped.abort(),
    pick(caller, attempt) {
      const inRotation = listReady();
      const candidates = inRotation.length > 0 ? inRotation : entries;
      return candidates[(caller + attempt) % candidates.length] ?? '';
    },
  };
}
