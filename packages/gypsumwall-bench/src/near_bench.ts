/**
 * Compares how long steps wait for a near place: never, a fixed time as delay
 * scheduling does, and as long as a forecast says that it pays.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import type * as benchModule from './bench_module.js';
import * as statistics from './statistics.js';
import * as stepCell from './step_cell.js';
import * as stepLoad from './step_load.js';

const WORKERS = 246;
const ENTRIES = 31;
const RUN_SECONDS = 30;
/** Arrival rates relative to those of the peak. */
const LOADS = [0.5, 0.8, 1] as const;
const FAR_FACTORS = [1.5, 3] as const;
const DATA_SHARE = 0.5;
const SAME_RACK_SHARE = 0.5;
const ESTIMATE_SIGMA = 0.7;

interface Way {
  readonly name: string;
  readonly decidePlace?: scheduling.waitForPlace.DecidePlace;
}

const WAYS: readonly Way[] = [
  {
    name: 'never',
    decidePlace: () => ({type: 'start_far', reason: 'no_gain'}),
  },
  {name: 'fixed 500 ms', decidePlace: waitFixed(500)},
  {name: 'fixed 3 s', decidePlace: waitFixed(3_000)},
  {name: 'forecast'},
];

export const NEAR_BENCH: benchModule.BenchModule = {
  name: 'near-places',
  run: (options) => Promise.resolve(runAll(options)),
};

/** Waits for this time from when the step first could have started far. */
function waitFixed(waitMs: number): scheduling.waitForPlace.DecidePlace {
  const waits = new Map<number, types.clock.MonotonicMs>();
  return ({now, waitEndsAt}) => {
    // The end of the longest allowed wait identifies the step.
    const until =
      waits.get(waitEndsAt) ?? ((now + waitMs) as types.clock.MonotonicMs);
    waits.set(waitEndsAt, until);
    return now < until
      ? {type: 'wait', until}
      : {type: 'start_far', reason: 'waited_enough'};
  };
}

function runAll(options: benchModule.BenchOptions): benchModule.BenchReport {
  const seeds = options.quick ? options.seeds.slice(0, 1) : options.seeds;
  const tables = FAR_FACTORS.map((farFactor) => ({
    title: `Far starts run ${farFactor} times as long`,
    columns: columnsOf(),
    rows: LOADS.flatMap((load) =>
      WAYS.map((way) => rowOf(way, load, farFactor, seeds)),
    ),
  }));
  return {
    notes: [
      `${RUN_SECONDS} s on a virtual clock, ${WORKERS} workers in racks of 20, seeds ${seeds.join(', ')}; load 1 is the peak`,
      `${DATA_SHARE} of the steps of single tasks have data in one rack, ${SAME_RACK_SHARE} of the gangs need one rack; actual run times are log-normal around the estimates, sigma ${ESTIMATE_SIGMA}`,
      'on time and mean s: share of the jobs that met their objective, and the mean time until a job ended',
    ],
    tables,
    plots: [],
  };
}

function columnsOf(): string[] {
  return [
    'load',
    'way',
    ...stepLoad.PEAK_KINDS.flatMap(({name}) => [
      `${name} on time`,
      `${name} mean s`,
    ]),
    'near share',
    'waits won',
    'waits lost',
    'us a start',
  ];
}

function rowOf(
  {name, decidePlace}: Way,
  load: number,
  farFactor: number,
  seeds: readonly number[],
): (string | number)[] {
  const runs = seeds.map((seed) =>
    stepCell.runStepCell({
      workers: WORKERS,
      entries: ENTRIES,
      seconds: RUN_SECONDS,
      seed,
      load,
      nearWork: {
        farFactor,
        decidePlace,
        dataShare: DATA_SHARE,
        sameRackShare: SAME_RACK_SHARE,
        estimateSigma: ESTIMATE_SIGMA,
      },
    }),
  );
  const summarize = (valueOf: (run: stepCell.StepCellResult) => number) =>
    statistics.formatMeanAndError(runs.map(valueOf));
  return [
    load,
    name,
    ...stepLoad.PEAK_KINDS.flatMap((kind) => [
      summarize((run) => run.onTime.get(kind.name) ?? 0),
      summarize((run) => (run.tookMs.get(kind.name)?.mean ?? 0) / 1_000),
    ]),
    summarize(({near}) => near.nearStarts / (near.nearStarts + near.farStarts)),
    summarize(({near}) => near.waitsWon),
    summarize(({near}) => near.waitsLost),
    summarize((run) => (run.schedulerMs * 1_000) / run.starts),
  ];
}
