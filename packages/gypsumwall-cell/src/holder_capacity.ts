/**
 * Measures how many tasks a holder can start in a second while its processor is
 * the limit. Only spans in which its event loop is nearly always busy count, so
 * that the work of an idle holder isn't taken for the cost of starts, and an
 * outage of the store, during which the loop is idle, doesn't lower the rate.
 */
import * as perfHooks from 'node:perf_hooks';
import type * as types from '@gypsumwall/types';
import type * as loopMonitor from './loop_monitor.js';

/** What a holder that is at its limit can do. */
export interface HolderCapacity {
  readonly startsPerSecond: number;
  /** Number of tasks that run, or whose start was sent. */
  readonly runs: number;
}

/** Length of a measured span; milliseconds. */
const SPAN_MS = 1_000;
/** Busy share of the event loop from which on the processor is the limit. */
const MIN_BUSY_SHARE = 0.9;
/** Time after the last such span for which it stays the limit; milliseconds. */
const AT_LIMIT_MS = 5_000;
/** Number of measured starts from which on a rate counts. */
const MIN_STARTS = 20;
/** Part of the earlier spans in the mean when another is added. */
const RETAINED_SHARE = 0.8;
/** Weight of the previous holder's rate in the mean; milliseconds. */
const INHERITED_MS = 5_000;
const MS_PER_SECOND = 1_000;

/** Options of a meter. */
export interface HolderCapacityMeterOptions {
  readonly clock: types.clock.Clock;
  /** The capacity of the previous holder, according to the log. */
  readonly inherited: HolderCapacity | undefined;
  readonly runs: () => number;
  /** Whether work could start but waits. Without it, demand is the limit. */
  readonly hasWaiting: () => boolean;
  /** Whether workers have room for more. Without it, they are the limit. */
  readonly hasRoom: () => boolean;
  /**
   * Stores the capacity. Called once a span while there is one, and once when
   * there is none any more, but not before the last call is through.
   */
  readonly publish: () => Promise<void>;
  readonly readLoop?: () => loopMonitor.LoopReading;
}

/** Measures one holder. */
export interface HolderCapacityMeter {
  onStart(): void;
  tick(): void;
  /** Undefined unless the processor of the holder is its limit. */
  capacity(): HolderCapacity | undefined;
}

/** Creates a meter; the first span begins now. */
export function createHolderCapacityMeter({
  clock,
  inherited,
  runs,
  hasWaiting,
  hasRoom,
  publish,
  readLoop = () => perfHooks.performance.eventLoopUtilization(),
}: HolderCapacityMeterOptions): HolderCapacityMeter {
  let loopBefore = readLoop();
  let since = clock.monotonic();
  let starts = 0;
  let startsPerSecond = inherited?.startsPerSecond;
  let limitedAt = since;
  let isPublishing = false;
  /** Whether the log says that the holder is at its limit. */
  let isStored = inherited !== undefined;
  /** Weighted sums over the spans that count. */
  let sums = {
    starts: ((inherited?.startsPerSecond ?? 0) * INHERITED_MS) / MS_PER_SECOND,
    spanMs: inherited === undefined ? 0 : INHERITED_MS,
  };
  let measuredStarts = inherited === undefined ? 0 : MIN_STARTS;

  function addSpan(spanMs: number): void {
    // The few starts of the first spans tell little.
    const retained = measuredStarts < MIN_STARTS ? 0 : RETAINED_SHARE;
    sums = {
      starts: sums.starts * retained + starts,
      spanMs: sums.spanMs * retained + spanMs,
    };
    measuredStarts += starts;
    if (measuredStarts >= MIN_STARTS)
      startsPerSecond = (sums.starts * MS_PER_SECOND) / sums.spanMs;
  }

  async function publishOnce(isKnown: boolean): Promise<void> {
    isPublishing = true;
    await publish();
    isPublishing = false;
    isStored = isKnown;
  }

  function endSpan(now: types.clock.MonotonicMs): void {
    const loop = readLoop();
    const activeMs = loop.active - loopBefore.active;
    const idleMs = loop.idle - loopBefore.idle;
    const isBusy = activeMs >= (activeMs + idleMs) * MIN_BUSY_SHARE;
    if (isBusy && hasWaiting() && hasRoom()) {
      limitedAt = now;
      // A holder that starts nothing is occupied with something else, such as
      // its takeover.
      if (starts > 0) addSpan(now - since);
    }
    loopBefore = loop;
    since = now;
    starts = 0;
  }

  function capacity(): HolderCapacity | undefined {
    const isAtLimit = clock.monotonic() - limitedAt < AT_LIMIT_MS;
    if (!isAtLimit || startsPerSecond === undefined) return undefined;
    return {startsPerSecond, runs: runs()};
  }

  return {
    onStart: () => void starts++,
    tick() {
      const now = clock.monotonic();
      if (now - since < SPAN_MS) return;
      endSpan(now);
      const isKnown = capacity() !== undefined;
      if (!isPublishing && (isKnown || isStored)) void publishOnce(isKnown);
    },
    capacity,
  };
}
