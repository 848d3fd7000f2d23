/** Remembers the longest pause between the recent records of a holder. */
import type * as types from '@gypsumwall/types';

/** How long a pause is remembered at least; milliseconds. */
const MEMORY_MS = 8_000;

/** Pauses between the records of one holder. */
export interface RecordPauses {
  /** A pause between two records of the same holder has ended. */
  add(pauseMs: number): void;
  /**
   * Forgets everything, because another holder has begun. A pause of the given
   * length is expected of it.
   */
  reset(expectedMs: number): void;
  /** The longest recent pause; 0 without any; milliseconds. */
  longestMs(): number;
}

/** Creates an empty memory. */
export function createRecordPauses(clock: types.clock.Clock): RecordPauses {
  let before = 0;
  let current = 0;
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
      current = Math.max(current, pauseMs);
    },
    reset(expectedMs) {
      before = 0;
      current = expectedMs;
      startedAt = clock.monotonic();
    },
    longestMs() {
      advance();
      return Math.max(before, current);
    },
  };
}
