/**
 * Logs what a holder does and what it costs: processor time, scheduling cycles
 * and orders. Shows whether the processor, the order window, the adviser or the
 * workers limit the rate at which work starts.
 */
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';

/** Interval between two log lines; milliseconds. */
const REPORT_INTERVAL_MS = 2_000;
const US_PER_MS = 1_000;

/** State of the holder when a line is logged. */
export interface HolderState {
  readonly loopUtilization: number;
  readonly pendingOrders: number;
  readonly windowSize: number;
  readonly waitingSteps: number;
  readonly runs: number;
  /** Processors in use of the workers that accept tasks, in percent. */
  readonly usedPercent: number;
  /**
   * Steps that run slower in some places, and the starts of their tasks, since
   * the holder took over.
   */
  readonly nearSteps: number;
  readonly nearStarts: number;
  readonly farStarts: number;
  readonly nearWaits: number;
  /** Number of these that ended with a start at the near place. */
  readonly nearWaitsWon: number;
}

/** Options of the log. */
export interface HolderLoadOptions {
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly state: () => HolderState;
  /** Processor time that this process has used; milliseconds. */
  readonly cpuMs?: () => number;
}

/** Counts events since the last line. */
export interface HolderLoad {
  /** A cycle that took this long; milliseconds. */
  onCycle(tookMs: number): void;
  /** A cycle that decided nothing because orders wait to be sent. */
  onSkippedCycle(): void;
  onStart(): void;
  onAdviceCall(): void;
  /** Logs a line if one is due. */
  tick(): void;
}

/** Creates the log of a holder; the first span begins now. */
export function createHolderLoad({
  clock,
  logger,
  state,
  cpuMs = readCpuMs,
}: HolderLoadOptions): HolderLoad {
  let since = clock.monotonic();
  let cpuBefore = cpuMs();
  let counts = noCounts();

  function report(now: types.clock.MonotonicMs): void {
    const cpu = cpuMs();
    const {loopUtilization, ...rest} = state();
    logger.info('holder_load', {
      spanMs: Math.round(now - since),
      cpuMs: Math.round(cpu - cpuBefore),
      loopPercent: Math.round(loopUtilization * 100),
      ...counts,
      cycleMs: Math.round(counts.cycleMs),
      ...rest,
    });
    since = now;
    cpuBefore = cpu;
    counts = noCounts();
  }

  return {
    onCycle(tookMs) {
      counts.cycles++;
      counts.cycleMs += tookMs;
    },
    onSkippedCycle: () => void counts.skippedCycles++,
    onStart: () => void counts.starts++,
    onAdviceCall: () => void counts.adviceCalls++,
    tick() {
      const now = clock.monotonic();
      if (now - since >= REPORT_INTERVAL_MS) report(now);
    },
  };
}

function noCounts() {
  return {cycles: 0, cycleMs: 0, skippedCycles: 0, starts: 0, adviceCalls: 0};
}

/** Processor time of this process in milliseconds. */
function readCpuMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / US_PER_MS;
}
