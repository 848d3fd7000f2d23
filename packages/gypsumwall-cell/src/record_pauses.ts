/** Remembers the longest pause between the recent records of a holder. */
import type * as types from '@gypsumwall/types';

/** How long a pause is remembered at least; milliseconds. */
const MEMORY_MS = 8_000;

/** Pauses between the records of one holder. */
export interface RecordPauses {
  /** A pause between two records of the same holder has ended. */
  add(pauseMs: number): void;
  /**
   * Another holder has begun. Pauses of the given length are expected of it,
   * and such as its predecessor made at the same work; the newest of those led
   * to the takeover and is forgotten.
   */
  reset(expectedMs: number): void;
  /** The longest recent pause; 0 without any; milliseconds. */
  longestMs(): number;
}

/** Creates an empty memory. */
export function createRecordPauses(clock: types.clock.Clock): RecordPauses {
  let before = 0;
  let current = 0;
  /** The longest pause before the newest one. */
  let beforeNewest = 0;
  let startedAt = clock.monotonic();

  function advance(): void {
    const ageMs = clock.monotonic() - startedAt;
    if (ageMs < MEMORY_MS) return;
    before = ageMs < 2 * MEMORY_MS ? current : 0;
    current = 0;
    startedAt = clock.monotonic();
  }

  return {
    add(pauseMs) {
      advance();
      beforeNewest = Math.max(before, current);
      current = Math.max(current, pauseMs);
    },
    reset(expectedMs) {
      advance();
      const usualMs = Math.min(beforeNewest, Math.max(before, current));
      before = 0;
      current = Math.max(expectedMs, usualMs);
      beforeNewest = current;
      startedAt = clock.monotonic();
    },
    longestMs() {
      advance();
      return Math.max(before, current);
    },
  };
}
