/** The waiting requests of a team, in the order in which they are served. */
import type * as types from '@gypsumwall/types';
import * as queuedRequest from './queued_request.js';
import * as workRate from './work_rate.js';

/** The queue of a team. */
export interface TeamQueue {
  readonly id: types.ids.TeamId;
  readonly size: number;
  weight: number;
  /** The slot time used divided by the weight; see `createRequestQueue`. */
  virtualTime: number;
  push(queued: queuedRequest.QueuedRequest, now: types.clock.MonotonicMs): void;
  first(): queuedRequest.QueuedRequest | undefined;
  /** The request that is refused first if the queue is full. */
  last(): queuedRequest.QueuedRequest | undefined;
  remove(queued: queuedRequest.QueuedRequest): boolean;
  /**
   * The expected slot time of all waiting requests that are at least this
   * urgent.
   */
  workAheadMs(urgency: types.job.Urgency): number;
  /**
   * The number of slots that this team's requests need at their recent rate.
   */
  slotDemand(now: types.clock.MonotonicMs): number;
  /**
   * The number of slots that its more urgent requests need at their recent
   * rate.
   */
  moreUrgentSlotDemand(
    urgency: types.job.Urgency,
    now: types.clock.MonotonicMs,
  ): number;
}

/** Creates an empty queue. */
export function createTeamQueue(id: types.ids.TeamId): TeamQueue {
  /** Sorted. Queues are so short that a splice takes microseconds. */
  const waiting: queuedRequest.QueuedRequest[] = [];
  const workMs: Record<types.job.Urgency, number> = {
    urgent: 0,
    normal: 0,
    overnight: 0,
  };
  const arrivals: Record<types.job.Urgency, workRate.WorkRate> = {
    urgent: workRate.createWorkRate(),
    normal: workRate.createWorkRate(),
    overnight: workRate.createWorkRate(),
  };
  return {
    id,
    weight: 1,
    virtualTime: 0,
    get size() {
      return waiting.length;
    },
    push: (queued, now) => {
      arrivals[queued.req.urgency].add(queued.typicalMs, now);
      waiting.splice(insertionIndex(waiting, queued), 0, queued);
      workMs[queued.req.urgency] += queued.typicalMs;
    },
    first: () => waiting[0],
    last: () => waiting.at(-1),
    remove: (queued) => {
      const index = indexOf(waiting, queued);
      if (index < 0) return false;
      waiting.splice(index, 1);
      workMs[queued.req.urgency] -= queued.typicalMs;
      return true;
    },
    workAheadMs: (urgency) => {
      switch (urgency) {
        case 'urgent':
          return workMs.urgent;
        case 'normal':
          return workMs.urgent + workMs.normal;
        case 'overnight':
          return workMs.urgent + workMs.normal + workMs.overnight;
      }
    },
    slotDemand: (now) =>
      arrivals.urgent.slots(now) +
      arrivals.normal.slots(now) +
      arrivals.overnight.slots(now),
    moreUrgentSlotDemand: (urgency, now) => {
      switch (urgency) {
        case 'urgent':
          return 0;
        case 'normal':
          return arrivals.urgent.slots(now);
        case 'overnight':
          return arrivals.urgent.slots(now) + arrivals.normal.slots(now);
      }
    },
  };
}

/** The index that keeps requests of equal rank in order of arrival. */
function insertionIndex(
  waiting: readonly queuedRequest.QueuedRequest[],
  queued: queuedRequest.QueuedRequest,
): number {
  let low = 0;
  let high = waiting.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const other = waiting[middle];
    if (
      other !== undefined &&
      queuedRequest.compareQueued(other, queued) <= 0
    ) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

function indexOf(
  waiting: readonly queuedRequest.QueuedRequest[],
  queued: queuedRequest.QueuedRequest,
): number {
  // Requests of equal rank are adjacent and end before the insertion index.
  let index = insertionIndex(waiting, queued) - 1;
  while (index >= 0) {
    const other = waiting[index];
    if (other === queued) return index;
    if (other === undefined) return -1;
    if (queuedRequest.compareQueued(other, queued) < 0) return -1;
    index -= 1;
  }
  return -1;
}
