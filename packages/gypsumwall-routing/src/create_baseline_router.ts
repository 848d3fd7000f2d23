/**
 * The naive way, kept runnable to be measured against: a random upstream, an
 * unbounded queue in order of arrival, one timeout for all tries, blind retries. Its shares are those
 * of the policy, so that a comparison shows the decisions and nothing else.
 */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import * as chooseUpstream from './choose_upstream.js';
import * as routeFailure from './route_failure.js';
import type * as router from './router.js';
import * as routerOptions from './router_options.js';
import type * as upstreamSlots from './upstream_slots.js';
import * as upstreamTable from './upstream_table.js';

type Routed = result.Result<
  platform.upstream.UpstreamAnswer,
  router.RouteFailure
>;

interface Waiting {
  readonly req: router.RoutedRequest;
  readonly grant: (slots: upstreamSlots.UpstreamSlots) => void;
}

/** Tries after the first one, whatever became of the one before. */
const MAX_RETRIES = 3;
const NONE: ReadonlySet<upstreamSlots.UpstreamSlots> = new Set();

/** Makes a baseline router; not for production use. */
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
  const waiting = new Set<Waiting>();

  const pump = () => {
    for (const one of waiting) {
      const slots = table.take(one.req, NONE);
      if (slots === undefined) return;
      waiting.delete(one);
      one.grant(slots);
    }
  };

  const attempt = async (req: router.RoutedRequest): Promise<Routed> => {
    const slots = await new Promise<upstreamSlots.UpstreamSlots>((resolve) => {
      waiting.add({req, grant: resolve});
      pump();
    });
    const deadline = types.clock.after(options.clock.monotonic(), timeoutMs);
    const answer = await slots.client.execute({...req, deadline});
    const release = () => {
      table.release(slots);
      pump();
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
      pump();
    },
    setTeam: () => undefined,
    route: async (req) => {
      let last = await attempt(req);
      for (let retry = 0; retry < MAX_RETRIES && last.isErr; retry += 1) {
        last = await attempt(req);
      }
      return last;
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
