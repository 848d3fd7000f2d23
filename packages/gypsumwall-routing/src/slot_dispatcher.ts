/** Assigns slots to requests, or refuses them for good. */
import * as types from '@gypsumwall/types';
import type * as admission from './admission.js';
import type * as sharedTimers from './shared_timers.js';
import * as queuedRequest from './queued_request.js';
import type * as requestQueue from './request_queue.js';
import * as routeFailure from './route_failure.js';
import type * as router from './router.js';
import type * as routerOptions from './router_options.js';
import type * as serviceTimes from './service_times.js';
import type * as upstreamState from './upstream_state.js';
import type * as upstreamTable from './upstream_table.js';

/** The dependencies of a slot dispatcher. */
export interface SlotDispatcherOptions {
  readonly clock: types.clock.Clock;
  readonly timers: sharedTimers.SharedTimers;
  readonly queue: requestQueue.RequestQueue;
  readonly table: upstreamTable.UpstreamTable;
  readonly times: serviceTimes.ServiceTimes;
  readonly admissionControl: admission.Admission;
  readonly limitsOf: (team: types.ids.TeamId) => routerOptions.TeamDefaults;
}

/** Assigns upstream slots to waiting requests. */
export interface SlotDispatcher {
  /**
   * Waits for a slot. `avoid` contains the upstreams that failed the request;
   * it is empty on the first attempt.
   */
  acquireSlot(
    req: router.RoutedRequest,
    avoid: ReadonlySet<upstreamState.UpstreamState>,
  ): Promise<queuedRequest.WaitResult>;
  /**
   * Assigns free slots to waiting requests. Must be called when a slot is
   * released.
   */
  dispatch(): void;
  /** Refuses all waiting requests, since this entry no longer has a share. */
  refuseAll(): void;
}

/** Creates a dispatcher for the slots of a table of upstreams. */
export function createSlotDispatcher(
  options: SlotDispatcherOptions,
): SlotDispatcher {
  const {clock, queue, table, times, admissionControl} = options;

  const refuse = (
    queued: queuedRequest.QueuedRequest,
    failure: router.RouteFailure,
  ) => {
    if (queue.remove(queued)) queued.end({type: 'refused', failure});
  };
  const refuseTooLate = (queued: queuedRequest.QueuedRequest) => {
    const {req, weight} = queued;
    const message = 'no slot became free early enough';
    const retryAfterMs = admissionControl.retryAfterMs(req, weight);
    refuse(
      queued,
      routeFailure.notRun('deadline_unreachable', message, retryAfterMs),
    );
  };

  const dispatch = () => {
    for (;;) {
      const next = queue.peek();
      if (next === undefined) return;
      // The timer of a request may fire late if the process is busy or was
      // paused.
      if (clock.monotonic() > next.latestStart) {
        refuseTooLate(next);
        continue;
      }
      const upstream = table.acquireSlot(next.req, next.avoid);
      if (upstream === undefined) return;
      queue.serve(next);
      next.end({type: 'slot', upstream});
    }
  };

  /**
   * Returns whether the team's queue may take the request. If it is full, its
   * last request is refused, provided it is less urgent than the new one.
   */
  const ensureQueueCapacity = (req: router.RoutedRequest): boolean => {
    const team = queue.teamQueueOf(req.team);
    const limits = options.limitsOf(req.team);
    if (team.size < limits.maxQueuedRequests) return true;
    const last = team.last();
    if (last === undefined) return false;
    const rank = queuedRequest.URGENCY_RANK;
    if (rank[last.req.urgency] <= rank[req.urgency]) return false;
    refuse(
      last,
      createOverloadedRefusal(
        last.req,
        'the queue is full and a more urgent request took its place',
      ),
    );
    return true;
  };
  const createOverloadedRefusal = (
    req: router.RoutedRequest,
    message: string,
  ) =>
    routeFailure.notRun(
      'overloaded',
      message,
      admissionControl.retryAfterMs(req, options.limitsOf(req.team).weight),
    );

  /**
   * Refuses at once the requests that an added request has delayed too much.
   */
  const refuseDelayed = (added: queuedRequest.QueuedRequest) => {
    const team = queue.teamQueueOf(added.req.team);
    for (;;) {
      const last = team.last();
      if (last === undefined || last === added) return;
      if (!admissionControl.willMissDeadline(last)) return;
      refuseTooLate(last);
    }
  };

  /**
   * Waits for the result; the wait ends early if it is too late or the caller
   * cancels.
   */
  const waitForResult = async (queued: queuedRequest.QueuedRequest) => {
    const {req} = queued;
    const onAbort = () =>
      refuse(
        queued,
        routeFailure.notRun('cancelled', 'the caller cancelled the request'),
      );
    req.signal?.addEventListener('abort', onAbort, {once: true});
    const timer = options.timers.set(queued.latestStart, () =>
      refuseTooLate(queued),
    );
    const waitResult = await queued.resultPromise;
    timer.cancel();
    req.signal?.removeEventListener('abort', onAbort);
    return waitResult;
  };

  const refuseAll = () => {
    for (;;) {
      const next = queue.peek();
      if (next === undefined) return;
      const message = 'this entry no longer has a share of any upstream';
      const retryAfterMs = admissionControl.retryAfterMs(next.req, next.weight);
      refuse(next, routeFailure.notRun('no_upstream', message, retryAfterMs));
    }
  };

  return {
    dispatch,
    refuseAll,
    acquireSlot: async (req, avoid) => {
      const limits = options.limitsOf(req.team);
      const isRetry = avoid.size > 0;
      const failure = admissionControl.findRefusal(req, limits);
      if (failure !== undefined) return {type: 'refused', failure};
      // A retry was admitted to the queue before, so it isn't limited again.
      if (!isRetry && !ensureQueueCapacity(req)) {
        const refusal = createOverloadedRefusal(
          req,
          "the team's queue is full",
        );
        return {type: 'refused', failure: refusal};
      }
      const typicalMs = times.typicalMs(req);
      const queued = queuedRequest.createQueuedRequest({
        req,
        avoid,
        typicalMs,
        weight: limits.weight,
        latestStart: types.clock.after(req.deadline, -typicalMs),
      });
      queue.push(queued, clock.monotonic());
      dispatch();
      if (queued.result === undefined) refuseDelayed(queued);
      return queued.result ?? (await waitForResult(queued));
    },
  };
}
