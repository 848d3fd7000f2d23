/**
 * The naive way, kept runnable to be measured against: a random upstream, an
 * unbounded queue in order of arrival, and blind retries. Its shares are those
 * of the policy, so that a comparison shows the decisions and nothing else.
 */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import type * as router from './router.js';
import * as routerOptions from './router_options.js';
import * as upstreamTable from './upstream_table.js';

type Routed = result.Result<
  platform.upstream.UpstreamAnswer,
  router.RouteFailure
>;

/** Tries after the first one, whatever became of the one before. */
const MAX_RETRIES = 3;

/** Makes a baseline router; not for production use. */
export function createBaselineRouter(
  options: routerOptions.RouterOptions,
): router.Router {
  const table = upstreamTable.createUpstreamTable(
    options,
    options.requestBoundMs ?? routerOptions.DEFAULT_REQUEST_BOUND_MS,
  );
  const waiting: Array<(slots: upstreamTable.UpstreamSlots) => void> = [];

  const pump = () => {
    while (waiting.length > 0) {
      const free = table.free();
      if (free.length === 0) return;
      const pick = free[options.random.integer(0, free.length - 1)];
      if (pick === undefined) return;
      pick.inFlight += 1;
      waiting.shift()?.(pick);
    }
  };

  const attempt = async (req: router.RoutedRequest): Promise<Routed> => {
    const slots = await new Promise<upstreamTable.UpstreamSlots>((resolve) => {
      waiting.push(resolve);
      pump();
    });
    const answer = await slots.client.execute(req);
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
    return result.err({type: 'unknown', message});
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
    status: () => ({
      queued: waiting.length,
      inFlight: [...table.all()].reduce((sum, one) => sum + one.inFlight, 0),
      upstreams: [...table.all()],
    }),
    drain: () => Promise.resolve(),
    close: () => table.close(),
  };
}
