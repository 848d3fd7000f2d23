/**
 * Detects that the instance was suspended. The monotonic clock stops during a
 * suspension while the wall clock goes on, so a holder that resumes would
 * consider its last confirmation recent and act in parallel with its successor.
 * A step of the wall clock looks the same and only costs one confirmation.
 */
import type * as types from '@gypsumwall/types';

/**
 * A larger change of the difference between the clocks from one check to the
 * next is a suspension or a step of the wall clock, not drift; milliseconds.
 */
const MAX_DRIFT_MS = 250;

/** Watches one process. */
export interface PauseDetector {
  /** When the last suspension was detected; 0 if there was none. */
  lastDetectedAt(): types.clock.MonotonicMs;
}

/** Creates a detector; each call of `lastDetectedAt` is also a check. */
export function createPauseDetector(clock: types.clock.Clock): PauseDetector {
  let clockOffset = clock.wall() - clock.monotonic();
  let detectedAt = 0 as types.clock.MonotonicMs;
  return {
    lastDetectedAt() {
      const now = clock.monotonic();
      const current = clock.wall() - now;
      if (Math.abs(current - clockOffset) > MAX_DRIFT_MS) detectedAt = now;
      clockOffset = current;
      return detectedAt;
    },
  };
}
