/**
 * The policy for quick requests: a bounded queue for each team, the entry's
 * share of every upstream's slots, and refusals that are final.
 */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import * as requestQueue from './request_queue.js';
import type * as router from './router.js';
import * as routerOptions from './router_options.js';
import * as upstreamTable from './upstream_table.js';

type Routed = result.Result<
  platform.upstream.UpstreamAnswer,
  router.RouteFailure
>;

/** When a caller may come back where nothing better is known. */
const RETRY_AFTER_MS = 1_000;

/** Makes the router of one entry; it serves nothing before its first view. */
export function createRouter(
  options: routerOptions.RouterOptions,
): router.Router {
  const {clock} = options;
  const requestBoundMs =
    options.requestBoundMs ?? routerOptions.DEFAULT_REQUEST_BOUND_MS;
  const table = upstreamTable.createUpstreamTable(options, requestBoundMs);
  const queue = requestQueue.createRequestQueue();
  const teams = new Map<string, router.RouterTeam>();
  const idleWaiters: Array<() => void> = [];
  let active = 0;
  let draining = false;

  const limitsOf = (team: string) => teams.get(team) ?? options.defaults;

  const pump = () => {
    for (;;) {
      const slots = leastLoaded(table.free());
      if (slots === undefined) return;
      const next = queue.shift();
      if (next === undefined) return;
      slots.inFlight += 1;
      next.grant(slots);
    }
  };

  const waitForSlot = async (
    req: router.RoutedRequest,
  ): Promise<upstreamTable.UpstreamSlots | router.RouteFailure> => {
    const stopTimer = new AbortController();
    const queued = requestQueue.createQueuedRequest(req);
    if (!queue.push(queued, limitsOf(req.team).maxQueuedRequests)) {
      return refusal('overloaded', "the team's queue is full", RETRY_AFTER_MS);
    }
    pump();
    const latestStart = types.clock.after(req.deadline, -req.estimateMs);
    const signal =
      req.signal === undefined
        ? stopTimer.signal
        : AbortSignal.any([stopTimer.signal, req.signal]);
    const late = clock.sleepUntil(latestStart, signal).then(() => undefined);
    const slots = await Promise.race([queued.granted, late]);
    stopTimer.abort();
    if (slots !== undefined) return slots;
    // Granted in the very moment in which the timer fired: the slot is held.
    if (!queue.remove(queued)) return await queued.granted;
    return req.signal?.aborted === true
      ? refusal('cancelled', 'the caller left before it started')
      : refusal(
          'deadline_unreachable',
          'no slot was free in time',
          RETRY_AFTER_MS,
        );
  };

  const execute = async (
    req: router.RoutedRequest,
    slots: upstreamTable.UpstreamSlots,
  ): Promise<Routed> => {
    const bound = types.clock.after(clock.monotonic(), requestBoundMs);
    const deadline = req.deadline < bound ? req.deadline : bound;
    const answer = await slots.client.execute({...req, deadline});
    const release = () => {
      table.release(slots);
      pump();
    };
    if (answer.isErr) {
      release();
      return result.err(failureOf(answer.error));
    }
    // The slot is in use until the last byte of the answer has come.
    answer.value.body.once('close', release);
    return result.ok(answer.value);
  };

  const route = async (req: router.RoutedRequest): Promise<Routed> => {
    if (draining) {
      return result.err(refusal('leaving', 'this entry is stopping'));
    }
    active += 1;
    try {
      const slots = await waitForSlot(req);
      if ('type' in slots) return result.err(slots);
      return await execute(req, slots);
    } finally {
      active -= 1;
      if (active === 0) idleWaiters.splice(0).forEach((wake) => wake());
    }
  };

  return {
    setView: (view) => {
      table.setView(view);
      pump();
    },
    setTeam: (team) => void teams.set(team.id, team),
    route,
    status: () => ({
      queued: queue.size,
      inFlight: [...table.all()].reduce((sum, one) => sum + one.inFlight, 0),
      upstreams: [...table.all()].map((one) => ({
        id: one.id,
        share: one.share,
        inFlight: one.inFlight,
        state: one.state,
      })),
    }),
    drain: async () => {
      draining = true;
      if (active === 0) return;
      await new Promise<void>((resolve) => idleWaiters.push(resolve));
    },
    close: () => table.close(),
  };
}

function leastLoaded(
  free: readonly upstreamTable.UpstreamSlots[],
): upstreamTable.UpstreamSlots | undefined {
  const loadOf = (one: upstreamTable.UpstreamSlots) => one.inFlight / one.share;
  return free.reduce<upstreamTable.UpstreamSlots | undefined>(
    (best, one) =>
      best === undefined || loadOf(one) < loadOf(best) ? one : best,
    undefined,
  );
}

function refusal(
  reason: types.outcome.RefusalReason,
  message: string,
  retryAfterMs?: number,
): router.RouteFailure {
  return {type: 'not_run', reason, message, retryAfterMs};
}

function failureOf(err: types.stepError.StepError): router.RouteFailure {
  const message = types.stepError.describeError(err);
  switch (err.effect) {
    case 'not_run':
      return refusal('no_upstream', message, RETRY_AFTER_MS);
    case 'unknown':
      return {type: 'unknown', message};
  }
}
