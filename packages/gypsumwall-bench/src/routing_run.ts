/** Runs a router under one load and one fault, and summarizes the results. */
import * as hdr from 'hdr-histogram-js';
import type * as platform from '@gypsumwall/platform';
import * as routing from '@gypsumwall/routing';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as fakeUpstreams from './routing_fake_upstreams.js';
import * as workload from './routing_workload.js';

/** Creates a router to be measured. */
export type CreateRouter = (
  options: routing.routerOptions.RouterOptions,
) => routing.router.Router;

/** Parameters of a run. */
export interface RunOptions {
  readonly seed: number;
  readonly createRouter: CreateRouter;
  /** Ratio of the offered work to the capacity of all slots. */
  readonly load: number;
  readonly fault: fakeUpstreams.UpstreamFault;
  /** Factor by which one team increases its request rate; 1 by default. */
  readonly floodFactor?: number;
  /** Number of teams into which each team is split; 1 by default. */
  readonly teamSplit?: number;
  readonly spanMs: number;
  readonly cell: RoutingCell;
}

/** The instances of one failure domain. */
export interface RoutingCell {
  readonly entries: number;
  readonly upstreams: number;
  readonly slots: number;
  /**
   * Whether each entry is unaware of the others and therefore uses every slot.
   */
  readonly ignoresOtherEntries?: boolean;
}

/** Results of the requests of one urgency. */
export interface UrgencyFigures {
  sentCount: number;
  doneInTime: number;
  /** Time from arrival to the first try, in tenths of a millisecond. */
  readonly waitTenths: hdr.Histogram;
  /**
   * Time from arrival to the head of the answer, in tenths of a millisecond.
   */
  readonly answerTenths: hdr.Histogram;
}

/** Results of a run. */
export interface RunFigures {
  readonly byUrgency: Record<types.job.Urgency, UrgencyFigures>;
  /**
   * Ratio of the slot time of answers given in time, within the span, to all
   * slot time.
   */
  readonly goodput: number;
  /** Mean tries per request that was tried at least once. */
  readonly amplification: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Requests answered after their deadline or not answered by the end. */
  readonly late: number;
  /** Time from arrival to the refusal, in tenths of a millisecond. */
  readonly refusalTenths: hdr.Histogram;
  readonly upstreamRefusals: number;
  /** Processor time per request, including the fake upstreams. */
  readonly cpuMicros: number;
}

/**
 * One entry with its share of the upstreams of a third of a present-day
 * service.
 */
export const ONE_ENTRY: RoutingCell = {entries: 1, upstreams: 10, slots: 4};

const LIST_LAG_MS = 500;
const REQUEST_BOUND_MS = 8_000;
const TENTHS_PER_MS = 10;

/** Runs the routers of all entries with one workload. */
export async function runOnce(options: RunOptions): Promise<RunFigures> {
  const {cell, spanMs} = options;
  const clock = types.virtualClock.createVirtualClock();
  const random = types.random.createRandom(options.seed);
  const startMs = 2 * LIST_LAG_MS + REQUEST_BOUND_MS + LIST_LAG_MS;
  const endMs = startMs + spanMs;
  const requests = workload.makeWorkload({
    random,
    perSecond:
      (options.load * totalSlots(cell) * 1_000) / workload.MEAN_SERVICE_MS,
    floodFactor: options.floodFactor ?? 1,
    teamSplit: options.teamSplit ?? 1,
    fromMs: startMs,
    untilMs: endMs,
  });
  const serviceOf = new Map(
    requests.map((request) => [request.req.requestId, request.serviceMs]),
  );
  const fakes = fakeUpstreams.createFakeUpstreams({
    clock,
    fault: options.fault,
    faultFrom: startMs + spanMs / 4,
    faultUntil: startMs + (spanMs * 3) / 4,
    serviceMsOf: (id) => serviceOf.get(id) ?? 0,
  });
  const ids = Array.from({length: cell.entries}, (_, index) => `e${index}`);
  const routers = ids.map((entryId) =>
    options.createRouter({
      entryId,
      clock,
      random,
      logger: telemetry.logger.createLogger('silent'),
      listLagMs: LIST_LAG_MS,
      requestBoundMs: REQUEST_BOUND_MS,
      makeUpstream: (listed) => fakes.createUpstream(listed),
      defaults: {weight: 1, maxQueuedRequests: 500, retryBudget: 0.1},
    }),
  );
  routers.forEach((router, index) => {
    const entries = cell.ignoresOtherEntries === true ? [`e${index}`] : ids;
    void refreshView(clock, router, {upstreams: listUpstreams(cell), entries});
  });
  const outcomes = createCallerOutcomes();
  void sendRequests(clock, routers, requests, outcomes, random);
  const before = process.cpuUsage();
  await clock.runUntil(endMs + REQUEST_BOUND_MS);
  const used = process.cpuUsage(before);
  await Promise.all(routers.map((router) => router.close()));
  return summarize({
    endMs,
    requests,
    outcomes,
    cpuUsage: used,
    slotMs: totalSlots(cell) * spanMs,
    counters: fakes.counters,
  });
}

function totalSlots(cell: RoutingCell): number {
  return cell.upstreams * cell.slots;
}

/** Outcomes that callers received, collected during the run. */
interface CallerOutcomes {
  readonly doneAt: Map<string, number>;
  readonly refusalTenths: hdr.Histogram;
  notRun: number;
  unknown: number;
}

function createCallerOutcomes(): CallerOutcomes {
  return {
    doneAt: new Map(),
    refusalTenths: createHistogram(),
    notRun: 0,
    unknown: 0,
  };
}

function createHistogram(): hdr.Histogram {
  return hdr.build({numberOfSignificantValueDigits: 3});
}

async function refreshView(
  clock: types.clock.Clock,
  router: routing.router.Router,
  view: routing.router.RouterView,
): Promise<never> {
  for (;;) {
    router.setView(view);
    await clock.sleepUntil(
      types.clock.after(clock.monotonic(), LIST_LAG_MS / 2),
    );
  }
}

/**
 * Returns the upstreams of a cell in the form in which the platform lists them.
 */
export function listUpstreams(
  cell: RoutingCell,
): platform.instanceList.ListedUpstream[] {
  return Array.from({length: cell.upstreams}, (_, index) => ({
    kind: 'upstream',
    id: types.ids.brand<types.ids.UpstreamId>(`u${index}`),
    failureDomain: types.ids.brand<types.ids.FailureDomain>('bkk-a'),
    address: `http://127.0.0.1/${index}`,
    state: 'live',
    slots: cell.slots,
    connections: 64,
  }));
}

async function sendRequests(
  clock: types.clock.Clock,
  routers: readonly routing.router.Router[],
  requests: readonly workload.WorkloadRequest[],
  outcomes: CallerOutcomes,
  random: types.random.Random,
): Promise<void> {
  for (const request of requests) {
    await clock.sleepUntil(request.at as types.clock.MonotonicMs);
    const router = routers[random.integer(0, routers.length - 1)];
    if (router !== undefined)
      void sendRequest(clock, router, request, outcomes);
  }
}

async function sendRequest(
  clock: types.clock.Clock,
  router: routing.router.Router,
  request: workload.WorkloadRequest,
  outcomes: CallerOutcomes,
): Promise<void> {
  const routed = await router.route(request.req);
  if (routed.isOk) {
    outcomes.doneAt.set(request.req.requestId, clock.monotonic());
    routed.value.body.resume();
    return;
  }
  switch (routed.error.type) {
    case 'not_run':
      outcomes.notRun += 1;
      outcomes.refusalTenths.recordValue(
        Math.round((clock.monotonic() - request.at) * TENTHS_PER_MS),
      );
      return;
    case 'unknown':
      outcomes.unknown += 1;
      return;
  }
}

interface RunResult {
  readonly endMs: number;
  readonly slotMs: number;
  readonly requests: readonly workload.WorkloadRequest[];
  readonly counters: fakeUpstreams.UpstreamCounters;
  readonly outcomes: CallerOutcomes;
  readonly cpuUsage: NodeJS.CpuUsage;
}

function summarize(run: RunResult): RunFigures {
  const {endMs, requests, counters, outcomes, cpuUsage} = run;
  const byUrgency = {
    urgent: createUrgencyFigures(),
    normal: createUrgencyFigures(),
    overnight: createUrgencyFigures(),
  };
  let usefulMs = 0;
  let inTime = 0;
  for (const {at, req, serviceMs} of requests) {
    const urgencyFigures = byUrgency[req.urgency];
    urgencyFigures.sentCount += 1;
    const triedAt = counters.firstTry.get(req.requestId);
    if (triedAt !== undefined) {
      urgencyFigures.waitTenths.recordValue(
        Math.round((triedAt - at) * TENTHS_PER_MS),
      );
    }
    const doneAt = outcomes.doneAt.get(req.requestId);
    if (doneAt === undefined) continue;
    urgencyFigures.answerTenths.recordValue(
      Math.round((doneAt - at) * TENTHS_PER_MS),
    );
    if (doneAt > req.deadline) continue;
    urgencyFigures.doneInTime += 1;
    inTime += 1;
    if (doneAt <= endMs) usefulMs += serviceMs;
  }
  return {
    byUrgency,
    goodput: usefulMs / run.slotMs,
    amplification: counters.tries / Math.max(1, counters.firstTry.size),
    notRun: outcomes.notRun,
    unknown: outcomes.unknown,
    late: requests.length - inTime - outcomes.notRun - outcomes.unknown,
    refusalTenths: outcomes.refusalTenths,
    upstreamRefusals: counters.refusals,
    cpuMicros: (cpuUsage.user + cpuUsage.system) / requests.length,
  };
}

function createUrgencyFigures(): UrgencyFigures {
  return {
    sentCount: 0,
    doneInTime: 0,
    waitTenths: createHistogram(),
    answerTenths: createHistogram(),
  };
}
