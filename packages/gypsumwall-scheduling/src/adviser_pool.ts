/**
 * Spreads calls to the adviser over the entries. The adviser handles one call
 * at a time for each calling instance and a call takes up to 0.8 s, so calls
 * of one entry alone take longer than there is time: at 1.2 large calls, 4.6
 * middle and 34 small ones a second they add up to 1.8 s of calls a second.
 * Large calls keep to the first three fifths of the entries, so that a small
 * call of an urgent job never waits behind one on all of them.
 */

/** Calls above this many milliseconds are large. */
const LARGE_CALL_THRESHOLD_MS = 250;
/**
 * Share of the entries that large calls keep to. Of 246 workers' wide gangs
 * 0.953 are on time with it and 0.866 with half; urgent jobs the same (virtual
 * cell, five seeds).
 */
const LARGE_CALL_ENTRY_SHARE = 0.6;
/**
 * Calls that can wait leave this share of the lanes empty, for the small calls
 * of urgent jobs: otherwise those of gangs in line take every lane that comes
 * free. No gain is measured: urgent jobs are as often on time without it, 0.984
 * for 0.982 (virtual cell, five seeds), where gangs seldom wait for long.
 */
const IDLE_ENTRY_SHARE = 0.25;
/**
 * Calls beyond this wait at the holder, which picks the most urgent one once an
 * entry is free. In line at the adviser they would be handled in the order in
 * which they came, however late their jobs are by then; milliseconds.
 */
const MAX_QUEUE_MS = 100;

/** How many calls can be made now. */
export interface AdviceCapacity {
  /** Calls without whose answer nothing of their step can start. */
  readonly needed: number;
  /** Large calls among them. */
  readonly large: number;
  /** Calls that can wait. */
  readonly spare: number;
}

/** Whether a call that takes so long keeps to its share of the entries. */
export function isLarge(callMs: number): boolean {
  return callMs > LARGE_CALL_THRESHOLD_MS;
}

/** The entries that may call the adviser, and what each has in line. */
export interface AdviserPool<Entry extends string> {
  /**
   * Takes the shortest line; undefined if all are long enough. A call that can
   * wait takes an empty lane while enough others are.
   */
  take(
    entries: readonly Entry[],
    callMs: number,
    needed: boolean,
  ): Entry | undefined;
  finish(entry: Entry, callMs: number): void;
  /** How many calls the entries would take now. */
  capacity(entries: readonly Entry[]): AdviceCapacity;
  /** Milliseconds of calls that an entry has in line. */
  lineMs(entry: Entry): number;
}

/** Creates lanes with nothing in line. */
export function createAdviserPool<Entry extends string>(): AdviserPool<Entry> {
  const queuedMsByEntry = new Map<Entry, number>();
  const queuedMsOf = (entry: Entry) => queuedMsByEntry.get(entry) ?? 0;

  const idleEntries = (entries: readonly Entry[]) =>
    entries.filter((entry) => queuedMsOf(entry) === 0).length;

  /** The entries that large calls keep to. */
  function entriesForLarge(entries: readonly Entry[]): Entry[] {
    const count = Math.max(
      1,
      Math.round(entries.length * LARGE_CALL_ENTRY_SHARE),
    );
    return [...entries].sort().slice(0, count);
  }

  const acceptsCalls = (entry: Entry) => queuedMsOf(entry) <= MAX_QUEUE_MS;

  return {
    take(entries, callMs, needed) {
      const ordered = [...entries].sort();
      const eligible = isLarge(callMs) ? entriesForLarge(entries) : ordered;
      let shortest: Entry | undefined;
      for (const entry of eligible) {
        if (shortest === undefined || queuedMsOf(entry) < queuedMsOf(shortest))
          shortest = entry;
      }
      const maxQueuedMs = needed ? MAX_QUEUE_MS : 0;
      if (shortest === undefined || queuedMsOf(shortest) > maxQueuedMs)
        return undefined;
      if (
        !needed &&
        idleEntries(ordered) <= ordered.length * IDLE_ENTRY_SHARE
      ) {
        return undefined;
      }
      queuedMsByEntry.set(shortest, queuedMsOf(shortest) + callMs);
      return shortest;
    },
    lineMs: queuedMsOf,
    capacity(entries) {
      const keptIdle = Math.floor(entries.length * IDLE_ENTRY_SHARE);
      return {
        needed: entries.filter(acceptsCalls).length,
        large: entriesForLarge(entries).filter(acceptsCalls).length,
        spare: Math.max(0, idleEntries(entries) - keptIdle),
      };
    },
    finish(entry, callMs) {
      queuedMsByEntry.set(entry, Math.max(0, queuedMsOf(entry) - callMs));
    },
  };
}
