/**
 * The load of a cell in which three kinds of jobs share the workers: few wide
 * jobs with large tasks, more wide jobs with small tasks, and many urgent jobs
 * of two or three tasks. The arrival rates, widths, sizes and adviser latencies
 * are those of a planning service at its peak, as reported by its operators.
 * Racks and workers have the same sizes as theirs.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import * as distributions from './distributions.js';

/** A kind of jobs. */
export interface JobKind {
  readonly name: string;
  /** Arrivals per second. */
  readonly rate: number;
  readonly policy: scheduling.jobRequest.QueuePolicy;
  readonly meanSteps: number;
  readonly maxSteps: number;
  readonly meanTasks: number;
  readonly maxTasks: number;
  readonly cpuMillis: number;
  readonly memoryMb: number;
  /** Mean run time of a task on a worker of usual speed. */
  readonly workMs: number;
  /** Share of the steps that are gangs. */
  readonly gangShare: number;
  /** Share of the workers that the adviser approves. */
  readonly approvedShare: number;
  /** Share of the attempts that fail at random. */
  readonly failingShare: number;
}

/** The pool in which all kinds of jobs run. */
export const POOL = 'pool';

const COMMON = {pool: POOL, maxFailures: 4} as const;

/** A period in which jobs of a kind arrive more often. */
export interface Burst {
  readonly kind: string;
  readonly factor: number;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Bursts as observed by the operators. */
export const BURSTS: readonly Burst[] = [
  {kind: 'urgent', factor: 2.1, fromMs: 7_000, toMs: 11_000},
  {kind: 'wide-large', factor: 1.6, fromMs: 20_000, toMs: 24_000},
];

/** The kinds of jobs at the peak of a cell of 246 workers. */
export const PEAK_KINDS: readonly JobKind[] = [
  {
    name: 'wide-large',
    rate: 3.3,
    policy: {
      ...COMMON,
      queue: 'wide-large',
      priority: 1,
      slackFactor: 2.2,
      targetMs: 1_000,
      advice: {callMs: 572, perWorkerMs: 8.06, validMs: 2_000},
    },
    meanSteps: 1.2,
    maxSteps: 3,
    meanTasks: 20,
    maxTasks: 120,
    cpuMillis: 4_500,
    memoryMb: 8_100,
    workMs: 5_000,
    gangShare: 1,
    approvedShare: 0.35,
    failingShare: 0.05,
  },
  {
    name: 'wide-small',
    rate: 8.6,
    policy: {
      ...COMMON,
      queue: 'wide-small',
      priority: 2,
      slackFactor: 4,
      targetMs: 3_000,
      advice: {callMs: 104, perWorkerMs: 1.43, validMs: 2_000},
    },
    meanSteps: 1.5,
    maxSteps: 4,
    meanTasks: 25,
    maxTasks: 150,
    cpuMillis: 1_700,
    memoryMb: 2_500,
    workMs: 2_200,
    gangShare: 0,
    approvedShare: 0.45,
    failingShare: 0.005,
  },
  {
    name: 'urgent',
    rate: 62,
    policy: {
      ...COMMON,
      queue: 'urgent',
      priority: 0,
      slackFactor: 1.5,
      targetMs: 250,
      advice: {callMs: 14.3, perWorkerMs: 0.21, validMs: 2_000},
    },
    meanSteps: 1,
    maxSteps: 1,
    meanTasks: 3.2,
    maxTasks: 19,
    cpuMillis: 2_500,
    memoryMb: 4_600,
    workMs: 1_000,
    gangShare: 0.3,
    approvedShare: 0.7,
    failingShare: 0.02,
  },
];

/** Work and workers of a cell. */
export interface Scenario {
  readonly kinds: readonly JobKind[];
  readonly bursts: readonly Burst[];
  readonly capacity: types.resources.Resources;
}

/** The peak of a planning service. */
export const PLANNING: Scenario = {
  kinds: PEAK_KINDS,
  bursts: BURSTS,
  capacity: {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0},
};

/**
 * A booking service whose tasks take a large part of a worker, in processors
 * and in memory, with few attempts for each task.
 */
export const BOOKING: Scenario = {
  capacity: {cpuMillis: 64_000, memoryMb: 262_144, accelerators: 0},
  bursts: [
    {kind: 'urgent', factor: 2.1, fromMs: 7_000, toMs: 11_000},
    {kind: 'wide-large', factor: 1.7, fromMs: 20_000, toMs: 24_000},
  ],
  kinds: [
    {
      name: 'wide-large',
      rate: 2.5,
      policy: {
        pool: POOL,
        maxFailures: 2,
        queue: 'wide-large',
        priority: 1,
        slackFactor: 2.2,
        targetMs: 1_000,
        advice: {callMs: 799, perWorkerMs: 8.06, validMs: 2_500},
      },
      meanSteps: 1.2,
      maxSteps: 3,
      meanTasks: 20,
      maxTasks: 120,
      cpuMillis: 18_000,
      memoryMb: 67_000,
      workMs: 5_000,
      gangShare: 1,
      approvedShare: 0.35,
      failingShare: 0.02,
    },
    {
      name: 'wide-small',
      rate: 7.2,
      policy: {
        pool: POOL,
        maxFailures: 2,
        queue: 'wide-small',
        priority: 2,
        slackFactor: 4,
        targetMs: 3_000,
        advice: {callMs: 223, perWorkerMs: 2.34, validMs: 2_500},
      },
      meanSteps: 1.5,
      maxSteps: 4,
      meanTasks: 25,
      maxTasks: 150,
      cpuMillis: 6_900,
      memoryMb: 14_000,
      workMs: 3_400,
      gangShare: 0,
      approvedShare: 0.45,
      failingShare: 0.02,
    },
    {
      name: 'urgent',
      rate: 58,
      policy: {
        pool: POOL,
        maxFailures: 2,
        queue: 'urgent',
        priority: 0,
        slackFactor: 1.5,
        targetMs: 250,
        advice: {callMs: 16.7, perWorkerMs: 0.17, validMs: 2_500},
      },
      meanSteps: 1,
      maxSteps: 1,
      meanTasks: 3.2,
      maxTasks: 19,
      cpuMillis: 9_900,
      memoryMb: 28_000,
      workMs: 800,
      gangShare: 0.3,
      approvedShare: 0.7,
      failingShare: 0.02,
    },
  ],
};

/** Draws a request for a job of the given kind. */
export function drawRequest(
  kind: JobKind,
  random: types.random.Random,
): scheduling.jobRequest.JobRequest {
  const count = drawBounded(random, kind.meanSteps, 0.4, kind.maxSteps);
  const steps: scheduling.jobRequest.StepRequest[] = [];
  for (let number = 0; number < count; number++) {
    steps.push(drawStep(kind, random, number));
  }
  return {payload: kind.name, steps};
}

function drawStep(
  kind: JobKind,
  random: types.random.Random,
  number: number,
): scheduling.jobRequest.StepRequest {
  return {
    taskCount: drawBounded(random, kind.meanTasks, 0.8, kind.maxTasks),
    size: {
      cpuMillis: Math.ceil(kind.cpuMillis * distributions.drawJitter(random)),
      memoryMb: Math.ceil(kind.memoryMb * distributions.drawJitter(random)),
      accelerators: 0,
    },
    expectedMs: kind.workMs * distributions.drawLogNormal(random, 1, 0.5),
    after: number === 0 ? [] : [number - 1],
    savesProgress: false,
    gang: random.next() < kind.gangShare,
    sameRack: false,
    speculative: false,
    longRunning: false,
    usesSpareCpu: false,
  };
}

function drawBounded(
  random: types.random.Random,
  mean: number,
  sigma: number,
  max: number,
): number {
  const drawn = Math.round(distributions.drawLogNormal(random, mean, sigma));
  return Math.min(max, Math.max(1, drawn));
}
