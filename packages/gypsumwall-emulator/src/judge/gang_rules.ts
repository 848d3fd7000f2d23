/** Rules on gangs. */
import type * as history from '../model/history.js';
import type * as finding from './finding.js';

/**
 * A gang may remain incomplete within this time before or after a disruption,
 * because the entry or a worker that was starting its members may have failed.
 */
const DISRUPTION_WINDOW_MS = 6_000;

/** Finds gang members whose gang stayed incomplete without a disruption nearby. */
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
