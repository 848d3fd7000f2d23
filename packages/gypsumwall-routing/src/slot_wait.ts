/** Gets a request a slot, or the final word that it won't have one. */
import * as types from '@gypsumwall/types';
import type * as admission from './admission.js';
import type * as alarms from './alarms.js';
import * as queuedRequest from './queued_request.js';
import type * as requestQueue from './request_queue.js';
import * as routeFailure from './route_failure.js';
import type * as router from './router.js';
import type * as routerOptions from './router_options.js';
import type * as serviceTimes from './service_times.js';
import type * as upstreamSlots from './upstream_slots.js';
import type * as upstreamTable from './upstream_table.js';

/** The parts that a wait goes through. */
export interface SlotWaitOptions {
  readonly clock: types.clock.Clock;
  readonly alarms: alarms.Alarms;
  readonly queue: requestQueue.RequestQueue;
  readonly table: upstreamTable.UpstreamTable;
  readonly times: serviceTimes.ServiceTimes;
  readonly gate: admission.Admission;
  readonly limitsOf: (team: types.ids.TeamId) => routerOptions.TeamDefaults;
}

/** Waits for slots. */
export interface SlotWait {
  /** `avoid` holds the upstreams that failed it; empty on its first try. */
  wait(
    req: router.RoutedRequest,
    avoid: ReadonlySet<upstreamSlots.UpstreamSlots>,
  ): Promise<queuedRequest.WaitEnd>;
  /** Gives free slots to those who wait; to be called when one came free. */
  pump(): void;
  /** Ends every wait: this entry has no share any more. */
  refuseAll(): void;
}

/** Makes the wait in front of a table of upstreams. */
export function createSlotWait(options: SlotWaitOptions): SlotWait {
  const {clock, queue, table, times, gate} = options;

  const refuse = (
    queued: queuedRequest.QueuedRequest,
    failure: router.RouteFailure,
  ) => {
    if (queue.remove(queued)) queued.end({type: 'refused', failure});
  };
  const refuseLate = (queued: queuedRequest.QueuedRequest) => {
    const {req, weight} = queued;
    const message = 'no slot came free early enough';
    const retryAfterMs = gate.retryAfterMs(req, weight);
    refuse(
      queued,
      routeFailure.notRun('deadline_unreachable', message, retryAfterMs),
    );
  };

  const pump = () => {
    for (;;) {
      const next = queue.peek();
      if (next === undefined) return;
      // Its timer may fire late when the process is busy or was paused.
      if (clock.monotonic() > next.latestStart) {
        refuseLate(next);
        continue;
      }
      const slots = table.take(next.req, next.avoid);
      if (slots === undefined) return;
      queue.serve(next);
      next.end({type: 'slot', slots});
    }
  };

  /** Makes room in a full queue; false when the request must not go in. */
  const makeRoom = (req: router.RoutedRequest): boolean => {
    const team = queue.ofTeam(req.team);
    const limits = options.limitsOf(req.team);
    if (team.size < limits.maxQueuedRequests) return true;
    const last = team.last();
    if (last === undefined) return false;
    const rank = queuedRequest.URGENCY_RANK;
    if (rank[last.req.urgency] <= rank[req.urgency]) return false;
    refuse(last, overloaded(last.req, 'shed for a more urgent request'));
    return true;
  };
  const overloaded = (req: router.RoutedRequest, message: string) =>
    routeFailure.notRun(
      'overloaded',
      message,
      gate.retryAfterMs(req, options.limitsOf(req.team).weight),
    );

  /** Those that a newcomer has pushed back too far learn of it at once. */
  const refuseHopeless = (newcomer: queuedRequest.QueuedRequest) => {
    const team = queue.ofTeam(newcomer.req.team);
    for (;;) {
      const last = team.last();
      if (last === undefined || last === newcomer) return;
      if (!gate.isHopeless(last)) return;
      refuseLate(last);
    }
  };

  /** Ends the wait when it is too late or the caller has left. */
  const endInTime = async (queued: queuedRequest.QueuedRequest) => {
    const {req} = queued;
    const leave = () =>
      refuse(queued, routeFailure.notRun('cancelled', 'the caller left'));
    req.signal?.addEventListener('abort', leave, {once: true});
    const alarm = options.alarms.set(queued.latestStart, () =>
      refuseLate(queued),
    );
    const ended = await queued.waited;
    alarm.cancel();
    req.signal?.removeEventListener('abort', leave);
    return ended;
  };

  const refuseAll = () => {
    for (;;) {
      const next = queue.peek();
      if (next === undefined) return;
      const message = 'this entry has no share of any upstream any more';
      const retryAfterMs = gate.retryAfterMs(next.req, next.weight);
      refuse(next, routeFailure.notRun('no_upstream', message, retryAfterMs));
    }
  };

  return {
    pump,
    refuseAll,
    wait: async (req, avoid) => {
      const limits = options.limitsOf(req.team);
      const isRetry = avoid.size > 0;
      const failure = gate.verdict(req, limits);
      if (failure !== undefined) return {type: 'refused', failure};
      // A retry had its place in the queue before.
      if (!isRetry && !makeRoom(req)) {
        const full = overloaded(req, "the team's queue is full");
        return {type: 'refused', failure: full};
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
      pump();
      if (queued.ended === undefined) refuseHopeless(queued);
      return queued.ended ?? (await endInTime(queued));
    },
  };
}
