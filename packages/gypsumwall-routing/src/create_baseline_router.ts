/**
 * The baseline to which the routing policy is compared: a random upstream, an
 * unbounded queue in order of arrival, the same timeout for all attempts, and
 * retries after any error. It uses the same shares as the policy, so that a
 * comparison shows the effect of the decisions only.
 */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import * as chooseUpstream from './choose_upstream.js';
import * as routeFailure from './route_failure.js';
import type * as router from './router.js';
import * as routerOptions from './router_options.js';
import type * as upstreamState from './upstream_state.js';
import * as upstreamTable from './upstream_table.js';

type RouteResult = result.Result<
  platform.upstream.UpstreamAnswer,
  router.RouteFailure
>;

interface WaitingRequest {
  readonly req: router.RoutedRequest;
  readonly assign: (upstream: upstreamState.UpstreamState) => void;
}

/** The number of retries after the first attempt, for any kind of error. */
const MAX_RETRIES = 3;
const NO_UPSTREAMS: ReadonlySet<upstreamState.UpstreamState> = new Set();

/** Creates a baseline router; not for production use. */
export function createBaselineRouter(
  options: routerOptions.RouterOptions,
): router.Router {
  const timeoutMs =
    options.requestBoundMs ?? routerOptions.DEFAULT_REQUEST_BOUND_MS;
  const table = upstreamTable.createUpstreamTable(
    options,
    timeoutMs,
    chooseUpstream.chooseAtRandom,
  );
  const waiting = new Set<WaitingRequest>();

  const dispatch = () => {
    for (const one of waiting) {
      const upstream = table.acquireSlot(one.req, NO_UPSTREAMS);
      if (upstream === undefined) return;
      waiting.delete(one);
      one.assign(upstream);
    }
  };

  const sendAttempt = async (
    req: router.RoutedRequest,
  ): Promise<RouteResult> => {
    const upstream = await new Promise<upstreamState.UpstreamState>(
      (resolve) => {
        waiting.add({req, assign: resolve});
        dispatch();
      },
    );
    const deadline = types.clock.after(options.clock.monotonic(), timeoutMs);
    const answer = await upstream.client.execute({...req, deadline});
    const release = () => {
      table.releaseSlot(upstream);
      dispatch();
    };
    if (answer.isOk) {
      answer.value.body.once('close', release);
      return result.ok(answer.value);
    }
    release();
    const message = types.stepError.describeError(answer.error);
    return result.err(routeFailure.unknown(message));
  };

  return {
    setView: (view) => {
      table.setView(view);
      dispatch();
    },
    setTeam: () => undefined,
    route: async (req) => {
      let routeResult = await sendAttempt(req);
      for (
        let retry = 0;
        retry < MAX_RETRIES && routeResult.isErr;
        retry += 1
      ) {
        routeResult = await sendAttempt(req);
      }
      return routeResult;
    },
    status: () => {
      const upstreams = table.status();
      const inFlight = upstreams.reduce((sum, one) => sum + one.inFlight, 0);
      return {queued: waiting.size, inFlight, upstreams};
    },
    drain: () => Promise.resolve(),
    close: () => table.close(),
  };
}
