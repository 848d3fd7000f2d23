/** Spreads callers over the entries that say they are ready. */
import * as types from '@gypsumwall/types';

/** The entries in rotation. */
export interface Balancer {
  /** An entry for the caller's next attempt. */
  pick(caller: number, attempt: number): string;
  ready(): readonly string[];
  stop(): void;
}

/** What the balancer is made with. */
export interface BalancerOptions {
  readonly clock: types.clock.Clock;
  readonly entries: readonly string[];
  readonly asksReady: (entry: string) => Promise<boolean>;
}

const ASK_EVERY_MS = 1_000;
/** So many misses on end take an entry out. */
const MISSES = 2;

/** Starts to ask the entries. */
export function startBalancer(options: BalancerOptions): Balancer {
  const {clock, entries} = options;
  const missed = new Map(entries.map((entry) => [entry, MISSES]));
  const stopped = new AbortController();

  async function ask(entry: string): Promise<void> {
    const isReady = await options.asksReady(entry);
    missed.set(entry, isReady ? 0 : (missed.get(entry) ?? 0) + 1);
  }

  async function askAll(): Promise<void> {
    while (!stopped.signal.aborted) {
      await Promise.all(entries.map(ask));
      await types.clock.sleepFor(clock, ASK_EVERY_MS, stopped.signal);
    }
  }

  const ready = () =>
    entries.filter((entry) => (missed.get(entry) ?? MISSES) < MISSES);

  void askAll();
  return {
    ready,
    stop: () => stopped.abort(),
    pick(caller, attempt) {
      const inRotation = ready();
      const from = inRotation.length > 0 ? inRotation : entries;
      return from[(caller + attempt) % from.length] ?? '';
    },
  };
}
