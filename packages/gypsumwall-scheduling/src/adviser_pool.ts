/**
 * Distributes calls to the adviser over the entries. The adviser handles one
 * call at a time for each calling instance and a call takes up to 0.8 s. One
 * entry alone cannot make all calls: 1.2 large, 4.6 medium and 34 small ones a
 * second add up to 1.8 s of calls each second. Large calls use only the first
 * three fifths of the entries, so that a small call of an urgent job does not
 * wait behind large ones on every entry.
 */

/** Calls that take longer than this are large. */
const LARGE_CALL_THRESHOLD_MS = 250;
/**
 * Share of the entries that make large calls. With 246 workers, 0.953 of the
 * wide gangs are on time with this share and 0.866 with half; urgent jobs are
 * the same.
 */
const LARGE_CALL_ENTRY_SHARE = 0.6;
/**
 * Share of the entries that deferrable calls leave idle, for the small calls of
 * urgent jobs. Otherwise the calls of queued gangs would use every entry that
 * becomes free. Where gangs seldom wait for long there is no gain: urgent jobs
 * are as often on time without it, 0.984 compared with 0.982.
 */
const IDLE_ENTRY_SHARE = 0.25;
/**
 * An entry accepts no further call while the calls queued at it take longer
 * than this; milliseconds. Further calls wait at the holder, which picks the
 * most urgent one once an entry is free. Queued at the adviser, they would be
 * handled in order of arrival, however late their jobs are by then.
 */
const MAX_QUEUE_MS = 100;

/** Number of calls that can be made now. */
export interface AdviceCapacity {
  /** Calls without whose answer no task of their step can start. */
  readonly needed: number;
  /** Of these, large calls. */
  readonly large: number;
  /** Deferrable calls. */
  readonly spare: number;
}

/** Whether a call of this duration is large. */
export function isLarge(callMs: number): boolean {
  return callMs > LARGE_CALL_THRESHOLD_MS;
}

/** The entries that call the adviser and the calls queued at each. */
export interface AdviserPool<Entry extends string> {
  /**
   * Assigns a call to the entry with the shortest queue and returns the entry,
   * or undefined if all queues are too long. A deferrable call takes an idle
   * entry while enough others are idle.
   */
  acquire(
    entries: readonly Entry[],
    callMs: number,
    needed: boolean,
  ): Entry | undefined;
  release(entry: Entry, callMs: number): void;
  /** Returns how many calls the entries can take now. */
  capacity(entries: readonly Entry[]): AdviceCapacity;
  /** Returns the duration of the calls queued at an entry, in milliseconds. */
  queuedMs(entry: Entry): number;
}

/** Creates a pool without queued calls. */
export function createAdviserPool<Entry extends string>(): AdviserPool<Entry> {
  const queuedMsByEntry = new Map<Entry, number>();
  const queuedMsOf = (entry: Entry) => queuedMsByEntry.get(entry) ?? 0;

  const idleEntries = (entries: readonly Entry[]) =>
    entries.filter((entry) => queuedMsOf(entry) === 0).length;

  /** The entries that make large calls. */
  function entriesForLarge(entries: readonly Entry[]): Entry[] {
    const count = Math.max(
      1,
      Math.round(entries.length * LARGE_CALL_ENTRY_SHARE),
    );
    return [...entries].sort().slice(0, count);
  }

  const acceptsCalls = (entry: Entry) => queuedMsOf(entry) <= MAX_QUEUE_MS;

  return {
    acquire(entries, callMs, needed) {
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
    queuedMs: queuedMsOf,
    capacity(entries) {
      const keptIdle = Math.floor(entries.length * IDLE_ENTRY_SHARE);
      return {
        needed: entries.filter(acceptsCalls).length,
        large: entriesForLarge(entries).filter(acceptsCalls).length,
        spare: Math.max(0, idleEntries(entries) - keptIdle),
      };
    },
    release(entry, callMs) {
      queuedMsByEntry.set(entry, Math.max(0, queuedMsOf(entry) - callMs));
    },
  };
}
