/** The waiting requests of one team, in the order in which they are served. */
import type * as types from '@gypsumwall/types';
import * as queuedRequest from './queued_request.js';
import * as workRate from './work_rate.js';

/** One team's queue. */
export interface TeamQueue {
  readonly id: types.ids.TeamId;
  readonly size: number;
  weight: number;
  /** Slot time used over weight; see `createRequestQueue`. */
  virtualTime: number;
  push(queued: queuedRequest.QueuedRequest, now: types.clock.MonotonicMs): void;
  first(): queuedRequest.QueuedRequest | undefined;
  /** The one to shed first. */
  last(): queuedRequest.QueuedRequest | undefined;
  remove(queued: queuedRequest.QueuedRequest): boolean;
  /** Expected slot time of all that is at least this urgent. */
  workAheadMs(urgency: types.job.Urgency): number;
  /** Slots that this team's requests, as they have come in, keep busy. */
  slotsWanted(now: types.clock.MonotonicMs): number;
  /** Slots that more urgent requests, as they have come in, keep busy. */
  slotsOvertaking(
    urgency: types.job.Urgency,
    now: types.clock.MonotonicMs,
  ): number;
}

/** Makes an empty queue. */
export function createTeamQueue(id: types.ids.TeamId): TeamQueue {
  /** Sorted; queues are bounded to what a splice moves in microseconds. */
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
      waiting.splice(placeAfterEqual(waiting, queued), 0, queued);
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
    slotsWanted: (now) =>
      arrivals.urgent.slots(now) +
      arrivals.normal.slots(now) +
      arrivals.overnight.slots(now),
    slotsOvertaking: (urgency, now) => {
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

/** Where one goes so that those of equal rank stay in order of arrival. */
function placeAfterEqual(
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
  // Equal ones stand together, right before the place for a new one.
  let index = placeAfterEqual(waiting, queued) - 1;
  while (index >= 0) {
    const other = waiting[index];
    if (other === queued) return index;
    if (other === undefined) return -1;
    if (queuedRequest.compareQueued(other, queued) < 0) return -1;
    index -= 1;
  }
  return -1;
}
