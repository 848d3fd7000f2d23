/**
 * The recent calls at one entry. A caller repeats a call without an answer, and
 * a repeat may also arrive after the answer. Then several calls are made for
 * one job, and a refusal of a later one must not hide that an earlier one was or
 * may have been applied.
 */
import type * as organisations from '@gypsumwall/organisations';
import * as types from '@gypsumwall/types';
import * as callAttempts from './call_attempts.js';

/**
 * How long a call counts. The store may carry out an unanswered append seconds
 * later, and callers repeat their calls for 3 s; milliseconds.
 */
const MEMORY_MS = 15_000;
/** Maximum number of jobs with open, and with applied calls; drops the oldest. */
const MAX_JOBS = 5_000;

/** The recent calls of one kind. */
export interface RecentAttempts {
  /** Returns the attempts of a call about this job that has just arrived. */
  open(
    id: types.ids.JobId,
    caller: organisations.keyDirectory.Caller | undefined,
  ): callAttempts.CallAttempts;
  /** Whether a call about this job may be applied later. */
  mayBeApplied(
    id: types.ids.JobId,
    caller: organisations.keyDirectory.Caller | undefined,
  ): boolean;
}

interface OpenCall {
  readonly attempts: callAttempts.CallAttempts;
  readonly until: types.clock.MonotonicMs;
}

/** Creates an empty list. */
export function createRecentAttempts(clock: types.clock.Clock): RecentAttempts {
  // Both in the order of their newest calls.
  const openCalls = new Map<string, readonly OpenCall[]>();
  const appliedUntil = new Map<string, types.clock.MonotonicMs>();

  const isOver = (until: types.clock.MonotonicMs) => until <= clock.monotonic();

  function dropOld(): void {
    dropOldest(openCalls, (calls) => calls.every(({until}) => isOver(until)));
    dropOldest(appliedUntil, isOver);
  }

  function remember(key: string, attempts: callAttempts.CallAttempts): void {
    const until = types.clock.after(clock.monotonic(), MEMORY_MS);
    const calls = openCalls.get(key) ?? [];
    openCalls.delete(key);
    openCalls.set(key, [
      ...calls.filter((call) => !isOver(call.until)),
      {attempts, until},
    ]);
  }

  function forget(key: string, attempts: callAttempts.CallAttempts): void {
    const calls = openCalls.get(key) ?? [];
    const others = calls.filter((call) => call.attempts !== attempts);
    if (others.length > 0) openCalls.set(key, others);
    else openCalls.delete(key);
  }

  function onConcluded(key: string, attempts: callAttempts.CallAttempts): void {
    switch (attempts.standing()) {
      case 'open':
        return;
      case 'applied':
        appliedUntil.delete(key);
        appliedUntil.set(key, types.clock.after(clock.monotonic(), MEMORY_MS));
        break;
      case 'without_effect':
        break;
    }
    forget(key, attempts);
  }

  const isOpen = ({attempts, until}: OpenCall) =>
    !isOver(until) && attempts.standing() === 'open';

  return {
    mayBeApplied: (id, caller) =>
      openCalls.get(keyOf(id, caller))?.some(isOpen) ?? false,
    open(id, caller) {
      dropOld();
      const key = keyOf(id, caller);
      const earlier = openCalls.get(key) ?? [];
      const attempts = callAttempts.createCallAttempts({
        isApplied: () => !isOver(appliedUntil.get(key) ?? NEVER),
        mayBeApplied: () => earlier.some(isOpen),
      });
      remember(key, attempts);
      return {
        ...attempts,
        conclude(answer, isStored) {
          const concluded = attempts.conclude(answer, isStored);
          onConcluded(key, attempts);
          return concluded;
        },
      };
    },
  };
}

/** Another organisation's call with the same id is about another job. */
function keyOf(
  id: types.ids.JobId,
  caller: organisations.keyDirectory.Caller | undefined,
): string {
  return `${caller?.organisation ?? ''}/${id}`;
}

const NEVER = -Infinity as types.clock.MonotonicMs;

function dropOldest<Value>(
  jobs: Map<string, Value>,
  isOld: (value: Value) => boolean,
): void {
  for (const [key, value] of jobs) {
    if (!isOld(value) && jobs.size <= MAX_JOBS) return;
    jobs.delete(key);
  }
}
