/** One request that waits for a slot. */
import type * as types from '@gypsumwall/types';
import type * as router from './router.js';
import type * as upstreamSlots from './upstream_slots.js';

/** What becomes of the wait. */
export type WaitEnd =
  | {readonly type: 'slot'; readonly slots: upstreamSlots.UpstreamSlots}
  | {readonly type: 'refused'; readonly failure: router.RouteFailure};

/** What is known of a request when it begins to wait. */
export interface QueuedFields {
  readonly req: router.RoutedRequest;
  /** Weight of its team. */
  readonly weight: number;
  /** Slot time to expect, in milliseconds. */
  readonly typicalMs: number;
  /** From then on it would most likely miss its deadline. */
  readonly latestStart: types.clock.MonotonicMs;
  /** Upstreams that failed it before. */
  readonly avoid: ReadonlySet<upstreamSlots.UpstreamSlots>;
}

/** A request in the queue. */
export interface QueuedRequest extends QueuedFields {
  /** Set when the wait has ended. */
  readonly ended: WaitEnd | undefined;
  /** Resolves when the wait has ended. */
  readonly waited: Promise<WaitEnd>;
  /** Called once by whoever ends the wait. */
  end(ended: WaitEnd): void;
}

/** Makes a request that is in no queue yet. */
export function createQueuedRequest(fields: QueuedFields): QueuedRequest {
  let ended: WaitEnd | undefined;
  let wake: (ended: WaitEnd) => void = () => undefined;
  const waited = new Promise<WaitEnd>((resolve) => (wake = resolve));
  return {
    ...fields,
    waited,
    get ended() {
      return ended;
    },
    end: (how) => {
      ended = how;
      wake(how);
    },
  };
}

/** Order of urgencies; the highest is shed first. */
export const URGENCY_RANK: Readonly<Record<types.job.Urgency, number>> = {
  urgent: 0,
  normal: 1,
  overnight: 2,
};

/** Negative when the left one goes first. */
export function compareQueued(
  left: QueuedRequest,
  right: QueuedRequest,
): number {
  const byUrgency =
    URGENCY_RANK[left.req.urgency] - URGENCY_RANK[right.req.urgency];
  return byUrgency !== 0 ? byUrgency : left.latestStart - right.latestStart;
}
