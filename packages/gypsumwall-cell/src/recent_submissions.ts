/**
 * Admits newly read jobs to the scheduler only while the holder is certain to
 * hold the cell. Otherwise an old holder that still reads the log would start
 * new jobs in parallel with its successor, which only searches for attempts of
 * jobs that existed at the takeover. A job that is read while this is uncertain
 * waits until an append that was sent after the read is confirmed.
 */
import * as types from '@gypsumwall/types';
import type * as jobTable from './job_table.js';
import * as pauseDetector from './pause_detector.js';
import * as failoverPolicy from './failover_policy.js';

/** Dependencies of the admission of jobs. */
export interface RecentSubmissionsParts {
  readonly clock: types.clock.Clock;
  /** When the holder's last confirmed append was sent. */
  readonly confirmedAt: () => types.clock.MonotonicMs;
  readonly admit: (job: jobTable.JobEntry) => void;
}

/** Jobs that were read and may have to wait. */
export interface RecentSubmissions {
  add(job: jobTable.JobEntry): void;
  /** Admits the waiting jobs for which the cell is now certain to be held. */
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
