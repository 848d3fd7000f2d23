/** Rules on gangs. */
import type * as history from '../model/history.js';
import type * as finding from './finding.js';

/**
 * A disruption excuses a gang that waits in vain this long before and after:
 * whoever was starting its members may be gone.
 */
const DISRUPTION_WINDOW_MS = 6_000;

/** Members that waited in vain for the others, with no disruption near. */
export function findIncompleteGangs(
  events: readonly history.HistoryEvent[],
): finding.Finding[] {
  const disruptedAt = events
    .filter(isDisruption)
    .map((event): number => event.at);
  return events.flatMap((event) => {
    if (event.type !== 'run_ended' || event.how !== 'alone') return [];
    const isExcused = disruptedAt.some(
      (at) => Math.abs(at - event.at) <= DISRUPTION_WINDOW_MS,
    );
    if (isExcused) return [];
    const detail = `${event.taskId}: attempt ${event.attempt} on ${event.workerId} waited for the others in vain`;
    return [{promise: 'gangs start whole', detail}];
  });
}

function isDisruption(event: history.HistoryEvent): boolean {
  return (
    event.type === 'disruption' ||
    event.type === 'worker_left' ||
    event.type === 'worker_crashed'
  );
}
