/**
 * Upstreams in process that keep what real ones would: they refuse beyond
 * their slots and work on at a request whose caller has given up.
 */
import * as stream from 'node:stream';
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';

/** What is wrong with the faulty upstream of a run. */
export type UpstreamFault =
  'none' | 'dead' | 'slow' | 'refusing' | 'silent-connections';

/** How the upstreams of a run behave. */
export interface FakeUpstreamsOptions {
  readonly clock: types.clock.Clock;
  /** The first upstream has it from `faultFrom` to `faultUntil`. */
  readonly fault: UpstreamFault;
  readonly faultFrom: number;
  readonly faultUntil: number;
  /** True service time of a request, in milliseconds. */
  readonly serviceMsOf: (requestId: string) => number;
}

/** What the upstreams saw. */
export interface UpstreamRecord {
  /** Requests that reached an upstream, or its address, with repeats. */
  tries: number;
  /** When each request was first tried. */
  readonly firstTry: Map<string, number>;
  /** Slot time of answers given, of all work, and most slots in use. */
  usedMs: number;
  refusals: number;
}

/** All upstreams of a run. */
export interface FakeUpstreams {
  readonly record: UpstreamRecord;
  make(
    listed: platform.instanceList.ListedUpstream,
  ): platform.upstream.Upstream;
}

const FAULTY_UPSTREAM = 'u0';
const SLOW_FACTOR = 10;
/** So many connections go silent each time, and so often. */
const SILENT_CONNECTIONS = 4;
const SILENT_EVERY_MS = 1_000;

type Answer = result.Result<
  platform.upstream.UpstreamAnswer,
  types.stepError.StepError
>;

/** Makes upstreams that have seen nothing. */
export function createFakeUpstreams(
  options: FakeUpstreamsOptions,
): FakeUpstreams {
  const {clock} = options;
  const record: UpstreamRecord = {
    tries: 0,
    firstTry: new Map(),
    usedMs: 0,
    refusals: 0,
  };
  /** Slots in use by all entries together. */
  const busyAt = new Map<string, number>();
  let silent = 0;
  /** Whether a request goes over a connection that has gone silent. */
  const takeSilent = () => {
    const since = clock.monotonic() - options.faultFrom;
    const times = 1 + Math.floor(since / SILENT_EVERY_MS);
    if (silent >= SILENT_CONNECTIONS * times) return false;
    silent += 1;
    return true;
  };

  const faultOf = (id: string): UpstreamFault => {
    const now = clock.monotonic();
    const faulty = now >= options.faultFrom && now < options.faultUntil;
    return faulty && id === FAULTY_UPSTREAM ? options.fault : 'none';
  };
  const fail = (
    peer: string,
    kind: types.stepError.StepErrorKind,
    effect: types.stepError.Effect,
  ): Answer => {
    if (kind === 'refused') record.refusals += 1;
    const step = 'upstream.execute';
    return result.err({kind, effect, peer, step, message: kind});
  };
  /** Waits as a caller does: until the end, its deadline or its signal. */
  const waitAsCaller = async (
    req: platform.upstream.UpstreamRequest,
    until: number,
  ): Promise<'done' | 'timeout'> => {
    const end = Math.min(until, req.deadline) as types.clock.MonotonicMs;
    await clock.sleepUntil(end, req.signal);
    return clock.monotonic() >= until ? 'done' : 'timeout';
  };

  const makeOne = (listed: platform.instanceList.ListedUpstream) => {
    const work = async (until: number) => {
      busyAt.set(listed.id, busyNow() + 1);
      await clock.sleepUntil(until as types.clock.MonotonicMs);
      busyAt.set(listed.id, busyNow() - 1);
    };
    const busyNow = () => busyAt.get(listed.id) ?? 0;
    const serve = async (
      req: platform.upstream.UpstreamRequest,
      factor: number,
    ): Promise<Answer> => {
      if (busyNow() >= listed.slots)
        return fail(listed.id, 'refused', 'not_run');
      const serviceMs = options.serviceMsOf(req.requestId) * factor;
      record.usedMs += serviceMs;
      const until = clock.monotonic() + serviceMs;
      void work(until);
      if ((await waitAsCaller(req, until)) === 'done') {
        return result.ok(makeAnswer());
      }
      return fail(listed.id, 'timeout', 'unknown');
    };
    const execute = async (
      req: platform.upstream.UpstreamRequest,
    ): Promise<Answer> => {
      if (req.deadline <= clock.monotonic()) {
        return fail(listed.id, 'too_late', 'not_run');
      }
      record.tries += 1;
      if (!record.firstTry.has(req.requestId)) {
        record.firstTry.set(req.requestId, clock.monotonic());
      }
      switch (faultOf(listed.id)) {
        case 'dead':
          return fail(listed.id, 'unreachable', 'not_run');
        case 'refusing':
          return fail(listed.id, 'refused', 'not_run');
        case 'slow':
          return serve(req, SLOW_FACTOR);
        case 'silent-connections':
          if (!takeSilent()) return serve(req, 1);
          await waitAsCaller(req, Infinity);
          return fail(listed.id, 'timeout', 'unknown');
        case 'none':
          return serve(req, 1);
      }
    };
    return execute;
  };
  return {
    record,
    make: (listed) => ({
      execute: makeOne(listed),
      setMaxConnections: () => undefined,
      close: () => Promise.resolve(),
    }),
  };
}

function makeAnswer(): platform.upstream.UpstreamAnswer {
  const body = new stream.Readable({read: () => undefined});
  body.push(null);
  return {contentType: 'application/octet-stream', contentLength: 0, body};
}
