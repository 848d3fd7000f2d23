/**
 * Which sequence of each producer the stream has reached.
 *
 * Failure: an append times out, its producer goes on, and the log takes the
 * old append minutes later. Symptom: a record that its caller was told had no
 * effect takes effect. Every reader drops a record whose sequence its
 * producer has already passed, and as all readers see one order they all drop
 * the same ones; so once a later record stands in the log, an earlier one
 * that isn't there never counts any more.
 */

/** Producers kept; the longest unheard are forgotten first. */
const KEPT_PRODUCERS = 20_000;

/** Counts of a stream's producers. */
export interface ProducerCounts {
  /** Whether the record counts; remembers it if so. */
  take(producer: string, sequence: number): boolean;
  entries(): ReadonlyArray<readonly [string, number]>;
  restore(entries: ReadonlyArray<readonly [string, number]>): void;
}

/** Makes empty counts. */
export function createProducerCounts(): ProducerCounts {
  let highest = new Map<string, number>();
  return {
    take: (producer, sequence) => {
      const seen = highest.get(producer);
      if (seen !== undefined && sequence <= seen) return false;
      // Deleting first keeps the map in order of the latest word.
      highest.delete(producer);
      highest.set(producer, sequence);
      if (highest.size > KEPT_PRODUCERS) forgetOldest(highest);
      return true;
    },
    entries: () => [...highest],
    restore: (entries) => {
      highest = new Map(entries);
    },
  };
}

function forgetOldest(highest: Map<string, number>): void {
  const oldest = highest.keys().next();
  if (oldest.done !== true) highest.delete(oldest.value);
}
