/**
 * In-process fake upstreams. Like real ones, they refuse requests beyond their
 * slots and continue to execute a request after its caller has given up.
 */
import * as stream from 'node:stream';
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';

/** Fault of the faulty upstream of a run. */
export type UpstreamFault =
  'none' | 'dead' | 'slow' | 'refusing' | 'silent-connections';

/** Behaviour of the upstreams of a run. */
export interface FakeUpstreamsOptions {
  readonly clock: types.clock.Clock;
  /** Fault of the first upstream from `faultFrom` to `faultUntil`. */
  readonly fault: UpstreamFault;
  readonly faultFrom: number;
  readonly faultUntil: number;
  /** Actual service time of a request. */
  readonly serviceMsOf: (requestId: string) => number;
}

/** Counters over all upstreams. */
export interface UpstreamCounters {
  /**
   * Attempts to reach an upstream, including retries and unreachable upstreams.
   */
  tries: number;
  /** Time of the first try of each request. */
  readonly firstTry: Map<string, number>;
  /** Slot time of all accepted requests, even if their caller gave up. */
  usedMs: number;
  refusals: number;
}

/** The fake upstreams of a run. */
export interface FakeUpstreams {
  readonly counters: UpstreamCounters;
  createUpstream(
    listed: platform.instanceList.ListedUpstream,
  ): platform.upstream.Upstream;
}

const FAULTY_UPSTREAM = 'u0';
const SLOW_FACTOR = 10;
/** Number of connections that become silent every `SILENT_INTERVAL_MS`. */
const SILENT_CONNECTIONS_PER_ROUND = 4;
const SILENT_INTERVAL_MS = 1_000;

type Answer = result.Result<
  platform.upstream.UpstreamAnswer,
  types.stepError.StepError
>;

/** Creates fake upstreams with all counters at zero. */
export function createFakeUpstreams(
  options: FakeUpstreamsOptions,
): FakeUpstreams {
  const {clock} = options;
  const counters: UpstreamCounters = {
    tries: 0,
    firstTry: new Map(),
    usedMs: 0,
    refusals: 0,
  };
  /** Slots in use by all entries together, by upstream. */
  const busySlotsByUpstream = new Map<string, number>();
  let silentCount = 0;
  /**
   * Returns whether the request uses a silent connection, and counts that
   * connection.
   */
  const hitsSilentConnection = () => {
    const sinceFaultMs = clock.monotonic() - options.faultFrom;
    const silencedRounds = 1 + Math.floor(sinceFaultMs / SILENT_INTERVAL_MS);
    if (silentCount >= SILENT_CONNECTIONS_PER_ROUND * silencedRounds)
      return false;
    silentCount += 1;
    return true;
  };

  const currentFault = (id: string): UpstreamFault => {
    const now = clock.monotonic();
    const isFaulty = now >= options.faultFrom && now < options.faultUntil;
    return isFaulty && id === FAULTY_UPSTREAM ? options.fault : 'none';
  };
  const recordFailure = (
    peer: string,
    kind: types.stepError.StepErrorKind,
    effect: types.stepError.Effect,
  ): Answer => {
    if (kind === 'refused') counters.refusals += 1;
    const step = 'upstream.execute';
    return result.err({kind, effect, peer, step, message: kind});
  };
  /**
   * Waits until `until`, the deadline or the abort signal, whichever comes
   * first.
   */
  const waitAsCaller = async (
    req: platform.upstream.UpstreamRequest,
    until: number,
  ): Promise<'done' | 'timeout'> => {
    const end = Math.min(until, req.deadline) as types.clock.MonotonicMs;
    await clock.sleepUntil(end, req.signal);
    return clock.monotonic() >= until ? 'done' : 'timeout';
  };

  const createExecute = (listed: platform.instanceList.ListedUpstream) => {
    const occupySlot = async (until: number) => {
      busySlotsByUpstream.set(listed.id, busySlots() + 1);
      await clock.sleepUntil(until as types.clock.MonotonicMs);
      busySlotsByUpstream.set(listed.id, busySlots() - 1);
    };
    const busySlots = () => busySlotsByUpstream.get(listed.id) ?? 0;
    const serve = async (
      req: platform.upstream.UpstreamRequest,
      factor: number,
    ): Promise<Answer> => {
      if (busySlots() >= listed.slots)
        return recordFailure(listed.id, 'refused', 'not_run');
      const serviceMs = options.serviceMsOf(req.requestId) * factor;
      counters.usedMs += serviceMs;
      const until = clock.monotonic() + serviceMs;
      void occupySlot(until);
      if ((await waitAsCaller(req, until)) === 'done') {
        return result.ok(createAnswer());
      }
      return recordFailure(listed.id, 'timeout', 'unknown');
    };
    const execute = async (
      req: platform.upstream.UpstreamRequest,
    ): Promise<Answer> => {
      if (req.deadline <= clock.monotonic()) {
        return recordFailure(listed.id, 'too_late', 'not_run');
      }
      counters.tries += 1;
      if (!counters.firstTry.has(req.requestId)) {
        counters.firstTry.set(req.requestId, clock.monotonic());
      }
      switch (currentFault(listed.id)) {
        case 'dead':
          return recordFailure(listed.id, 'unreachable', 'not_run');
        case 'refusing':
          return recordFailure(listed.id, 'refused', 'not_run');
        case 'slow':
          return serve(req, SLOW_FACTOR);
        case 'silent-connections':
          if (!hitsSilentConnection()) return serve(req, 1);
          await waitAsCaller(req, Infinity);
          return recordFailure(listed.id, 'timeout', 'unknown');
        case 'none':
          return serve(req, 1);
      }
    };
    return execute;
  };
  return {
    counters,
    createUpstream: (listed) => ({
      execute: createExecute(listed),
      setMaxConnections: () => undefined,
      close: () => Promise.resolve(),
    }),
  };
}

function createAnswer(): platform.upstream.UpstreamAnswer {
  const body = new stream.Readable({read: () => undefined});
  body.push(null);
  return {contentType: 'application/octet-stream', contentLength: 0, body};
}
