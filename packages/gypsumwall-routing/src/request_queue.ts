/** Requests that wait for a slot, bounded for each team. */
import type * as router from './router.js';
import type * as upstreamTable from './upstream_table.js';

/** A request that waits, and the slot that it will be given. */
export interface QueuedRequest {
  readonly req: router.RoutedRequest;
  readonly granted: Promise<upstreamTable.UpstreamSlots>;
  grant(slots: upstreamTable.UpstreamSlots): void;
}

/** Waiting requests in the order in which they are served. */
export interface RequestQueue {
  readonly size: number;
  /** False when the team's queue is full. */
  push(queued: QueuedRequest, maxQueued: number): boolean;
  shift(): QueuedRequest | undefined;
  /** False when it no longer waits, since it was granted a slot. */
  remove(queued: QueuedRequest): boolean;
}

/** Makes a waiting request that is in no queue yet. */
export function createQueuedRequest(req: router.RoutedRequest): QueuedRequest {
  let grant: QueuedRequest['grant'] = () => undefined;
  const granted = new Promise<upstreamTable.UpstreamSlots>((resolve) => {
    grant = resolve;
  });
  return {req, granted, grant};
}

/** Makes an empty queue that serves in order of arrival. */
export function createRequestQueue(): RequestQueue {
  const waiting = new Set<QueuedRequest>();
  const countOf = new Map<string, number>();
  const count = (team: string, change: number) =>
    countOf.set(team, (countOf.get(team) ?? 0) + change);

  const remove = (queued: QueuedRequest) => {
    const found = waiting.delete(queued);
    if (found) count(queued.req.team, -1);
    return found;
  };
  return {
    get size() {
      return waiting.size;
    },
    push: (queued, maxQueued) => {
      if ((countOf.get(queued.req.team) ?? 0) >= maxQueued) return false;
      waiting.add(queued);
      count(queued.req.team, 1);
      return true;
    },
    shift: () => {
      const first = waiting.values().next().value;
      if (first !== undefined) remove(first);
      return first;
    },
    remove,
  };
}
