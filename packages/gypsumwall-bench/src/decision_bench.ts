/** Processor time of one placement decision, by the number of workers. */
import type * as hdr from 'hdr-histogram-js';
import * as placement from '@gypsumwall/placement';
import * as types from '@gypsumwall/types';
import type * as benchModule from './bench_module.js';
import * as cellMeasures from './cell_measures.js';
import * as draw from './draw.js';
import * as statistics from './statistics.js';

const WORKER_COUNTS = [30, 300, 2000, 31_000];
const CAPACITY = {cpuMillis: 32_000, memoryMb: 131_072, accelerators: 0};
const WORKERS_PER_RACK = 8;
const TEAMS = 8;
/** Jobs that wait throughout, so that a round always has a choice. */
const BACKLOG = 500;
/** A decision that took longer was interrupted by something else. */
const LONGEST_NS = 1e9;
const WARM_UP = 5000;
const MOST_FOR_BASELINE = 2000;

const POLICIES = ['policy', 'baseline'] as const;
type Policy = (typeof POLICIES)[number];

interface DecisionRun {
  readonly workers: number;
  readonly policy: Policy;
  readonly decideNs: hdr.Histogram;
  readonly perSecond: number;
  readonly tasks: number;
}

/** The bench. */
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
        if (!isRun(policy, workers)) continue;
        // The baseline looks at every worker; fewer rounds will do for it.
        const share = policy === 'policy' ? 1 : 0.05;
        runs.push(runOne(workers, policy, seed, Math.ceil(rounds * share)));
      }
    }
  }
  return report(runs, seeds, rounds);
}

/** Filling 31,000 workers takes the baseline most of a minute. */
function isRun(policy: Policy, workers: number): boolean {
  return policy === 'policy' || workers <= MOST_FOR_BASELINE;
}

function runOne(
  workers: number,
  policy: Policy,
  seed: number,
  rounds: number,
): DecisionRun {
  const random = types.random.createRandom(seed);
  const placer = makePlacer(policy, seed);
  const running: types.ids.TaskId[] = [];
  let now = 0;
  let jobs = 0;
  const decideNs = cellMeasures.buildHistogram(LONGEST_NS);

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

  /** Ends one task; the newest takes its place in the list. */
  function endOne(): void {
    const pick = random.integer(0, running.length - 1);
    const taskId = running[pick]!;
    const last = running.pop()!;
    if (pick < running.length) running[pick] = last;
    placer.release(taskId, {type: 'done', ranMs: 10_000});
  }

  function fill(): void {
    for (;;) {
      while (placer.waitingTasks() < BACKLOG) enqueue();
      if (decide(BACKLOG) === 0) return;
    }
  }

  /** One end, one arrival, decisions until nothing more is found. */
  function round(measured: boolean): number {
    endOne();
    if (placer.waitingTasks() < BACKLOG) enqueue();
    now += 1;
    let placed = 0;
    for (;;) {
      const before = process.hrtime.bigint();
      const count = decide(1);
      const spentNs = Number(process.hrtime.bigint() - before);
      if (measured && count > 0) decideNs.recordValue(spentNs);
      placed += count;
      if (count === 0) return placed;
    }
  }

  fill();
  const warmUp = Math.min(WARM_UP, rounds);
  for (let n = 0; n < warmUp; n += 1) round(false);
  const startedAt = performance.now();
  let placed = 0;
  for (let n = 0; n < rounds; n += 1) placed += round(true);
  const seconds = (performance.now() - startedAt) / 1000;
  const tasks = running.length;
  return {workers, policy, decideNs, perSecond: placed / seconds, tasks};
}

function makePlacer(policy: Policy, seed: number): placement.placer.Placer {
  switch (policy) {
    case 'policy':
      return placement.createPlacer.createPlacer({
        random: types.random.createRandom(seed),
      });
    case 'baseline':
      return placement.createBaselinePlacer.createBaselinePlacer();
  }
}

/** Mostly single tasks of about 4 cores; some gangs, services and deadlines. */
function drawSpec(random: types.random.Random, now: number): types.job.JobSpec {
  const cores = draw.heavyTailed(random, {
    median: 3,
    sigma: 0.6,
    low: 0.5,
    high: 16,
  });
  const kind = random.next();
  const urgency = random.next();
  const deadline =
    random.next() < 0.2 ? now + random.integer(60_000, 3_600_000) : undefined;
  return {
    team: types.ids.brand(`team-${random.integer(1, TEAMS)}`),
    shape: drawShape(kind, random),
    jobClass: `class-${random.integer(1, 20)}`,
    urgency: urgency < 0.1 ? 'urgent' : urgency < 0.5 ? 'normal' : 'overnight',
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
  kind: number,
  random: types.random.Random,
): types.job.JobShape {
  if (kind < 0.02) return {kind: 'gang', tasks: random.integer(2, 8)};
  if (kind < 0.04) return {kind: 'service', replicas: random.integer(2, 6)};
  return {kind: 'batch', tasks: random.integer(1, 4)};
}

function report(
  runs: readonly DecisionRun[],
  seeds: readonly number[],
  rounds: number,
): benchModule.BenchReport {
  const of = (policy: Policy, workers: number) =>
    runs.filter((run) => run.policy === policy && run.workers === workers);
  const figure = (
    policy: Policy,
    workers: number,
    take: (run: DecisionRun) => number,
  ) => of(policy, workers).map(take);
  const at = (percentile: number) => (run: DecisionRun) =>
    run.decideNs.getValueAtPercentile(percentile) / 1000;
  const mean = (run: DecisionRun) => run.decideNs.mean / 1000;
  const rows = WORKER_COUNTS.flatMap((workers) =>
    POLICIES.filter((policy) => isRun(policy, workers)).map((policy) => [
      workers,
      policy,
      statistics.median(figure(policy, workers, (run) => run.tasks)),
      statistics.spread(figure(policy, workers, mean)),
      statistics.spread(figure(policy, workers, at(50))),
      statistics.spread(figure(policy, workers, at(99))),
      statistics.spread(figure(policy, workers, at(99.9))),
      statistics.spread(figure(policy, workers, (run) => run.perSecond)),
    ]),
  );
  const points = (policy: Policy, take: (run: DecisionRun) => number) =>
    WORKER_COUNTS.filter((workers) => isRun(policy, workers)).map(
      (workers) => ({
        x: workers,
        y: statistics.median(figure(policy, workers, take)),
      }),
    );
  return {
    notes: [
      `full workers and ${BACKLOG} waiting tasks; each round ends a task, enqueues one job if fewer wait, and calls decide(now, 1) until it places nothing; ${rounds} rounds, seeds ${seeds.join(', ')}`,
      'decide times are of calls that placed a task; decisions/s count all calls, releases and enqueues, on one core',
      `the baseline is not run beyond ${MOST_FOR_BASELINE} workers`,
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
  const takes = {
    mean: (run: DecisionRun) => run.decideNs.mean / 1000,
    p99: (run: DecisionRun) => run.decideNs.getValueAtPercentile(99) / 1000,
  };
  const rows = POLICIES.flatMap((policy) =>
    Object.entries(takes).map(([name, take]) => {
      const measured = points(policy, take);
      const perDoubling = statistics.slope(
        measured.map(({x, y}) => ({x: Math.log2(x), y})),
      );
      const exponent = statistics.slope(
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
