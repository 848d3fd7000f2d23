/** One run of a router under one load and one fault, and what came of it. */
import * as hdr from 'hdr-histogram-js';
import type * as platform from '@gypsumwall/platform';
import * as routing from '@gypsumwall/routing';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as fakeUpstreams from './routing_fake_upstreams.js';
import * as virtualClock from './routing_virtual_clock.js';
import * as workload from './routing_workload.js';

/** A router to be measured. */
export type MakeRouter = (
  options: routing.routerOptions.RouterOptions,
) => routing.router.Router;

/** What a run is. */
export interface RunOptions {
  readonly seed: number;
  readonly makeRouter: MakeRouter;
  /** Offered work over what all slots can do. */
  readonly load: number;
  readonly fault: fakeUpstreams.UpstreamFault;
  readonly spanMs: number;
}

/** What came of the requests of one urgency. */
export interface UrgencyFigures {
  sent: number;
  done: number;
  /** From arrival to the first try, in tenths of a millisecond. */
  readonly waited: hdr.Histogram;
}

/** What came of a run. */
export interface RunFigures {
  readonly byUrgency: Record<types.job.Urgency, UrgencyFigures>;
  /** Slot time of answers in time, within the span, over all slot time. */
  readonly goodput: number;
  /** Tries over requests that were tried. */
  readonly amplification: number;
  readonly notRun: number;
  readonly unknown: number;
  /** Answers after the deadline, and requests without any word by the end. */
  readonly late: number;
  /** From arrival to the refusal, in tenths of a millisecond. */
  readonly refusedAfter: hdr.Histogram;
  readonly upstreamRefusals: number;
  /** Processor time of everything, fakes included, for each request. */
  readonly cpuMicros: number;
}

/** Upstreams of one run, and this entry's share of each one's slots. */
export const UPSTREAMS = 10;
export const SLOTS = 4;
const LAG_MS = 500;
const BOUND_MS = 8_000;
const TENTHS = 10;

/** Runs one router through one workload. */
export async function runOnce(options: RunOptions): Promise<RunFigures> {
  const clock = virtualClock.createVirtualClock();
  const random = types.random.createRandom(options.seed);
  const startMs = 2 * LAG_MS + BOUND_MS + LAG_MS;
  const endMs = startMs + options.spanMs;
  const requests = workload.makeWorkload({
    random,
    perSecond:
      (options.load * UPSTREAMS * SLOTS * 1_000) / workload.MEAN_SERVICE_MS,
    fromMs: startMs,
    untilMs: endMs,
  });
  const serviceOf = new Map(
    requests.map((each) => [each.req.requestId, each.serviceMs]),
  );
  const fakes = fakeUpstreams.createFakeUpstreams({
    clock,
    fault: options.fault,
    faultFrom: startMs + options.spanMs / 4,
    faultUntil: startMs + (options.spanMs * 3) / 4,
    serviceMsOf: (id) => serviceOf.get(id) ?? 0,
  });
  const router = options.makeRouter({
    entryId: 'e0',
    clock,
    random,
    logger: telemetry.logger.createLogger('silent'),
    listLagMs: LAG_MS,
    requestBoundMs: BOUND_MS,
    makeUpstream: (listed) => fakes.make(listed),
    defaults: {weight: 1, maxQueuedRequests: 500, retryBudget: 0.1},
  });
  const tally = createTally();
  void refreshView(clock, router, endMs + BOUND_MS);
  void offer(clock, router, requests, tally);
  const before = process.cpuUsage();
  await clock.runUntil(endMs + BOUND_MS);
  const used = process.cpuUsage(before);
  await router.close();
  return summarize(options, endMs, requests, fakes.record, tally, used);
}

/** What callers were told, as it comes in. */
interface Tally {
  readonly doneAt: Map<string, number>;
  readonly refusedAfter: hdr.Histogram;
  notRun: number;
  unknown: number;
}

function createTally(): Tally {
  return {
    doneAt: new Map(),
    refusedAfter: makeHistogram(),
    notRun: 0,
    unknown: 0,
  };
}

function makeHistogram(): hdr.Histogram {
  return hdr.build({numberOfSignificantValueDigits: 3});
}

async function refreshView(
  clock: types.clock.Clock,
  router: routing.router.Router,
  untilMs: number,
): Promise<void> {
  const upstreams = Array.from({length: UPSTREAMS}, (_, index) =>
    listedUpstream(index),
  );
  while (clock.monotonic() < untilMs) {
    router.setView({upstreams, entries: ['e0']});
    await clock.sleepUntil(types.clock.after(clock.monotonic(), LAG_MS / 2));
  }
}

function listedUpstream(index: number): platform.instanceList.ListedUpstream {
  return {
    kind: 'upstream',
    id: types.ids.brand<types.ids.UpstreamId>(`u${index}`),
    failureDomain: types.ids.brand<types.ids.FailureDomain>('bkk-a'),
    address: `http://127.0.0.1/${index}`,
    state: 'live',
    slots: SLOTS,
    connections: 64,
  };
}

async function offer(
  clock: types.clock.Clock,
  router: routing.router.Router,
  requests: readonly workload.WorkloadRequest[],
  tally: Tally,
): Promise<void> {
  for (const each of requests) {
    await clock.sleepUntil(each.at as types.clock.MonotonicMs);
    void ask(clock, router, each, tally);
  }
}

async function ask(
  clock: types.clock.Clock,
  router: routing.router.Router,
  each: workload.WorkloadRequest,
  tally: Tally,
): Promise<void> {
  const routed = await router.route(each.req);
  if (routed.isOk) {
    tally.doneAt.set(each.req.requestId, clock.monotonic());
    routed.value.body.resume();
    return;
  }
  switch (routed.error.type) {
    case 'not_run':
      tally.notRun += 1;
      tally.refusedAfter.recordValue(
        Math.round((clock.monotonic() - each.at) * TENTHS),
      );
      return;
    case 'unknown':
      tally.unknown += 1;
      return;
  }
}

function summarize(
  options: RunOptions,
  endMs: number,
  requests: readonly workload.WorkloadRequest[],
  record: fakeUpstreams.UpstreamRecord,
  tally: Tally,
  used: NodeJS.CpuUsage,
): RunFigures {
  const byUrgency = {
    urgent: makeUrgencyFigures(),
    normal: makeUrgencyFigures(),
    overnight: makeUrgencyFigures(),
  };
  let usefulMs = 0;
  let inTime = 0;
  for (const {at, req, serviceMs} of requests) {
    const figures = byUrgency[req.urgency];
    figures.sent += 1;
    const triedAt = record.firstTry.get(req.requestId);
    if (triedAt !== undefined) {
      figures.waited.recordValue(Math.round((triedAt - at) * TENTHS));
    }
    const doneAt = tally.doneAt.get(req.requestId);
    if (doneAt === undefined || doneAt > req.deadline) continue;
    figures.done += 1;
    inTime += 1;
    if (doneAt <= endMs) usefulMs += serviceMs;
  }
  return {
    byUrgency,
    goodput: usefulMs / (UPSTREAMS * SLOTS * options.spanMs),
    amplification: record.tries / Math.max(1, record.firstTry.size),
    notRun: tally.notRun,
    unknown: tally.unknown,
    late: requests.length - inTime - tally.notRun - tally.unknown,
    refusedAfter: tally.refusedAfter,
    upstreamRefusals: record.refusals,
    cpuMicros: (used.user + used.system) / requests.length,
  };
}

function makeUrgencyFigures(): UrgencyFigures {
  return {sent: 0, done: 0, waited: makeHistogram()};
}
