/**
 * The interface between an entry and its routing policy, which sends quick
 * requests to the upstreams of the entry's failure domain. The policy has
 * bounded queues, uses only the entry's share of upstream slots, retries in one
 * layer only, and refuses early requests that can't meet their deadline.
 */
import type * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';

/** A quick request of a team. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly team: types.ids.TeamId;
  readonly operation: string;
  readonly urgency: types.job.Urgency;
  /** Whether it may be sent again after an attempt that may have run. */
  readonly idempotent: boolean;
  readonly key?: types.ids.IdempotencyKey;
  readonly estimateMs: number;
  readonly body: Uint8Array;
  readonly deadline: types.clock.MonotonicMs;
  readonly signal?: AbortSignal;
  readonly traceparent?: string;
}

/** The final outcome of a request that gets no answer. */
export type RouteFailure = Exclude<
  types.outcome.Outcome,
  {readonly type: 'done'}
>;

/** The limits of a team, read from its settings subtree. */
export interface RouterTeam {
  readonly id: types.ids.TeamId;
  readonly weight: number;
  readonly maxQueuedRequests: number;
  /** The retries allowed, as a share of the first attempts. */
  readonly retryBudget: number;
}

/** The upstreams and entries of the domain in this entry's view. */
export interface RouterView {
  /** The upstreams of the domain, including those that are leaving. */
  readonly upstreams: readonly platform.instanceList.ListedUpstream[];
  /**
   * The ids of all entries that may use these upstreams, including this one.
   */
  readonly entries: readonly string[];
}

/** The state of a router, for `status` and metrics. */
export interface RouterStatus {
  readonly queued: number;
  readonly inFlight: number;
  readonly upstreams: ReadonlyArray<{
    readonly id: types.ids.UpstreamId;
    readonly share: number;
    readonly inFlight: number;
    readonly state: 'open' | 'leaving' | 'suspect';
  }>;
}

/** Sends requests to upstreams. */
export interface Router {
  /**
   * Sets the latest view. A share shrinks at once and grows after a delay. Must
   * be called at every refresh, even without a change, and at least once within
   * `listLagMs`: no request is sent on an older view, and shares grow only in
   * this call. An entry that is partitioned off keeps passing its last view.
   */
  setView(view: RouterView): void;
  setTeam(team: RouterTeam): void;
  route(
    req: RoutedRequest,
  ): Promise<result.Result<platform.upstream.UpstreamAnswer, RouteFailure>>;
  status(): RouterStatus;
  /** Refuses new requests; resolves when no request is in flight. */
  drain(): Promise<void>;
  close(): Promise<void>;
}
