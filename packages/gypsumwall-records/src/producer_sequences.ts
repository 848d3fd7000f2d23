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
const MAX_PRODUCERS = 20_000;

/** Counts of a stream's producers. */
export interface ProducerSequences {
  /** Whether the record counts; remembers it if so. */
  accept(producer: string, sequence: number): boolean;
  entries(): ReadonlyArray<readonly [string, number]>;
  restore(entries: ReadonlyArray<readonly [string, number]>): void;
}

/** Makes empty counts. */
export function createProducerSequences(): ProducerSequences {
  let highest = new Map<string, number>();
  return {
    accept: (producer, sequence) => {
      const seen = highest.get(producer);
      if (seen !== undefined && sequence <= seen) return false;
      // Deleting first keeps the map in order of the latest word.
      highest.delete(producer);
      highest.set(producer, sequence);
      if (highest.size > MAX_PRODUCERS) evictOldest(highest);
      return true;
    },
    entries: () => [...highest],
    restore: (entries) => {
      highest = new Map(entries);
    },
  };
}

function evictOldest(highest: Map<string, number>): void {
  const oldest = highest.keys().next();
  if (oldest.done !== true) highest.delete(oldest.value);
}
