/** Says for a person why a job waits. */
import type * as jobQueue from './job_queue.js';
import type * as reservations from './reservations.js';

/** One sentence on a waiting job. */
export function explainWait(
  job: jobQueue.WaitingJob,
  reservation: reservations.Reservation | undefined,
  avoided: ReadonlySet<string> | undefined,
): string {
  const tasks = `${job.waiting.size} tasks wait`;
  if (reservation !== undefined) {
    return `${tasks}: room is kept for it on ${reservation.slots.size} workers, which should have drained by ${new Date(reservation.readyAt).toISOString()}`;
  }
  const state = job.group?.state;
  if (state === 'over_quota') {
    return `${tasks}: team ${job.team.id} is at its quota`;
  }
  if (state === 'no_room' || job.blockedSince !== undefined) {
    const less =
      avoided === undefined
        ? ''
        : `; it is kept off ${[...avoided].join(', ')}, where it failed`;
    return `${tasks}: no worker has room at present${less}`;
  }
  return `${tasks}: more urgent work or teams that hold less go first`;
}
