/**
 * The attempts of recent calls at one entry. A caller repeats a call without an
 * answer, and a repeat may also arrive after the answer. Then several calls are
 * made for one job, and a refusal of a later one must not hide that an earlier
 * one was or may have been applied.
 */
import type * as organisations from '@gypsumwall/organisations';
import * as types from '@gypsumwall/types';
import * as callAttempts from './call_attempts.js';

/**
 * How long a call counts. The store may carry out an unanswered append seconds
 * later, and callers repeat their calls for 3 s; milliseconds.
 */
const MEMORY_MS = 15_000;
/** Maximum number of jobs whose calls are kept; the oldest are dropped. */
const MAX_JOBS = 5_000;

/** The recent calls of one kind. */
export interface RecentAttempts {
  /** Returns the attempts of a call about this job that has just arrived. */
  open(
    id: types.ids.JobId,
    caller: organisations.keyDirectory.Caller | undefined,
  ): callAttempts.CallAttempts;
}

interface JobCalls {
  readonly calls: readonly callAttempts.CallAttempts[];
  readonly until: types.clock.MonotonicMs;
}

/** Creates an empty list. */
export function createRecentAttempts(clock: types.clock.Clock): RecentAttempts {
  // In the order of their newest calls.
  const jobs = new Map<string, JobCalls>();

  function dropOld(): void {
    for (const [key, {until}] of jobs) {
      if (clock.monotonic() < until && jobs.size <= MAX_JOBS) return;
      jobs.delete(key);
    }
  }

  return {
    open(id, caller) {
      dropOld();
      // Another organisation's call with the same id is about another job.
      const key = `${caller?.organisation ?? ''}/${id}`;
      const earlier = (jobs.get(key)?.calls ?? []).filter(
        (call) => call.standing() !== 'without_effect',
      );
      const call = callAttempts.createCallAttempts(earlier);
      const until = types.clock.after(clock.monotonic(), MEMORY_MS);
      jobs.delete(key);
      jobs.set(key, {calls: [...earlier, call], until});
      return call;
    },
  };
}
