/**
 * Measures how busy the event loop of this process is. A process whose loop is
 * always busy answers late, however healthy it is.
 */
import * as perfHooks from 'node:perf_hooks';
import type * as types from '@gypsumwall/types';

/** Minimum length of a measured span; milliseconds. */
const MIN_SPAN_MS = 250;

/** A reading of the time that the event loop was busy and idle. */
export type LoopReading = perfHooks.EventLoopUtilization;

/** Options of a loop monitor. */
export interface LoopMonitorOptions {
  readonly clock: types.clock.Clock;
  readonly read?: () => LoopReading;
}

/** Measures one event loop. */
export interface LoopMonitor {
  /**
   * Busy share of the newest measured span, from 0 to 1. Each call may complete
   * a span, so a rare caller gets the mean since its last call.
   */
  utilization(): number;
}

/** Creates a monitor; the first span begins now. */
export function createLoopMonitor({
  clock,
  read = () => perfHooks.performance.eventLoopUtilization(),
}: LoopMonitorOptions): LoopMonitor {
  let start = read();
  let startedAt = clock.monotonic();
  let utilization = 0;
  return {
    utilization() {
      const now = clock.monotonic();
      if (now - startedAt < MIN_SPAN_MS) return utilization;
      const end = read();
      const activeMs = end.active - start.active;
      const totalMs = activeMs + end.idle - start.idle;
      utilization = totalMs > 0 ? activeMs / totalMs : 0;
      start = end;
      startedAt = now;
      return utilization;
    },
  };
}
