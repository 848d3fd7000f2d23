/**
 * Compares ways to distribute the scheduling over entries, by the size of the
 * cell.
 */
import type * as benchModule from './bench_module.js';
import * as spreadCell from './spread_cell.js';
import * as statistics from './statistics.js';
import * as stepLoad from './step_load.js';

/**
 * The load is defined for this many workers and is scaled to the actual number.
 */
const PEAK_WORKERS = 246;
const SECONDS = 30;
const QUICK_SECONDS = 10;
const WORKER_COUNTS = [33, 250, 400, 1_000];
const SINGLE_DECIDER = {hasHelpers: false, hasCoordinator: false};

const VARIANTS: readonly spreadCell.SpreadVariant[] = [
  {...SINGLE_DECIDER, name: 'one holder'},
  {...SINGLE_DECIDER, name: 'one holder, helpers', hasHelpers: true},
  {...SINGLE_DECIDER, name: 'shards <= 64', shardSize: 64},
  {...SINGLE_DECIDER, name: 'shards <= 128', shardSize: 128},
  {...SINGLE_DECIDER, name: 'shards <= 256', shardSize: 256},
  {
    name: 'shards <= 256, helpers',
    shardSize: 256,
    hasHelpers: true,
    hasCoordinator: false,
  },
  {
    name: 'shards <= 64, coordinator',
    shardSize: 64,
    hasHelpers: false,
    hasCoordinator: true,
  },
];

/** One benchmark for each size, so that they can run in parallel. */
export const SPREAD_BENCHES: readonly benchModule.BenchModule[] =
  WORKER_COUNTS.map((workers) => ({
    name: `spread-${workers}`,
    run: (options) => Promise.resolve(runSize(workers, options)),
  }));

function runSize(
  workers: number,
  options: benchModule.BenchOptions,
): benchModule.BenchReport {
  const seeds = options.quick ? options.seeds.slice(0, 1) : options.seeds;
  const seconds = options.quick ? QUICK_SECONDS : SECONDS;
  warmUp();
  const rows = variantsFor(workers).map((variant) => {
    const runs = seeds.map((seed) =>
      spreadCell.runSpreadCell({
        variant,
        workers,
        seconds,
        seed,
        load: workers / PEAK_WORKERS,
      }),
    );
    return {variant, runs};
  });
  return {
    notes: [
      `${workers} workers, ${seconds} s on a virtual clock, seeds ${seeds.join(', ')}; a process is one thread: deciding takes what it took here, a call 0.25 ms, an item of a batch 0.02 ms`,
    ],
    tables: [
      buildTable('What the cell did', QUALITY, rows),
      buildTable('What it took', COST, rows),
    ],
    plots: [],
  };
}

/** Runs all variants once, so that compilation time is not measured. */
function warmUp(): void {
  for (const variant of VARIANTS) {
    const workers = 250;
    const load = workers / PEAK_WORKERS;
    spreadCell.runSpreadCell({
      variant,
      workers,
      seconds: 3,
      seed: 1,
      load,
    });
  }
}

/** Returns the variants that differ from each other at this size. */
function variantsFor(workers: number): spreadCell.SpreadVariant[] {
  const seen = new Set<string>();
  return VARIANTS.filter((variant) => {
    const shards = spreadCell.countShards(variant, workers);
    const key = `${shards} ${variant.hasHelpers} ${variant.hasCoordinator}`;
    return seen.has(key) ? false : seen.add(key);
  });
}

type Column = readonly [
  name: string,
  valueOf: (run: spreadCell.SpreadResult) => number,
];

const QUALITY: readonly Column[] = [
  ['starts/s', (run) => run.starts / run.seconds],
  ...stepLoad.PEAK_KINDS.map(({name}): Column => [
    `${name} on time`,
    (run) => run.onTime.get(name) ?? 0,
  ]),
  ['gangs begun whole', (run) => run.gangsStartedWhole],
  ['gangs begun in part', (run) => run.gangsPartial],
  ['free, nothing fits', (run) => run.unfitShare],
  ['free, a task would fit', (run) => run.unusedShare],
];

const COST: readonly Column[] = [
  ['deciding us a start', (run) => (run.decidingMs * 1_000) / run.starts],
  ['cores, busiest decider', (run) => Math.max(...run.deciderCores)],
  ['cores, mean decider', (run) => mean(run.deciderCores)],
  ['cores, busiest helper', (run) => Math.max(0, ...run.helperCores)],
  ['adviser calls a job', (run) => run.adviserCalls / run.jobs],
  ['moves a job', (run) => run.moves / run.jobs],
  ['refused reservations', (run) => run.conflicts],
  ['overbooked workers', (run) => run.overbooked],
];

interface VariantRuns {
  readonly variant: spreadCell.SpreadVariant;
  readonly runs: readonly spreadCell.SpreadResult[];
}

function buildTable(
  title: string,
  columns: readonly Column[],
  rows: readonly VariantRuns[],
): benchModule.BenchTable {
  return {
    title,
    columns: ['way', 'shards', ...columns.map(([name]) => name)],
    rows: rows.map(({variant, runs}) => [
      variant.name,
      runs[0]?.shards ?? 0,
      ...columns.map(([, valueOf]) =>
        statistics.formatMedianAndRange(runs.map(valueOf)),
      ),
    ]),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
