/**
 * Takes up jobs that a holder reads only while it surely holds the cell.
 * Without this an old holder that still reads the log would start jobs beside
 * its successor, which looks for runs only of jobs that were there at the
 * takeover. A job that comes in doubt waits for an append that was sent after
 * it was read and is confirmed.
 */
import * as types from '@gypsumwall/types';
import type * as jobTable from './job_table.js';
import * as pauseDetector from './pause_detector.js';
import * as failoverPolicy from './failover_policy.js';

/** What decides whether a job is taken up. */
export interface RecentSubmissionsParts {
  readonly clock: types.clock.Clock;
  /** Sending time of the holder's last append that was confirmed. */
  readonly confirmedAt: () => types.clock.MonotonicMs;
  readonly admit: (job: jobTable.JobEntry) => void;
}

/** Jobs that were read and may have to wait. */
export interface RecentSubmissions {
  add(job: jobTable.JobEntry): void;
  /** Takes up what was in doubt and isn't any more. */
  tick(): void;
}

/** Creates an empty list. */
export function createRecentSubmissions(
  parts: RecentSubmissionsParts,
): RecentSubmissions {
  const {clock} = parts;
  const detector = pauseDetector.createPauseDetector(clock);
  let unconfirmed: {job: jobTable.JobEntry; at: types.clock.MonotonicMs}[] = [];

  function isConfirmed(readAt: types.clock.MonotonicMs): boolean {
    const confirmedAt = parts.confirmedAt();
    if (confirmedAt <= detector.lastDetectedAt()) return false;
    if (confirmedAt >= readAt) return true;
    return readAt - confirmedAt < failoverPolicy.MAX_CONFIRMATION_AGE_MS;
  }

  return {
    add(job) {
      const at = clock.monotonic();
      if (isConfirmed(at)) parts.admit(job);
      else unconfirmed.push({job, at});
    },
    tick() {
      const before = unconfirmed;
      unconfirmed = [];
      for (const entry of before) {
        if (isConfirmed(entry.at)) parts.admit(entry.job);
        else unconfirmed.push(entry);
      }
    },
  };
}
