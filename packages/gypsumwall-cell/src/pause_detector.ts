/**
 * Notices that the instance was suspended. The monotonic clock doesn't count
 * that time while the time of day does, so a holder that wakes up would take
 * its last confirmation for fresh and act beside its successor. A step of the
 * time of day looks the same and costs one confirmation.
 */
import type * as types from '@gypsumwall/types';

/** A larger difference than this between two checks is no drift; ms. */
const DRIFT_TOLERANCE_MS = 250;

/** Watches one process. */
export interface PauseDetector {
  /** When the last suspension was noticed; 0 if there was none. */
  lastDetectedAt(): types.clock.MonotonicMs;
}

/** Creates a watch; each question is also a check. */
export function createPauseDetector(clock: types.clock.Clock): PauseDetector {
  let clockOffset = clock.wall() - clock.monotonic();
  let detectedAt = 0 as types.clock.MonotonicMs;
  return {
    lastDetectedAt() {
      const now = clock.monotonic();
      const current = clock.wall() - now;
      if (Math.abs(current - clockOffset) > DRIFT_TOLERANCE_MS)
        detectedAt = now;
      clockOffset = current;
      return detectedAt;
    },
  };
}
