/**
 * The policy for quick requests: bounded queues that are fair to teams, the
 * entry's share of every upstream's slots, one layer of retries within a
 * budget, and refusals that are early and final.
 */
import * as events from 'node:events';
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import * as admission from './admission.js';
import * as alarms from './alarms.js';
import * as attempt from './attempt.js';
import * as chooseUpstream from './choose_upstream.js';
import * as requestQueue from './request_queue.js';
import * as retryBudget from './retry_budget.js';
import * as routeFailure from './route_failure.js';
import type * as router from './router.js';
import * as routerOptions from './router_options.js';
import * as serviceTimes from './service_times.js';
import * as slotWait from './slot_wait.js';
import type * as upstreamSlots from './upstream_slots.js';
import * as upstreamTable from './upstream_table.js';

type Routed = result.Result<
  platform.upstream.UpstreamAnswer,
  router.RouteFailure
>;

/** When to come back to an entry that has no share or is stopping. */
const OTHER_ENTRY_AFTER_MS = 1_000;

/** Makes the router of one entry; it serves nothing before its first view. */
export function createRouter(
  options: routerOptions.RouterOptions,
  choose: chooseUpstream.ChooseUpstream = chooseUpstream.chooseUpstream,
): router.Router {
  const {clock, random, logger} = options;
  const requestBoundMs =
    options.requestBoundMs ?? routerOptions.DEFAULT_REQUEST_BOUND_MS;
  const table = upstreamTable.createUpstreamTable(
    options,
    requestBoundMs,
    choose,
  );
  const closing = new AbortController();
  // Every timer of the router listens to it; that is no leak.
  events.EventEmitter.setMaxListeners(0, closing.signal);
  const ringing = alarms.createAlarms(clock, closing.signal);
  const queue = requestQueue.createRequestQueue();
  const times = serviceTimes.createServiceTimes();
  const teams = new Map<types.ids.TeamId, routerOptions.TeamDefaults>();
  const budgets = new Map<types.ids.TeamId, retryBudget.RetryBudget>();
  const idleWaiters: Array<() => void> = [];
  let active = 0;
  let draining = false;

  const limitsOf = (team: types.ids.TeamId) =>
    teams.get(team) ?? options.defaults;
  const gate = admission.createAdmission({clock, random, queue, table, times});
  const slots = slotWait.createSlotWait({
    clock,
    alarms: ringing,
    queue,
    table,
    times,
    gate,
    limitsOf,
  });
  const budgetOf = (team: types.ids.TeamId) => {
    const known = budgets.get(team);
    if (known !== undefined) return known;
    const made = retryBudget.createRetryBudget();
    budgets.set(team, made);
    return made;
  };
  const leave = () => {
    active -= 1;
    if (active === 0) idleWaiters.splice(0).forEach((wake) => wake());
  };
  const probesAwaited = new WeakMap<upstreamSlots.UpstreamSlots, number>();
  /** Those who wait learn of a probe that falls due without any other event. */
  const pumpAtProbe = async (one: upstreamSlots.UpstreamSlots) => {
    const at = one.health.probeAt();
    if (at === undefined || probesAwaited.get(one) === at) return;
    probesAwaited.set(one, at);
    const inMs = Math.round(at - clock.monotonic());
    logger.info('routing.suspect', {upstream: one.id, probeInMs: inMs});
    await clock.sleepUntil(at, closing.signal);
    slots.pump();
  };
  const send = attempt.createAttempt({
    clock,
    alarms: ringing,
    times,
    requestBoundMs,
    release: (one) => {
      table.release(one);
      slots.pump();
    },
    answerEnded: (req, tookMs) => {
      const {weight} = limitsOf(req.team);
      queue.correct(req.team, weight, tookMs - times.typicalMs(req));
      times.learn(req, tookMs);
      leave();
    },
    onFault: (one) => {
      table.noteFault(one);
      void pumpAtProbe(one);
    },
  });

  const tryUntilFinal = async (req: router.RoutedRequest): Promise<Routed> => {
    const budget = budgetOf(req.team);
    const failed = new Set<upstreamSlots.UpstreamSlots>();
    let mayHaveRun: string | undefined;
    for (;;) {
      const waited = await slots.wait(req, failed);
      if (waited.type === 'refused') {
        // A proof that nothing ran must cover the tries before it, too.
        if (mayHaveRun === undefined) return result.err(waited.failure);
        return result.err(routeFailure.unknown(mayHaveRun));
      }
      if (failed.size === 0) budget.earn(limitsOf(req.team).retryBudget);
      const end = await send(req, waited.slots, budget);
      if (end.answer.isOk) return result.ok(end.answer.value);
      const err = end.answer.error;
      const message = types.stepError.describeError(err);
      if (err.effect === 'unknown') mayHaveRun = message;
      failed.add(waited.slots);
      if (mayTryAgain(req, err) && (end.retryTaken || budget.take())) continue;
      if (mayHaveRun !== undefined) {
        return result.err(routeFailure.unknown(mayHaveRun));
      }
      return result.err(finalRefusal(req, message));
    }
  };

  const finalRefusal = (req: router.RoutedRequest, message: string) =>
    req.signal?.aborted === true
      ? routeFailure.notRun('cancelled', 'the caller left')
      : routeFailure.notRun(
          'no_upstream',
          message,
          gate.retryAfterMs(req, limitsOf(req.team).weight),
        );

  const refusalAtTheDoor = (req: router.RoutedRequest) => {
    if (draining) {
      const message = 'this entry is stopping';
      return routeFailure.notRun('leaving', message, OTHER_ENTRY_AFTER_MS);
    }
    if (req.estimateMs > requestBoundMs) {
      const message = `estimateMs is ${req.estimateMs}; a quick request may take ${requestBoundMs} at most: submit a job instead`;
      return routeFailure.notRun('invalid', message);
    }
    if (!table.hasShare()) {
      const message = 'this entry has no share of any upstream yet';
      return routeFailure.notRun('no_upstream', message, OTHER_ENTRY_AFTER_MS);
    }
    return undefined;
  };

  return {
    setView: (view) => {
      table.setView(view);
      if (table.hasShare()) slots.pump();
      else slots.refuseAll();
    },
    setTeam: (team) => void teams.set(team.id, team),
    route: async (req) => {
      const failure = refusalAtTheDoor(req);
      if (failure !== undefined) return result.err(failure);
      active += 1;
      const routed = await tryUntilFinal(req);
      // An answer is active until its last byte has come.
      if (routed.isErr) leave();
      return routed;
    },
    status: () => {
      const upstreams = table.status();
      const inFlight = upstreams.reduce((sum, one) => sum + one.inFlight, 0);
      return {queued: queue.size, inFlight, upstreams};
    },
    drain: async () => {
      draining = true;
      if (active === 0) return;
      await new Promise<void>((resolve) => idleWaiters.push(resolve));
    },
    close: async () => {
      closing.abort('closed');
      await table.close();
    },
  };
}

/** Whether another try can't make a request run twice that must not. */
function mayTryAgain(
  req: router.RoutedRequest,
  err: types.stepError.StepError,
): boolean {
  if (req.signal?.aborted === true) return false;
  switch (err.effect) {
    case 'not_run':
      return true;
    case 'unknown':
      return req.idempotent;
  }
}
