/**
 * What an entry asks of the policy that sends quick requests to the upstreams
 * of its failure domain: bounded queues, shares of upstream slots, one layer
 * of retries, and early final refusals.
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
  /** Whether it may be sent again after it may have run. */
  readonly idempotent: boolean;
  readonly key?: types.ids.IdempotencyKey;
  readonly estimateMs: number;
  readonly body: Uint8Array;
  readonly deadline: types.clock.MonotonicMs;
  readonly signal?: AbortSignal;
  readonly traceparent?: string;
}

/** The final word on a request that has no answer. */
export type RouteFailure = Exclude<
  types.outcome.Outcome,
  {readonly type: 'done'}
>;

/** Limits of one team, out of its settings subtree. */
export interface RouterTeam {
  readonly id: types.ids.TeamId;
  readonly weight: number;
  readonly maxQueuedRequests: number;
  /** Retries allowed, as a share of first tries. */
  readonly retryBudget: number;
}

/** What this entry believes about its domain's upstreams and entries. */
export interface RouterView {
  /** Upstreams of the domain, leaving ones included. */
  readonly upstreams: readonly platform.instanceList.ListedUpstream[];
  /** Ids of all entries of the domain that may use them, this one included. */
  readonly entries: readonly string[];
}

/** State for `status` and metrics. */
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
   * The latest belief; a share shrinks at once and grows after the lag.
   * To be called at every refresh, changed or not, and at least once within
   * `listLagMs`: nothing is started on an older view, and a share grows only
   * here. An entry that is cut off goes on calling it with what it believes.
   */
  setView(view: RouterView): void;
  setTeam(team: RouterTeam): void;
  route(
    req: RoutedRequest,
  ): Promise<result.Result<platform.upstream.UpstreamAnswer, RouteFailure>>;
  status(): RouterStatus;
  /** Takes nothing new; resolves when nothing is in flight. */
  drain(): Promise<void>;
  close(): Promise<void>;
}
