/** Readable reasons why a job waits. */
import type * as jobQueue from './job_queue.js';
import type * as reservations from './reservations.js';

/** Returns one sentence on a waiting job. */
export function explainWait(
  job: jobQueue.WaitingJob,
  reservation: reservations.Reservation | undefined,
  avoided: ReadonlySet<string> | undefined,
): string {
  const tasks = `${job.waiting.size} tasks wait`;
  if (reservation !== undefined) {
    return `${tasks}: resources are reserved on ${reservation.slots.size} workers, which are expected to have drained by ${new Date(reservation.readyAt).toISOString()}`;
  }
  const state = job.group?.state;
  if (state === 'over_quota') {
    return `${tasks}: team ${job.team.id} is at its quota`;
  }
  if (state === 'no_room' || job.blockedSince !== undefined) {
    const exclusion =
      avoided === undefined
        ? ''
        : `; the job isn't placed on ${[...avoided].join(', ')}, where it failed`;
    return `${tasks}: no worker has enough free resources at present${exclusion}`;
  }
  return `${tasks}: more urgent jobs or teams with a smaller share go first`;
}
