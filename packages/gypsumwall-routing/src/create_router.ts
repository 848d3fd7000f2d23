/**
 * The routing policy for quick requests. Its queues are bounded and fair among
 * teams, it uses only the entry's share of each upstream's slots, it retries
 * within a budget and in this layer only, and its refusals are early and final.
 */
import * as events from 'node:events';
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import * as admission from './admission.js';
import * as sharedTimers from './shared_timers.js';
import * as attempt from './attempt.js';
import * as chooseUpstream from './choose_upstream.js';
import * as requestQueue from './request_queue.js';
import * as retryBudget from './retry_budget.js';
import * as routeFailure from './route_failure.js';
import type * as router from './router.js';
import * as routerOptions from './router_options.js';
import * as serviceTimes from './service_times.js';
import * as slotDispatcher from './slot_dispatcher.js';
import type * as upstreamState from './upstream_state.js';
import * as upstreamTable from './upstream_table.js';

type RouteResult = result.Result<
  platform.upstream.UpstreamAnswer,
  router.RouteFailure
>;

/** The retry delay for callers of an entry that has no share or is stopping. */
const OTHER_ENTRY_RETRY_AFTER_MS = 1_000;

/**
 * Creates the router of an entry. It sends no requests before its first view.
 */
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
  // Every timer of the router listens to this signal. Many listeners aren't a
  // leak here, so the limit that triggers Node's warning is removed.
  events.EventEmitter.setMaxListeners(0, closing.signal);
  const timers = sharedTimers.createSharedTimers(clock, closing.signal);
  const queue = requestQueue.createRequestQueue();
  const times = serviceTimes.createServiceTimes();
  const teams = new Map<types.ids.TeamId, routerOptions.TeamDefaults>();
  const budgets = new Map<types.ids.TeamId, retryBudget.RetryBudget>();
  const idleWaiters: Array<() => void> = [];
  let activeRequests = 0;
  let isDraining = false;

  const limitsOf = (team: types.ids.TeamId) =>
    teams.get(team) ?? options.defaults;
  const admissionControl = admission.createAdmission({
    clock,
    random,
    queue,
    table,
    times,
  });
  const dispatcher = slotDispatcher.createSlotDispatcher({
    clock,
    timers,
    queue,
    table,
    times,
    admissionControl,
    limitsOf,
  });
  const budgetOf = (team: types.ids.TeamId) => {
    const existing = budgets.get(team);
    if (existing !== undefined) return existing;
    const created = retryBudget.createRetryBudget();
    budgets.set(team, created);
    return created;
  };
  const onRequestEnd = () => {
    activeRequests -= 1;
    if (activeRequests === 0)
      idleWaiters.splice(0).forEach((resolve) => resolve());
  };
  const scheduledProbes = new WeakMap<upstreamState.UpstreamState, number>();
  /**
   * Dispatches waiting requests when a probe becomes due, since no other event
   * may trigger it at that time.
   */
  const dispatchAtProbe = async (upstream: upstreamState.UpstreamState) => {
    const probeAt = upstream.health.nextProbeAt();
    if (probeAt === undefined || scheduledProbes.get(upstream) === probeAt)
      return;
    scheduledProbes.set(upstream, probeAt);
    const delayMs = Math.round(probeAt - clock.monotonic());
    logger.info('routing.suspect', {upstream: upstream.id, probeInMs: delayMs});
    await clock.sleepUntil(probeAt, closing.signal);
    dispatcher.dispatch();
  };
  const sendAttempt = attempt.createAttempt({
    clock,
    timers,
    times,
    requestBoundMs,
    release: (upstream) => {
      table.releaseSlot(upstream);
      dispatcher.dispatch();
    },
    onAnswerEnd: (req, tookMs) => {
      const {weight} = limitsOf(req.team);
      queue.adjustCharge(req.team, weight, tookMs - times.typicalMs(req));
      times.record(req, tookMs);
      onRequestEnd();
    },
    onHealthUpdate: (upstream) => {
      table.onHealthUpdate(upstream);
      void dispatchAtProbe(upstream);
    },
  });

  const routeWithRetries = async (
    req: router.RoutedRequest,
  ): Promise<RouteResult> => {
    const budget = budgetOf(req.team);
    const failed = new Set<upstreamState.UpstreamState>();
    let mayHaveRun: string | undefined;
    for (;;) {
      const waitResult = await dispatcher.acquireSlot(req, failed);
      if (waitResult.type === 'refused') {
        // The outcome "not run" must be true of all earlier attempts as well.
        if (mayHaveRun === undefined) return result.err(waitResult.failure);
        return result.err(routeFailure.unknown(mayHaveRun));
      }
      if (failed.size === 0) budget.refill(limitsOf(req.team).retryBudget);
      const attemptResult = await sendAttempt(req, waitResult.upstream, budget);
      if (attemptResult.answer.isOk)
        return result.ok(attemptResult.answer.value);
      const err = attemptResult.answer.error;
      const message = types.stepError.describeError(err);
      if (err.effect === 'unknown') mayHaveRun = message;
      failed.add(waitResult.upstream);
      if (
        mayRetry(req, err) &&
        (attemptResult.hasTakenRetry || budget.tryTake())
      )
        continue;
      if (mayHaveRun !== undefined) {
        return result.err(routeFailure.unknown(mayHaveRun));
      }
      return result.err(createFinalRefusal(req, message));
    }
  };

  const createFinalRefusal = (req: router.RoutedRequest, message: string) =>
    req.signal?.aborted === true
      ? routeFailure.notRun('cancelled', 'the caller cancelled the request')
      : routeFailure.notRun(
          'no_upstream',
          message,
          admissionControl.retryAfterMs(req, limitsOf(req.team).weight),
        );

  const findInitialRefusal = (req: router.RoutedRequest) => {
    if (isDraining) {
      const message = 'this entry is stopping';
      return routeFailure.notRun(
        'leaving',
        message,
        OTHER_ENTRY_RETRY_AFTER_MS,
      );
    }
    if (req.estimateMs > requestBoundMs) {
      const message = `estimateMs is ${req.estimateMs}, but a quick request may take at most ${requestBoundMs} ms; submit a job instead`;
      return routeFailure.notRun('invalid', message);
    }
    if (!table.hasShare()) {
      const message = 'this entry has no share of any upstream yet';
      return routeFailure.notRun(
        'no_upstream',
        message,
        OTHER_ENTRY_RETRY_AFTER_MS,
      );
    }
    return undefined;
  };

  return {
    setView: (view) => {
      table.setView(view);
      if (table.hasShare()) dispatcher.dispatch();
      else dispatcher.refuseAll();
    },
    setTeam: (team) => void teams.set(team.id, team),
    route: async (req) => {
      const failure = findInitialRefusal(req);
      if (failure !== undefined) return result.err(failure);
      activeRequests += 1;
      const routeResult = await routeWithRetries(req);
      // A request with an answer is active until the last byte has arrived.
      if (routeResult.isErr) onRequestEnd();
      return routeResult;
    },
    status: () => {
      const upstreams = table.status();
      const inFlight = upstreams.reduce((sum, one) => sum + one.inFlight, 0);
      return {queued: queue.size, inFlight, upstreams};
    },
    drain: async () => {
      isDraining = true;
      if (activeRequests === 0) return;
      await new Promise<void>((resolve) => idleWaiters.push(resolve));
    },
    close: async () => {
      closing.abort('closed');
      await table.close();
    },
  };
}

/** Whether a retry can't run a request twice that isn't idempotent. */
function mayRetry(
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
