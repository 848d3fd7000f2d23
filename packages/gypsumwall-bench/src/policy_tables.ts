/** Tables and plots of the policy benchmark. */
import type * as benchModule from './bench_module.js';
import type * as cellMeasures from './cell_measures.js';
import type * as profiles from './profiles.js';
import * as statistics from './statistics.js';

/** One run of one policy with one seed. */
export interface PolicyRun {
  readonly policy: 'policy' | 'baseline';
  readonly seed: number;
  readonly measures: cellMeasures.CellMeasures;
}

export interface ScenarioResult {
  readonly name: string;
  readonly profile: profiles.Profile;
  readonly runs: readonly PolicyRun[];
}

const PERCENTILES = [50, 99, 99.9] as const;

export function buildReport(
  results: readonly ScenarioResult[],
  run: {readonly seeds: readonly number[]; readonly horizonMs: number},
): benchModule.BenchReport {
  return {
    notes: [
      `seeds ${run.seeds.join(', ')}; ${run.horizonMs / 60_000} virtual minutes each, the first quarter is warm-up; medians over seeds with [lowest..highest]`,
      'baseline: FIFO first-fit on declared sizes that skips what does not fit',
      'tasks that had not started at the end count with the wait so far',
      'work: processor time used after the warm-up; bound: all processors busy all that time, or, if less, the true work offered until the end (a task for no longer than from its arrival) less what the policy had done in the warm-up; no schedule passes it',
      'avoidable misses: deadlines that an offline schedule of the same admitted work meets (preemptive earliest deadline first on one pool of processors, true sizes known, nothing else running)',
      'tasks that want more processors than a worker has share them and take longer: the worker is crowded',
      'waiting ends with the first start that does not fail at once; jobs that can never run are left out of it',
    ],
    tables: [
      waitTable(results),
      ratioTable(results),
      packingTable(results),
      deadlineTable(results),
      controlTable(results),
    ],
    plots: results.slice(0, 2).map(waitPlot),
  };
}

function runsOf(
  result: ScenarioResult,
  policy: PolicyRun['policy'],
): PolicyRun[] {
  return result.runs.filter((each) => each.policy === policy);
}

function waitPercentile(
  run: PolicyRun,
  className: string,
  percentile: number,
): number {
  const histogram = run.measures.waits.get(className);
  return histogram === undefined
    ? NaN
    : histogram.getValueAtPercentile(percentile);
}

function classesOf(result: ScenarioResult): string[] {
  return result.profile.classes
    .filter((each) => each.kind !== 'service')
    .map((each) => each.name);
}

function waitTable(results: readonly ScenarioResult[]): benchModule.BenchTable {
  const rows = results.flatMap((result) =>
    classesOf(result).flatMap((className) =>
      (['policy', 'baseline'] as const).map((policy) => [
        result.name,
        className,
        policy,
        ...PERCENTILES.map((percentile) =>
          statistics.formatMedianAndRange(
            runsOf(result, policy).map((run) =>
              waitPercentile(run, className, percentile),
            ),
          ),
        ),
      ]),
    ),
  );
  const columns = [
    'scenario',
    'class',
    'policy',
    'p50 ms',
    'p99 ms',
    'p99.9 ms',
  ];
  return {title: 'Waiting until the start', columns, rows};
}

/** Returns the policy run and the baseline run of each seed. */
function pairBySeed(result: ScenarioResult): Array<[PolicyRun, PolicyRun]> {
  const baselines = new Map(
    runsOf(result, 'baseline').map((run) => [run.seed, run]),
  );
  return runsOf(result, 'policy').map((run) => [run, baselines.get(run.seed)!]);
}

function ratioTable(
  results: readonly ScenarioResult[],
): benchModule.BenchTable {
  const rows = results.map((result) => {
    const urgent = result.profile.classes.find(
      (each) => each.urgency === 'urgent' && each.kind === 'batch',
    )!;
    const waits = pairBySeed(result).map(
      ([ownRun, baselineRun]) =>
        waitPercentile(baselineRun, urgent.name, 99) /
        waitPercentile(ownRun, urgent.name, 99),
    );
    const work = pairBySeed(result).map(
      ([ownRun, baselineRun]) =>
        ownRun.measures.usedCoreMs / baselineRun.measures.usedCoreMs,
    );
    return [
      result.name,
      statistics.formatMedianAndRange(waits),
      statistics.formatMedianAndRange(work),
    ];
  });
  return {
    title: 'Ratios within one seed',
    columns: [
      'scenario',
      'urgent p99: baseline / policy',
      'work: policy / baseline',
    ],
    rows,
  };
}

function buildTable(
  title: string,
  results: readonly ScenarioResult[],
  figures: ReadonlyArray<{
    readonly name: string;
    readonly valueOf: (measures: cellMeasures.CellMeasures) => number;
  }>,
): benchModule.BenchTable {
  const rows = results.flatMap((result) =>
    (['policy', 'baseline'] as const).map((policy) => [
      result.name,
      policy,
      ...figures.map((figure) =>
        statistics.formatMedianAndRange(
          runsOf(result, policy).map((run) => figure.valueOf(run.measures)),
        ),
      ),
    ]),
  );
  const columns = ['scenario', 'policy', ...figures.map((each) => each.name)];
  return {title, columns, rows};
}

function packingTable(
  results: readonly ScenarioResult[],
): benchModule.BenchTable {
  return buildTable('Packing', results, [
    {
      name: 'work / bound %',
      valueOf: (m) => (100 * m.usedCoreMs) / m.boundCoreMs,
    },
    {
      name: 'used / held %',
      valueOf: (m) => (100 * m.usedCoreMs) / m.reservedCoreMs,
    },
    {
      name: 'held / capacity %',
      valueOf: (m) => (100 * m.reservedCoreMs) / m.capacityCoreMs,
    },
    {
      name: 'worker time crowded %',
      valueOf: (m) => (100 * m.crowdedWorkerMs) / m.workerMs,
    },
    {
      name: 'worker time over memory %',
      valueOf: (m) => (100 * m.overMemoryWorkerMs) / m.workerMs,
    },
  ]);
}

function deadlineTable(
  results: readonly ScenarioResult[],
): benchModule.BenchTable {
  const total = (counts: ReadonlyMap<string, number>) =>
    [...counts.values()].reduce((sum, each) => sum + each, 0);
  return buildTable('Deadlines, refusals and ends', results, [
    {name: 'jobs', valueOf: (m) => m.jobsSubmitted},
    {name: 'refused', valueOf: (m) => total(m.refusedByReason)},
    {name: 'done', valueOf: (m) => m.jobsDone},
    {name: 'with deadline', valueOf: (m) => m.deadlineJobs},
    {name: 'missed', valueOf: (m) => m.deadlinesMissed},
    {name: 'avoidable', valueOf: (m) => m.avoidableMisses},
    {name: 'failed runs', valueOf: (m) => m.failedAttempts},
    {name: 'given up', valueOf: (m) => m.jobsAbandoned},
  ]);
}

function controlTable(
  results: readonly ScenarioResult[],
): benchModule.BenchTable {
  return buildTable('Control cost', results, [
    {name: 'placements', valueOf: (m) => m.placements},
    {
      name: 'us / placement',
      valueOf: (m) => m.decideTotalNs / m.placements / 1000,
    },
    {
      name: 'decide p50 us',
      valueOf: (m) => m.decideNs.getValueAtPercentile(50) / 1000,
    },
    {
      name: 'decide p99 us',
      valueOf: (m) => m.decideNs.getValueAtPercentile(99) / 1000,
    },
    {name: 'throttles', valueOf: (m) => m.throttles},
    {name: 'checkpoints', valueOf: (m) => m.checkpoints},
  ]);
}

function waitPlot(result: ScenarioResult): benchModule.BenchPlot {
  const percents = [50, 75, 90, 95, 99, 99.5, 99.9];
  const urgent = result.profile.classes.find(
    (each) => each.urgency === 'urgent' && each.kind === 'batch',
  )!;
  return {
    title: `${result.name}: ${urgent.name}`,
    xLabel: '1 / (1 - percentile)',
    yLabel: 'wait, ms',
    logX: true,
    logY: true,
    series: (['policy', 'baseline'] as const).map((policy) => ({
      name: policy,
      points: percents.map((percent) => ({
        x: 100 / (100 - percent),
        y: statistics.median(
          runsOf(result, policy).map((run) =>
            waitPercentile(run, urgent.name, percent),
          ),
        ),
      })),
    })),
  };
}
