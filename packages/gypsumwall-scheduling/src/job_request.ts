/** A job of several steps, as its caller handed it in, and its queue's policy. */
import type * as types from '@gypsumwall/types';

/** One step: alike tasks that may start once the steps before it are done. */
export interface StepRequest {
  readonly taskCount: number;
  /** What each task needs of a worker. */
  readonly size: types.resources.Resources;
  /** Rough run time of a task, in milliseconds; often far off. */
  readonly expectedMs: number;
  /** Numbers of the steps whose tasks must all be done before. */
  readonly after: readonly number[];
  /** Whether a stopped task can go on from where it was. */
  readonly savesProgress: boolean;
  /** All tasks run together or none does. */
  readonly gang: boolean;
  /** Whether the tasks run slower when they are spread over racks. */
  readonly sameRack: boolean;
  /** A label that the worker must carry. */
  readonly requiredLabel?: string;
  /** The rack near the data; tasks run slower on any other. */
  readonly preferredRack?: string;
  /** At most this many tasks of the step on one worker. */
  readonly maxPerWorker?: number;
  /** Whether copies of a task may run side by side. */
  readonly speculative: boolean;
  /** Runs until the job is cancelled and is restarted however it ends. */
  readonly longRunning: boolean;
  /** What the tasks run; tasks of one image behave alike. */
  readonly image?: string;
  /** Bound of a serving task's tail latency, in milliseconds. */
  readonly tailTargetMs?: number;
  /** Whether the processors are taken only from what others leave over. */
  readonly usesSpareCpu: boolean;
  /** How many tasks of a long-running step may be away at our hands. */
  readonly maxUnavailable?: number;
}

/** When a job's steps run more than once. */
export interface Schedule {
  readonly occurrences: number;
  readonly firstAt: types.clock.WallMs;
  readonly intervalMs: number;
}

/** A job as it was handed in. */
export interface JobRequest {
  /** Opaque to the scheduler; handed to the workers. */
  readonly payload: string;
  readonly steps: readonly StepRequest[];
  readonly schedule?: Schedule;
}

/** A queue whose steps may run only where an adviser approves. */
export interface AdvicePolicy {
  /** Time of one call, and in addition for each worker named; milliseconds. */
  readonly callMs: number;
  readonly perWorkerMs: number;
  /** How long an approval holds, in milliseconds. */
  readonly validMs: number;
}

/** What the operator has set for a queue. */
export interface QueuePolicy {
  readonly queue: string;
  /** The pool of workers that the queue's tasks run on. */
  readonly pool: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** A task that has failed this often is given up. */
  readonly maxFailures: number;
  /** A job should be done in this many times its own length of work ... */
  readonly slackFactor: number;
  /** ... and this many milliseconds more. */
  readonly targetMs: number;
  readonly advice?: AdvicePolicy;
}

/** The longest chain of expected run times through the steps; milliseconds. */
export function expectedChainMs(request: JobRequest): number {
  const ends: number[] = [];
  request.steps.forEach((step, index) => {
    const before = step.after.map((earlier) => ends[earlier] ?? 0);
    ends[index] = Math.max(0, ...before) + step.expectedMs;
  });
  return Math.max(0, ...ends);
}

/** What is wrong with a request, in words, or undefined. */
export function describeFault(request: JobRequest): string | undefined {
  if (request.steps.length === 0)
    return 'steps = []: a job has a step at least';
  for (const [index, step] of request.steps.entries()) {
    const fault = faultOfStep(step, index);
    if (fault !== undefined) return `step ${index}: ${fault}`;
  }
  return undefined;
}

function faultOfStep(step: StepRequest, index: number): string | undefined {
  if (!Number.isInteger(step.taskCount) || step.taskCount < 1) {
    return `task count = ${step.taskCount}: give a whole number from 1`;
  }
  const {cpuMillis, memoryMb, accelerators} = step.size;
  for (const amount of [cpuMillis, memoryMb, accelerators]) {
    if (!(amount >= 0)) return `size = ${amount}: give a number from 0`;
  }
  const wrong = step.after.find(
    (earlier) => !Number.isInteger(earlier) || earlier < 0 || earlier >= index,
  );
  if (wrong === undefined) return undefined;
  return `after = ${wrong}: name earlier steps, from 0 to ${index - 1}`;
}
