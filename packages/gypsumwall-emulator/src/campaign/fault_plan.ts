/**
 * Draws the faults of a campaign from a seed: several series run at the same
 * time, each with one fault after the other.
 */
import * as types from '@gypsumwall/types';
import type * as storeFaults from '../model/store_faults.js';

/** The entry that a fault affects: the holder at that time, or an index. */
export type EntryTarget = 'holder' | number;

/** A fault of the platform, its machines or its traffic. */
export type CampaignFault =
  /** Appends take this many times as long. */
  | {readonly type: 'store_slow'; readonly factor: number}
  | {
      readonly type: 'store_fault';
      readonly target: 'all' | EntryTarget;
      readonly fault: storeFaults.StoreFault;
    }
  | {readonly type: 'kill'; readonly target: EntryTarget}
  | {readonly type: 'terminate'; readonly target: EntryTarget}
  | {readonly type: 'freeze'; readonly target: EntryTarget}
  | {readonly type: 'worker_crash'; readonly machine: number}
  /** Workers crash together, and the holder is killed soon after. */
  | {
      readonly type: 'crash_beside_kill';
      readonly machines: readonly number[];
      readonly killAfterMs: number;
    }
  /** Leaves this share of every worker's processors. */
  | {readonly type: 'small_workers'; readonly share: number}
  /** An organisation gets a new key and loses its oldest one. */
  | {readonly type: 'new_key'; readonly organisation: number}
  /** Adds this many jobs at once. */
  | {readonly type: 'burst'; readonly jobs: number};

/** A fault and when it begins and ends, counted from the campaign's start. */
export interface PlannedFault {
  readonly startMs: number;
  readonly endMs: number;
  readonly fault: CampaignFault;
}

/** Options of {@link drawFaultPlan}. */
export interface FaultPlanOptions {
  readonly seed: number;
  readonly entries: number;
  readonly machines: number;
  readonly organisations: number;
  readonly durationMs: number;
  /** Whether workers often crash beside losses of the holder. */
  readonly crashesBesideKills?: boolean;
}

type DrawFault = () => CampaignFault;

/** A series of faults; times are ranges in milliseconds. */
interface Series {
  readonly pauseMs: readonly [number, number];
  readonly lengthMs: readonly [number, number];
  readonly draw: DrawFault;
}

const MAX_SLOWDOWN = 60;
const MIN_SLOWDOWN = 10;
const MAX_LATE_MS = 4_000;
const MAX_BURST_JOBS = 150;
const MIN_BURST_JOBS = 30;
const MAX_CRASHED_TOGETHER = 2;
/** Before a crashed worker is back, so that the holder can't know of it. */
const MAX_KILL_DELAY_MS = 900;

/** Draws the plan, ordered by start. */
export function drawFaultPlan(options: FaultPlanOptions): PlannedFault[] {
  const random = types.random.createRandom(options.seed);
  const series = listSeries(random, options);
  // The last one, so that the others are the same with and without it.
  if (options.crashesBesideKills === true)
    series.push(createCrashSeries(random, options));
  return series
    .flatMap((series) => drawSeries(random, series, options.durationMs))
    .sort((left, right) => left.startMs - right.startMs);
}

function createCrashSeries(
  random: types.random.Random,
  {machines}: FaultPlanOptions,
): Series {
  return {
    pauseMs: [1_500, 3_000],
    lengthMs: [1_000, 1_000],
    draw: () => ({
      type: 'crash_beside_kill',
      machines: Array.from(
        {length: random.integer(1, MAX_CRASHED_TOGETHER)},
        () => random.integer(0, machines - 1),
      ),
      killAfterMs: random.integer(0, MAX_KILL_DELAY_MS),
    }),
  };
}

function drawSeries(
  random: types.random.Random,
  {pauseMs, lengthMs, draw}: Series,
  durationMs: number,
): PlannedFault[] {
  const planned: PlannedFault[] = [];
  let startMs = random.integer(...pauseMs);
  while (startMs < durationMs) {
    const lastingMs = random.integer(...lengthMs);
    const endMs = Math.min(durationMs, startMs + lastingMs);
    planned.push({startMs, endMs, fault: draw()});
    startMs = endMs + random.integer(...pauseMs);
  }
  return planned;
}

function listSeries(
  random: types.random.Random,
  {entries, machines, organisations}: FaultPlanOptions,
): Series[] {
  const pick = <Value>(values: readonly Value[]): Value =>
    values[random.integer(0, values.length - 1)]!;
  const drawEntry = (): EntryTarget =>
    random.next() < 0.5 ? 'holder' : random.integer(0, entries - 1);
  const drawStoreTarget = () => (random.next() < 0.4 ? 'all' : drawEntry());

  const drawStoreFault = (): storeFaults.StoreFault =>
    pick<() => storeFaults.StoreFault>([
      () => ({type: 'unavailable'}),
      () => ({type: 'throttled'}),
      () => ({type: 'silent'}),
      () => ({type: 'slow', addedMs: random.integer(50, 1_000)}),
      () => ({type: 'resetting', share: random.next()}),
      () => ({type: 'failing', share: random.next()}),
      ...Array<() => storeFaults.StoreFault>(3).fill(() => ({
        type: 'lossy',
        lostShare: random.next() / 2,
        lateShare: random.next() / 2,
        maxDelayMs: random.integer(200, MAX_LATE_MS),
      })),
    ])();
  const drawEntryFault = (): CampaignFault => {
    const type = pick([
      'kill',
      'kill',
      'freeze',
      'freeze',
      'terminate',
    ] as const);
    return {type, target: drawEntry()};
  };
  const storeFaults: Series = {
    pauseMs: [200, 3_000],
    lengthMs: [300, 4_000],
    draw: () => ({
      type: 'store_fault',
      target: drawStoreTarget(),
      fault: drawStoreFault(),
    }),
  };
  const entryFaults: Series = {
    pauseMs: [1_000, 4_000],
    lengthMs: [1_000, 4_000],
    draw: drawEntryFault,
  };
  return [
    {
      pauseMs: [500, 3_000],
      lengthMs: [2_000, 8_000],
      draw: () => ({
        type: 'store_slow',
        factor: random.integer(MIN_SLOWDOWN, MAX_SLOWDOWN),
      }),
    },
    storeFaults,
    storeFaults,
    entryFaults,
    entryFaults,
    {
      pauseMs: [2_000, 8_000],
      lengthMs: [0, 0],
      draw: () =>
        random.next() < 0.3
          ? {type: 'worker_crash', machine: random.integer(0, machines - 1)}
          : {
              type: 'burst',
              jobs: random.integer(MIN_BURST_JOBS, MAX_BURST_JOBS),
            },
    },
    {
      pauseMs: [2_000, 8_000],
      lengthMs: [500, 4_000],
      draw: () => ({type: 'small_workers', share: random.next()}),
    },
    {
      pauseMs: [500, 4_000],
      lengthMs: [0, 0],
      draw: () => ({
        type: 'new_key',
        organisation: random.integer(0, Math.max(0, organisations - 1)),
      }),
    },
  ];
}
