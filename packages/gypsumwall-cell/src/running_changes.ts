/**
 * The difference between two lists of attempts that a worker reports as running.
 * Most attempts of a report were in the one before, with other percentages.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';

type RunningAttempt = scheduling.schedulerTypes.RunningAttempt;

/** Task, attempt, saved progress, percent. */
type RunningRow = readonly [types.ids.TaskId, number, string, number];
/**
 * What changed since the last report of the worker: positions of attempts that
 * are not listed any more or have other saved progress, the percentages of the
 * others, and new attempts.
 */
export type RunningChanges = readonly [
  removed: readonly number[],
  percents: readonly number[],
  added: readonly RunningRow[],
];

/** Returns what changes the first list to the second, up to its order. */
export function findChanges(
  before: readonly RunningAttempt[],
  after: readonly RunningAttempt[],
): RunningChanges {
  const rest = new Map(after.map((one) => [keyOf(one), one]));
  const removed: number[] = [];
  const percents: number[] = [];
  before.forEach((one, position) => {
    const key = keyOf(one);
    const still = rest.get(key);
    if (still === undefined || still.checkpoint !== one.checkpoint) {
      removed.push(position);
      return;
    }
    rest.delete(key);
    percents.push(still.percent);
  });
  const added = [...rest.values()].map(
    ({taskId, attempt, checkpoint, percent}) =>
      [taskId, attempt, checkpoint, percent] as const,
  );
  return [removed, percents, added];
}

/** Returns the list with the changes; kept attempts come first. */
export function applyChanges(
  before: readonly RunningAttempt[],
  [removed, percents, added]: RunningChanges,
): RunningAttempt[] {
  const gone = new Set(removed);
  const kept = before.filter((_, position) => !gone.has(position));
  return [
    ...kept.map((one, nth) => ({
      ...one,
      percent: percents[nth] ?? one.percent,
    })),
    ...added.map(([taskId, attempt, checkpoint, percent]) => ({
      taskId,
      attempt,
      checkpoint,
      percent,
    })),
  ];
}

function keyOf({taskId, attempt}: RunningAttempt): string {
  return `${taskId}#${attempt}`;
}
