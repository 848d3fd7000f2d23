/**
 * Start orders of a session whose answer is missing. A worker may carry such an
 * order out seconds later, even as another incarnation under the same id, which
 * knows nothing of stops before its start.
 */
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';

/**
 * An order that was sent this long ago is not carried out any more: the
 * platform delays orders by seconds; milliseconds.
 */
export const MAX_ORDER_DELAY_MS = 30_000;

/** A start order. */
export type StartReference = Pick<ports.StartCall, 'taskId' | 'attempt'>;

/** A start order that may be carried out yet. */
export interface UnansweredStart extends StartReference {
  readonly until: types.clock.MonotonicMs;
}

/** The unanswered start orders to one worker. */
export interface UnansweredStarts {
  add(start: StartReference): void;
  onAnswered(start: StartReference): void;
  /** Those that may be carried out yet. */
  list(): readonly UnansweredStart[];
}

/** Creates the orders of a session, with those of the sessions before it. */
export function createUnansweredStarts(
  clock: types.clock.Clock,
  earlier: readonly UnansweredStart[],
): UnansweredStarts {
  const starts = new Map(earlier.map((start) => [keyOf(start), start]));
  return {
    add({taskId, attempt}) {
      const until = types.clock.after(clock.monotonic(), MAX_ORDER_DELAY_MS);
      const start = {taskId, attempt, until};
      starts.set(keyOf(start), start);
    },
    onAnswered: (start) => void starts.delete(keyOf(start)),
    list() {
      const now = clock.monotonic();
      return [...starts.values()].filter(({until}) => now < until);
    },
  };
}

function keyOf({taskId, attempt}: StartReference): string {
  return `${taskId}#${attempt}`;
}
