/** Measures the processor time of the step scheduler by number of workers. */
import type * as benchModule from './bench_module.js';
import type * as runTimes from './run_times.js';
import * as statistics from './statistics.js';
import * as stepCell from './step_cell.js';
import * as stepLoad from './step_load.js';

/**
 * The load is defined for this many workers and is scaled to the actual number.
 */
const PEAK_WORKERS = 246;
const RUN_SECONDS = 30;
/** Two generations of workers, and tasks unlike their estimates. */
const UNEVEN: runTimes.Unevenness = {
  speeds: [0.7, 0.7, 1.7],
  taskSpread: 0.2,
  estimateSpread: 0.5,
};
/** Same ratio as in the cells from which the load was taken. */
const WORKERS_PER_ENTRY = 8;

export const STEP_BENCH: benchModule.BenchModule = {
  name: 'step-jobs',
  run: (options) => Promise.resolve(runAll(options)),
};

function runAll(options: benchModule.BenchOptions): benchModule.BenchReport {
  const seeds = options.quick ? options.seeds.slice(0, 1) : options.seeds;
  const kinds = stepLoad.PEAK_KINDS.map((kind) => kind.name);
  const rowOf = (workers: number, unevenness?: runTimes.Unevenness) => {
    const runs = seeds.map((seed) =>
      stepCell.runStepCell({
        workers,
        entries: Math.ceil(workers / WORKERS_PER_ENTRY),
        seconds: RUN_SECONDS,
        seed,
        load: workers / PEAK_WORKERS,
        unevenness,
      }),
    );
    const summarize = (valueOf: (run: stepCell.StepCellResult) => number) =>
      statistics.formatMedianAndRange(runs.map(valueOf));
    return [
      workers,
      unevenness?.speeds.join(', ') ?? '1',
      summarize((run) => run.starts / run.seconds),
      summarize((run) => (run.schedulerMs * 1_000) / run.starts),
      summarize((run) => run.schedulerMs / run.seconds / 1_000),
      summarize((run) => run.maxCycleMs),
      ...kinds.map((kind) => summarize((run) => run.onTime.get(kind) ?? 0)),
    ];
  };
  const rows = [33, 82, PEAK_WORKERS].map((workers) => rowOf(workers));
  rows.push(rowOf(PEAK_WORKERS, UNEVEN));
  return {
    notes: [
      `${RUN_SECONDS} s on a virtual clock, seeds ${seeds.join(', ')}; the load grows with the workers; processor time is that of the scheduler alone, without calls`,
    ],
    tables: [
      {
        title: 'Scheduler of step jobs',
        columns: [
          'workers',
          'speeds',
          'starts/s',
          'us a start',
          'cores',
          'longest pass ms',
          ...kinds.map((kind) => `${kind} on time`),
        ],
        rows,
      },
    ],
    plots: [],
  };
}
