/**
 * Whether a request can still make it, told on arrival. A refusal that comes
 * at once leaves the caller time to act; one held back until the deadline
 * doesn't, and its slot time is lost to others.
 */
import type * as types from '@gypsumwall/types';
import type * as queuedRequest from './queued_request.js';
import type * as requestQueue from './request_queue.js';
import * as routeFailure from './route_failure.js';
import type * as router from './router.js';
import type * as serviceTimes from './service_times.js';
import type * as upstreamTable from './upstream_table.js';

/** What a verdict is made from. */
export interface AdmissionOptions {
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly queue: requestQueue.RequestQueue;
  readonly table: upstreamTable.UpstreamTable;
  readonly times: serviceTimes.ServiceTimes;
}

/** Says what is taken in. */
export interface Admission {
  /** Undefined when the request may wait for a slot. */
  verdict(
    req: router.RoutedRequest,
    team: Omit<router.RouterTeam, 'id'>,
  ): router.RouteFailure | undefined;
  /** Whether one that waits would most likely miss its deadline by now. */
  isHopeless(queued: queuedRequest.QueuedRequest): boolean;
  /** When to come back after a refusal, from how fast the queue drains. */
  retryAfterMs(req: router.RoutedRequest, weight: number): number;
}

/** Share of all slots that the least urgent work is taken to get at least. */
const LEAST_SHARE = 0.02;
const SOONEST_RETRY_MS = 100;
const LATEST_RETRY_MS = 60_000;

/** Makes the gate in front of a queue. */
export function createAdmission(options: AdmissionOptions): Admission {
  const {clock, queue, table, times} = options;

  const expectedWaitMs = (req: router.RoutedRequest, weight: number) => {
    if (queue.size === 0) return 0;
    const now = clock.monotonic();
    const team = queue.ofTeam(req.team);
    const slots = Math.max(1, table.reliableSlots());
    // What is more urgent and comes in meanwhile goes first, too.
    const overtaking = team.slotsOvertaking(req.urgency, now);
    const drainMs = (workMs: number, takenSlots: number) =>
      workMs / Math.max(slots - takenSlots, slots * LEAST_SHARE);
    const fairSlots = slots * queue.fairShare(req.team, weight);
    const others = queue.slotsWantedByOthers(req.team, now);
    // Others can't take more than they bring: many teams with little each
    // get through sooner than by their shares.
    return Math.min(
      drainMs(team.workAheadMs(req.urgency), slots - fairSlots + overtaking),
      drainMs(queue.workMs, others + overtaking),
    );
  };
  // Callers refused together must not come back together.
  const withJitter = (spanMs: number) =>
    Math.min(
      LATEST_RETRY_MS,
      Math.round(
        Math.max(SOONEST_RETRY_MS, spanMs) * (1 + options.random.next() / 4),
      ),
    );

  return {
    verdict: (req, team) => {
      const slackMs = req.deadline - clock.monotonic();
      if (slackMs <= 0) {
        return routeFailure.notRun('deadline_passed', 'its deadline is past');
      }
      const waitMs = expectedWaitMs(req, team.weight);
      // Without a wait it gets its chance; behind others it must be likely
      // to make it, since a miss costs one of them its slot.
      const neededMs =
        waitMs === 0 ? times.typicalMs(req) : waitMs + times.pessimisticMs(req);
      if (neededMs <= slackMs) return undefined;
      const message = `it needs about ${Math.round(neededMs)} ms and has ${Math.round(slackMs)} ms`;
      return routeFailure.notRun(
        'deadline_unreachable',
        message,
        waitMs === 0 ? undefined : withJitter(neededMs - slackMs),
      );
    },
    isHopeless: ({req, weight}) => {
      const neededMs = expectedWaitMs(req, weight) + times.typicalMs(req);
      return neededMs > req.deadline - clock.monotonic();
    },
    retryAfterMs: (req, weight) => withJitter(expectedWaitMs(req, weight)),
  };
}
