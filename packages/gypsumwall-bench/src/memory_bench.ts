/** Measures the heap use of the placement state, as slopes over its size. */
import * as timers from 'node:timers/promises';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as placement from '@gypsumwall/placement';
import * as types from '@gypsumwall/types';
import type * as benchModule from './bench_module.js';
import * as statistics from './statistics.js';

const CAPACITY = {cpuMillis: 32_000, memoryMb: 131_072, accelerators: 0};
const SMALL_TASK = {cpuMillis: 100, memoryMb: 256, accelerators: 0};

interface Subject {
  readonly name: string;
  readonly sizes: readonly number[];
  readonly build: (count: number) => placement.placer.Placer;
}

const SUBJECTS: readonly Subject[] = [
  {
    name: 'worker',
    sizes: [2000, 4000, 8000, 16_000, 31_000],
    build: createWorkers,
  },
  {
    name: 'running task',
    sizes: [20_000, 40_000, 80_000, 160_000],
    build: createRunningTasks,
  },
  {
    name: 'waiting job of one task',
    sizes: [10_000, 20_000, 40_000, 80_000],
    build: createWaitingJobs,
  },
  {
    name: 'waiting task of one job',
    sizes: [20_000, 40_000, 80_000, 160_000],
    build: createWaitingTasks,
  },
  {
    name: 'job class learned',
    sizes: [100, 200, 400, 800],
    build: createJobClasses,
  },
];

export const MEMORY_BENCH: benchModule.BenchModule = {
  name: 'placement-memory',
  run: () => runAll(),
};

async function runAll(): Promise<benchModule.BenchReport> {
  const collectGarbage = exposeGarbageCollector();
  // The first build loads code and data that must not count as state.
  for (const subject of SUBJECTS)
    await measureHeap(subject, 200, collectGarbage);
  const measured = [];
  for (const subject of SUBJECTS) {
    const points = [];
    for (const x of subject.sizes) {
      points.push({x, y: await measureHeap(subject, x, collectGarbage)});
    }
    measured.push({subject, points});
  }
  return {
    notes: [
      'heap in use after a forced collection, with the state less without it; task ids are made by the placer, the specification of a job is shared with its holder and counted once for each waiting job',
    ],
    tables: [
      {
        title: 'Heap of the placement state',
        columns: ['one more', 'bytes (slope)', 'sizes', 'heap MB at each'],
        rows: measured.map(({subject, points}) => [
          subject.name,
          Math.round(statistics.fitSlope(points)),
          points.map(({x}) => x).join(', '),
          points.map(({y}) => statistics.formatNumber(y / 2 ** 20)).join(', '),
        ]),
      },
    ],
    plots: [
      {
        title: 'Heap by size',
        xLabel: 'count',
        yLabel: 'MB',
        logX: true,
        logY: true,
        series: measured.map(({subject, points}) => ({
          name: subject.name,
          points: points.map(({x, y}) => ({x, y: y / 2 ** 20})),
        })),
      },
    ],
  };
}

/** Makes the garbage collector callable without a flag on the command line. */
function exposeGarbageCollector(): () => void {
  v8.setFlagsFromString('--expose-gc');
  return vm.runInNewContext('gc') as () => void;
}

async function measureHeap(
  subject: Subject,
  count: number,
  collectGarbage: () => void,
): Promise<number> {
  const before = await readHeapBytes(collectGarbage);
  const placer = subject.build(count);
  const after = await readHeapBytes(collectGarbage);
  // Keeps the state reachable until it has been measured.
  placer.waitingTasks();
  return after - before;
}

/**
 * Buffers are freed only some turns of the event loop after their collection.
 */
async function readHeapBytes(collectGarbage: () => void): Promise<number> {
  for (let turn = 0; turn < 3; turn += 1) {
    collectGarbage();
    await timers.setTimeout(20);
  }
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function createWorkers(count: number): placement.placer.Placer {
  const placer = placement.createPlacer.createPlacer();
  for (let n = 0; n < count; n += 1) {
    placer.setWorker({
      id: types.ids.brand(`worker-${n}`),
      rack: types.ids.brand(`rack-${n >> 3}`),
      capacity: CAPACITY,
    });
  }
  return placer;
}

/** Places jobs of 100 tasks that share one specification. */
function createRunningTasks(count: number): placement.placer.Placer {
  const placer = createWorkers(count / 100);
  for (let n = 0; n < count / 100; n += 1) {
    enqueue(placer, `bench.${n}`, SHARED_SPEC, 100);
  }
  for (;;) {
    const now = 0 as types.clock.WallMs;
    if (placer.decide(now, 1000).placements.length === 0) return placer;
  }
}

function createWaitingJobs(count: number): placement.placer.Placer {
  const placer = placement.createPlacer.createPlacer();
  for (let n = 0; n < count; n += 1) {
    enqueue(placer, `bench.${n}`, {...SHARED_SPEC, size: {...SMALL_TASK}}, 1);
  }
  return placer;
}

function createWaitingTasks(count: number): placement.placer.Placer {
  const placer = placement.createPlacer.createPlacer();
  enqueue(placer, 'bench.1', SHARED_SPEC, count);
  return placer;
}

function createJobClasses(count: number): placement.placer.Placer {
  const placer = placement.createPlacer.createPlacer();
  for (let n = 0; n < count; n += 1) {
    const spec = {...SHARED_SPEC, jobClass: `class-${n}`};
    placer.admit(spec, 0 as types.clock.WallMs);
  }
  return placer;
}

const SHARED_SPEC: types.job.JobSpec = {
  team: types.ids.brand('bench'),
  shape: {kind: 'batch', tasks: 100},
  jobClass: 'bench',
  urgency: 'normal',
  size: SMALL_TASK,
  estimateMs: 1000,
  work: {command: 'bench', args: {}},
};

function enqueue(
  placer: placement.placer.Placer,
  name: string,
  spec: types.job.JobSpec,
  tasks: number,
): void {
  placer.enqueue({
    jobId: types.ids.brand(name),
    spec,
    acceptedAt: 0 as types.clock.WallMs,
    waiting: Array.from({length: tasks}, (_, index) => index),
  });
}
