/**
 * The highest sequence of each producer in a stream.
 *
 * Failure: an append times out, its producer continues, and the log stores the
 * old append minutes later. Symptom: a record takes effect although its caller
 * got `not_run`. Every reader therefore drops records whose sequence is not
 * above their producer's highest one. All readers see the same order, so they
 * drop the same records. Once a later record is in the log, an earlier one that
 * is not there can never take effect.
 */

/** Beyond this number, the producers with the oldest records are evicted. */
const MAX_PRODUCERS = 20_000;

/** Highest sequences of a stream's producers. */
export interface ProducerSequences {
  /** Returns whether the record is valid, and if so stores its sequence. */
  accept(producer: string, sequence: number): boolean;
  entries(): ReadonlyArray<readonly [string, number]>;
  restore(entries: ReadonlyArray<readonly [string, number]>): void;
}

/** Creates an instance without producers. */
export function createProducerSequences(): ProducerSequences {
  let highest = new Map<string, number>();
  return {
    accept: (producer, sequence) => {
      const highestSequence = highest.get(producer);
      if (highestSequence !== undefined && sequence <= highestSequence)
        return false;
      // Deleting first keeps the map ordered by the latest record.
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
