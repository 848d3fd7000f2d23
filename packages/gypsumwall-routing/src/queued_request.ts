/** A request that waits for a slot. */
import type * as types from '@gypsumwall/types';
import type * as router from './router.js';
import type * as upstreamState from './upstream_state.js';

/** How the wait for a slot ended. */
export type WaitResult =
  | {readonly type: 'slot'; readonly upstream: upstreamState.UpstreamState}
  | {readonly type: 'refused'; readonly failure: router.RouteFailure};

/** The properties of a request when it is queued. */
export interface QueuedRequestFields {
  readonly req: router.RoutedRequest;
  /** The weight of its team. */
  readonly weight: number;
  /** The expected slot time. */
  readonly typicalMs: number;
  /** If it starts after this time, it will most likely miss its deadline. */
  readonly latestStart: types.clock.MonotonicMs;
  /** The upstreams that have failed this request. */
  readonly avoid: ReadonlySet<upstreamState.UpstreamState>;
}

/** A request in a queue. */
export interface QueuedRequest extends QueuedRequestFields {
  /** The result of the wait; undefined while the request waits. */
  readonly result: WaitResult | undefined;
  /** Resolves with the result when the wait ends. */
  readonly resultPromise: Promise<WaitResult>;
  /** Ends the wait. Must be called only once. */
  end(result: WaitResult): void;
}

/** Creates a request that isn't in any queue yet. */
export function createQueuedRequest(
  fields: QueuedRequestFields,
): QueuedRequest {
  let result: WaitResult | undefined;
  let resolveResult: (result: WaitResult) => void = () => undefined;
  const resultPromise = new Promise<WaitResult>(
    (resolve) => (resolveResult = resolve),
  );
  return {
    ...fields,
    resultPromise,
    get result() {
      return result;
    },
    end: (waitResult) => {
      result = waitResult;
      resolveResult(waitResult);
    },
  };
}

/** The rank of each urgency; requests of the highest rank are refused first. */
export const URGENCY_RANK: Readonly<Record<types.job.Urgency, number>> = {
  urgent: 0,
  normal: 1,
  overnight: 2,
};

/** Negative if the left request is served first. */
export function compareQueued(
  left: QueuedRequest,
  right: QueuedRequest,
): number {
  const byUrgency =
    URGENCY_RANK[left.req.urgency] - URGENCY_RANK[right.req.urgency];
  return byUrgency !== 0 ? byUrgency : left.latestStart - right.latestStart;
}
