/**
 * Measures the processor time of a placement decision by the number of workers.
 */
import type * as hdr from 'hdr-histogram-js';
import * as placement from '@gypsumwall/placement';
import * as types from '@gypsumwall/types';
import type * as benchModule from './bench_module.js';
import * as cellMeasures from './cell_measures.js';
import * as distributions from './distributions.js';
import * as statistics from './statistics.js';

const WORKER_COUNTS = [30, 300, 2000, 31_000];
const CAPACITY = {cpuMillis: 32_000, memoryMb: 131_072, accelerators: 0};
const WORKERS_PER_RACK = 8;
const TEAMS = 8;
/**
 * Number of waiting tasks that is maintained, so that each round has a choice.
 */
const BACKLOG_TASKS = 500;
/** Upper end of the histogram; a decision that takes longer was interrupted. */
const MAX_DECIDE_NS = 1e9;
const WARM_UP_ROUNDS = 5000;
const MAX_BASELINE_WORKERS = 2000;

const POLICIES = ['policy', 'baseline'] as const;
type Policy = (typeof POLICIES)[number];

interface DecisionRun {
  readonly workers: number;
  readonly policy: Policy;
  readonly decideNs: hdr.Histogram;
  readonly perSecond: number;
  readonly tasks: number;
}

export const DECISION_BENCH: benchModule.BenchModule = {
  name: 'placement-decisions',
  run: (options) => Promise.resolve(runAll(options)),
};

function runAll(options: benchModule.BenchOptions): benchModule.BenchReport {
  const rounds = options.quick ? 4000 : 20_000;
  const seeds = options.quick ? options.seeds.slice(0, 1) : options.seeds;
  const runs: DecisionRun[] = [];
  for (const seed of seeds) {
    for (const workers of WORKER_COUNTS) {
      for (const policy of POLICIES) {
        if (!isMeasured(policy, workers)) continue;
        // The baseline checks every worker on each decision, so it runs fewer
        // rounds.
        const share = policy === 'policy' ? 1 : 0.05;
        runs.push(
          measureDecisions(workers, policy, seed, Math.ceil(rounds * share)),
        );
      }
    }
  }
  return buildReport(runs, seeds, rounds);
}

/**
 * The baseline is skipped for 31,000 workers, because filling them takes it
 * most of a minute.
 */
function isMeasured(policy: Policy, workers: number): boolean {
  return policy === 'policy' || workers <= MAX_BASELINE_WORKERS;
}

function measureDecisions(
  workers: number,
  policy: Policy,
  seed: number,
  rounds: number,
): DecisionRun {
  const random = types.random.createRandom(seed);
  const placer = createPlacer(policy, seed);
  const running: types.ids.TaskId[] = [];
  let now = 0;
  let jobs = 0;
  const decideNs = cellMeasures.buildHistogram(MAX_DECIDE_NS);

  for (let n = 0; n < workers; n += 1) {
    const rack = Math.floor(n / WORKERS_PER_RACK);
    placer.setWorker({
      id: types.ids.brand(`worker-${n}`),
      rack: types.ids.brand(`rack-${rack}`),
      capacity: CAPACITY,
    });
  }

  function enqueue(): void {
    jobs += 1;
    const spec = drawSpec(random, now);
    placer.enqueue({
      jobId: types.ids.brand(`bench.${jobs}`),
      spec,
      acceptedAt: now as types.clock.WallMs,
      waiting: Array.from(
        {length: types.job.maxTaskCount(spec.shape)},
        (_, index) => index,
      ),
    });
  }

  function decide(limit: number): number {
    const {placements} = placer.decide(now as types.clock.WallMs, limit);
    for (const {taskId} of placements) running.push(taskId);
    return placements.length;
  }

  /** Ends a random task. The last task of the list takes its place. */
  function endRandomTask(): void {
    const index = random.integer(0, running.length - 1);
    const taskId = running[index]!;
    const last = running.pop()!;
    if (index < running.length) running[index] = last;
    placer.release(taskId, {type: 'done', ranMs: 10_000});
  }

  function fillWorkers(): void {
    for (;;) {
      while (placer.waitingTasks() < BACKLOG_TASKS) enqueue();
      if (decide(BACKLOG_TASKS) === 0) return;
    }
  }

  /**
   * Ends a task, enqueues a job if too few tasks wait, and decides until
   * nothing is placed.
   */
  function runRound(isRecorded: boolean): number {
    endRandomTask();
    if (placer.waitingTasks() < BACKLOG_TASKS) enqueue();
    now += 1;
    let placed = 0;
    for (;;) {
      const before = process.hrtime.bigint();
      const count = decide(1);
      const spentNs = Number(process.hrtime.bigint() - before);
      if (isRecorded && count > 0) decideNs.recordValue(spentNs);
      placed += count;
      if (count === 0) return placed;
    }
  }

  fillWorkers();
  const warmUp = Math.min(WARM_UP_ROUNDS, rounds);
  for (let n = 0; n < warmUp; n += 1) runRound(false);
  const startedAt = performance.now();
  let placed = 0;
  for (let n = 0; n < rounds; n += 1) placed += runRound(true);
  const seconds = (performance.now() - startedAt) / 1000;
  const tasks = running.length;
  return {workers, policy, decideNs, perSecond: placed / seconds, tasks};
}

function createPlacer(policy: Policy, seed: number): placement.placer.Placer {
  switch (policy) {
    case 'policy':
      return placement.createPlacer.createPlacer({
        random: types.random.createRandom(seed),
      });
    case 'baseline':
      return placement.createBaselinePlacer.createBaselinePlacer();
  }
}

/**
 * Draws mostly small batch jobs with tasks of about 4 cores; some are gangs or
 * services, some have deadlines.
 */
function drawSpec(random: types.random.Random, now: number): types.job.JobSpec {
  const cores = distributions.drawHeavyTailed(random, {
    median: 3,
    sigma: 0.6,
    low: 0.5,
    high: 16,
  });
  const kindDraw = random.next();
  const urgencyDraw = random.next();
  const deadline =
    random.next() < 0.2 ? now + random.integer(60_000, 3_600_000) : undefined;
  return {
    team: types.ids.brand(`team-${random.integer(1, TEAMS)}`),
    shape: drawShape(kindDraw, random),
    jobClass: `class-${random.integer(1, 20)}`,
    urgency:
      urgencyDraw < 0.1 ? 'urgent' : urgencyDraw < 0.5 ? 'normal' : 'overnight',
    size: {
      cpuMillis: Math.ceil(cores * 1000),
      memoryMb: Math.ceil(cores * 1024 * (0.5 + random.next() * 3)),
      accelerators: 0,
    },
    estimateMs: 10_000,
    deadline: deadline as types.clock.WallMs | undefined,
    work: {command: 'bench', args: {}},
  };
}

function drawShape(
  kindDraw: number,
  random: types.random.Random,
): types.job.JobShape {
  if (kindDraw < 0.02) return {kind: 'gang', tasks: random.integer(2, 8)};
  if (kindDraw < 0.04) return {kind: 'service', replicas: random.integer(2, 6)};
  return {kind: 'batch', tasks: random.integer(1, 4)};
}

function buildReport(
  runs: readonly DecisionRun[],
  seeds: readonly number[],
  rounds: number,
): benchModule.BenchReport {
  const runsOf = (policy: Policy, workers: number) =>
    runs.filter((run) => run.policy === policy && run.workers === workers);
  const valuesOf = (
    policy: Policy,
    workers: number,
    valueOf: (run: DecisionRun) => number,
  ) => runsOf(policy, workers).map(valueOf);
  const at = (percentile: number) => (run: DecisionRun) =>
    run.decideNs.getValueAtPercentile(percentile) / 1000;
  const mean = (run: DecisionRun) => run.decideNs.mean / 1000;
  const rows = WORKER_COUNTS.flatMap((workers) =>
    POLICIES.filter((policy) => isMeasured(policy, workers)).map((policy) => [
      workers,
      policy,
      statistics.median(valuesOf(policy, workers, (run) => run.tasks)),
      statistics.formatMedianAndRange(valuesOf(policy, workers, mean)),
      statistics.formatMedianAndRange(valuesOf(policy, workers, at(50))),
      statistics.formatMedianAndRange(valuesOf(policy, workers, at(99))),
      statistics.formatMedianAndRange(valuesOf(policy, workers, at(99.9))),
      statistics.formatMedianAndRange(
        valuesOf(policy, workers, (run) => run.perSecond),
      ),
    ]),
  );
  const points = (policy: Policy, valueOf: (run: DecisionRun) => number) =>
    WORKER_COUNTS.filter((workers) => isMeasured(policy, workers)).map(
      (workers) => ({
        x: workers,
        y: statistics.median(valuesOf(policy, workers, valueOf)),
      }),
    );
  return {
    notes: [
      `full workers and ${BACKLOG_TASKS} waiting tasks; each round ends a task, enqueues one job if fewer wait, and calls decide(now, 1) until it places nothing; ${rounds} rounds, seeds ${seeds.join(', ')}`,
      'decide times are of calls that placed a task; decisions/s count all calls, releases and enqueues, on one core',
      `the baseline is not run beyond ${MAX_BASELINE_WORKERS} workers`,
    ],
    tables: [
      {
        title: 'Decisions by number of workers',
        columns: [
          'workers',
          'policy',
          'running tasks',
          'mean us',
          'p50 us',
          'p99 us',
          'p99.9 us',
          'decisions/s',
        ],
        rows,
      },
      slopeTable(points),
    ],
    plots: [
      {
        title: 'Decision time by number of workers',
        xLabel: 'workers',
        yLabel: 'mean, us',
        logX: true,
        logY: true,
        series: POLICIES.map((policy) => ({
          name: policy,
          points: points(policy, mean),
        })),
      },
    ],
  };
}

type Points = (
  policy: Policy,
  take: (run: DecisionRun) => number,
) => Array<{x: number; y: number}>;

function slopeTable(points: Points): benchModule.BenchTable {
  const figures = {
    mean: (run: DecisionRun) => run.decideNs.mean / 1000,
    p99: (run: DecisionRun) => run.decideNs.getValueAtPercentile(99) / 1000,
  };
  const rows = POLICIES.flatMap((policy) =>
    Object.entries(figures).map(([name, take]) => {
      const measured = points(policy, take);
      const perDoubling = statistics.fitSlope(
        measured.map(({x, y}) => ({x: Math.log2(x), y})),
      );
      const exponent = statistics.fitSlope(
        measured.map(({x, y}) => ({x: Math.log(x), y: Math.log(y)})),
      );
      return [policy, name, perDoubling, exponent];
    }),
  );
  return {
    title:
      'Growth with the number of workers (least squares over the sizes run)',
    columns: ['policy', 'figure', 'us per doubling', 'exponent of workers'],
    rows,
  };
}
