/**
 * Decides on arrival whether a request can meet its deadline. An immediate
 * refusal leaves the caller time for an alternative. A request that misses its
 * deadline doesn't, and it wastes slot time that others could have used.
 */
import type * as types from '@gypsumwall/types';
import type * as queuedRequest from './queued_request.js';
import type * as requestQueue from './request_queue.js';
import * as routeFailure from './route_failure.js';
import type * as router from './router.js';
import type * as serviceTimes from './service_times.js';
import type * as upstreamTable from './upstream_table.js';

/** The dependencies of admission. */
export interface AdmissionOptions {
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly queue: requestQueue.RequestQueue;
  readonly table: upstreamTable.UpstreamTable;
  readonly times: serviceTimes.ServiceTimes;
}

/** Admission of requests to the queue. */
export interface Admission {
  /** Returns why a request is refused; undefined if it may wait for a slot. */
  findRefusal(
    req: router.RoutedRequest,
    team: Omit<router.RouterTeam, 'id'>,
  ): router.RouteFailure | undefined;
  /** Whether a waiting request will most likely miss its deadline. */
  willMissDeadline(queued: queuedRequest.QueuedRequest): boolean;
  /**
   * The retry delay after a refusal, estimated from how fast the queue drains.
   */
  retryAfterMs(req: router.RoutedRequest, weight: number): number;
}

/**
 * The least urgent requests are assumed to get at least this share of all
 * slots.
 */
const MIN_SLOT_SHARE = 0.02;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 60_000;

/** Creates the admission control of a queue. */
export function createAdmission(options: AdmissionOptions): Admission {
  const {clock, queue, table, times} = options;

  const estimateWaitMs = (req: router.RoutedRequest, weight: number) => {
    if (queue.size === 0) return 0;
    const now = clock.monotonic();
    const team = queue.teamQueueOf(req.team);
    const slots = Math.max(1, table.reliableSlots());
    // More urgent requests that arrive in the meantime are served first.
    const overtakingSlots = team.moreUrgentSlotDemand(req.urgency, now);
    const estimateDrainMs = (workMs: number, takenSlots: number) =>
      workMs / Math.max(slots - takenSlots, slots * MIN_SLOT_SHARE);
    const fairSlots = slots * queue.fairShare(req.team, weight);
    const slotsOfOthers = queue.slotDemandOfOthers(req.team, now);
    // Other teams can't use more slots than their requests need. With many
    // teams that send little, the wait is shorter than fair shares suggest.
    return Math.min(
      estimateDrainMs(
        team.workAheadMs(req.urgency),
        slots - fairSlots + overtakingSlots,
      ),
      estimateDrainMs(queue.workMs, slotsOfOthers + overtakingSlots),
    );
  };
  // Callers that are refused at the same time must not retry at the same time.
  const withJitter = (delayMs: number) =>
    Math.min(
      MAX_RETRY_AFTER_MS,
      Math.round(
        Math.max(MIN_RETRY_AFTER_MS, delayMs) * (1 + options.random.next() / 4),
      ),
    );

  return {
    findRefusal: (req, team) => {
      const slackMs = req.deadline - clock.monotonic();
      if (slackMs <= 0) {
        return routeFailure.notRun(
          'deadline_passed',
          'the deadline has passed',
        );
      }
      const waitMs = estimateWaitMs(req, team.weight);
      // A request that doesn't have to wait is admitted if it is expected to
      // meet its deadline. Behind others it must be likely to meet it, since a
      // miss would waste a slot that another request could have used.
      const neededMs =
        waitMs === 0 ? times.typicalMs(req) : waitMs + times.pessimisticMs(req);
      if (neededMs <= slackMs) return undefined;
      const message = `the request needs about ${Math.round(neededMs)} ms, but its deadline is in ${Math.round(slackMs)} ms`;
      return routeFailure.notRun(
        'deadline_unreachable',
        message,
        waitMs === 0 ? undefined : withJitter(neededMs - slackMs),
      );
    },
    willMissDeadline: ({req, weight}) => {
      const neededMs = estimateWaitMs(req, weight) + times.typicalMs(req);
      return neededMs > req.deadline - clock.monotonic();
    },
    retryAfterMs: (req, weight) => withJitter(estimateWaitMs(req, weight)),
  };
}
