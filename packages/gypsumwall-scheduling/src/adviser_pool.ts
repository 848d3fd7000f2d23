/**
 * Spreads calls to the adviser over the entries. The adviser handles one call
 * at a time for each calling instance and a call takes up to 0.8 s, so calls
 * of one entry alone take longer than there is time: at 1.2 large calls, 4.6
 * middle and 34 small ones a second they add up to 1.8 s of calls a second.
 * Large calls keep to the first three fifths of the entries, so that a small
 * call of an urgent job never waits behind one on all of them.
 */

/** Calls above this many milliseconds are large. */
const LARGE_CALL_MS = 250;
/**
 * Share of the entries that large calls keep to. Of 246 workers' wide gangs
 * 0.953 are on time with it and 0.866 with half; urgent jobs the same (virtual
 * cell, five seeds).
 */
const LARGE_SHARE = 0.6;
/**
 * Calls that can wait leave this share of the lanes empty, for the small calls
 * of urgent jobs: otherwise those of gangs in line take every lane that comes
 * free. No gain is measured: urgent jobs are as often on time without it, 0.984
 * for 0.982 (virtual cell, five seeds), where gangs seldom wait for long.
 */
const KEPT_EMPTY_SHARE = 0.25;
/**
 * Calls beyond this wait at the holder, which picks the most urgent one once an
 * entry is free. In line at the adviser they would be handled in the order in
 * which they came, however late their jobs are by then; milliseconds.
 */
const LONGEST_LINE_MS = 100;

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
  return callMs > LARGE_CALL_MS;
}

/** The entries that may call the adviser, and what each has in line. */
export interface AdviserPool<Entry extends string> {
  /**
   * Takes the shortest line; undefined if all are long enough. A call that can
   * wait takes an empty lane while enough others are.
   */
  acquire(
    entries: readonly Entry[],
    callMs: number,
    needed: boolean,
  ): Entry | undefined;
  release(entry: Entry, callMs: number): void;
  /** How many calls the entries would take now. */
  capacity(entries: readonly Entry[]): AdviceCapacity;
  /** Milliseconds of calls that an entry has in line. */
  queuedMs(entry: Entry): number;
}

/** Creates lanes with nothing in line. */
export function createAdviserPool<Entry extends string>(): AdviserPool<Entry> {
  const inLineMs = new Map<Entry, number>();
  const lineOf = (entry: Entry) => inLineMs.get(entry) ?? 0;

  const emptyLanes = (entries: readonly Entry[]) =>
    entries.filter((entry) => lineOf(entry) === 0).length;

  /** The entries that large calls keep to. */
  function forLarge(entries: readonly Entry[]): Entry[] {
    const count = Math.max(1, Math.round(entries.length * LARGE_SHARE));
    return [...entries].sort().slice(0, count);
  }

  const isOpen = (entry: Entry) => lineOf(entry) <= LONGEST_LINE_MS;

  return {
    acquire(entries, callMs, needed) {
      const ordered = [...entries].sort();
      const open = isLarge(callMs) ? forLarge(entries) : ordered;
      let best: Entry | undefined;
      for (const entry of open) {
        if (best === undefined || lineOf(entry) < lineOf(best)) best = entry;
      }
      const longest = needed ? LONGEST_LINE_MS : 0;
      if (best === undefined || lineOf(best) > longest) return undefined;
      if (!needed && emptyLanes(ordered) <= ordered.length * KEPT_EMPTY_SHARE) {
        return undefined;
      }
      inLineMs.set(best, lineOf(best) + callMs);
      return best;
    },
    queuedMs: lineOf,
    capacity(entries) {
      const kept = Math.floor(entries.length * KEPT_EMPTY_SHARE);
      return {
        needed: entries.filter(isOpen).length,
        large: forLarge(entries).filter(isOpen).length,
        spare: Math.max(0, emptyLanes(entries) - kept),
      };
    },
    release(entry, callMs) {
      inLineMs.set(entry, Math.max(0, lineOf(entry) - callMs));
    },
  };
}
