/** The request of a job with several steps and the policy of its queue. */
import type * as types from '@gypsumwall/types';

/** One step: similar tasks that may start once the steps before it are done. */
export interface StepRequest {
  readonly taskCount: number;
  /** Resources that each task needs. */
  readonly size: types.resources.Resources;
  /** Estimated run time of a task, in milliseconds; often far off. */
  readonly expectedMs: number;
  /** Numbers of the steps that must be done before this one starts. */
  readonly after: readonly number[];
  /** Whether a stopped task can resume from its saved progress. */
  readonly savesProgress: boolean;
  /** Whether the tasks run only all together. */
  readonly gang: boolean;
  /** Whether the tasks run slower when they are spread over racks. */
  readonly sameRack: boolean;
  /** A label that the worker must have. */
  readonly requiredLabel?: string;
  /** The rack near the data; tasks run slower on any other rack. */
  readonly preferredRack?: string;
  /** Maximum number of tasks of the step on one worker. */
  readonly maxPerWorker?: number;
  /** Whether copies of a task may run concurrently. */
  readonly speculative: boolean;
  /**
   * Whether the tasks run until the job is cancelled and are restarted however
   * they end.
   */
  readonly longRunning: boolean;
  /** The image that the tasks run; tasks with the same image behave alike. */
  readonly image?: string;
  /** Target for the tail latency of a serving task, in milliseconds. */
  readonly tailTargetMs?: number;
  /** Whether the tasks use only processor time that other tasks leave over. */
  readonly usesSpareCpu: boolean;
  /**
   * Maximum number of tasks of a long-running step that the system may have
   * stopped at the same time.
   */
  readonly maxUnavailable?: number;
}

/** Schedule of a job whose steps run more than once. */
export interface Schedule {
  readonly occurrences: number;
  readonly firstAt: types.clock.WallMs;
  readonly intervalMs: number;
}

/** A job as it was submitted. */
export interface JobRequest {
  /** Passed to the workers; opaque to the scheduler. */
  readonly payload: string;
  readonly steps: readonly StepRequest[];
  readonly schedule?: Schedule;
}

/** Adviser policy of a queue whose steps may run only on approved workers. */
export interface AdvicePolicy {
  /**
   * Duration of a call, and additional duration for each worker named;
   * milliseconds.
   */
  readonly callMs: number;
  readonly perWorkerMs: number;
  /** Validity of an approval, in milliseconds. */
  readonly validMs: number;
}

/** Settings of the operator for a queue. */
export interface QueuePolicy {
  readonly queue: string;
  /** Worker pool on which the tasks of the queue run. */
  readonly pool: string;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** A task is given up after this many failed attempts. */
  readonly maxFailures: number;
  /** Target duration of a job: this multiple of its expected duration ... */
  readonly slackFactor: number;
  /** ... plus this many milliseconds. */
  readonly targetMs: number;
  readonly advice?: AdvicePolicy;
}

/** Limits of the form of a request, also of those that are stored. */
const MAX_TASKS_PER_STEP = 1_000_000;
export const MAX_OCCURRENCES = 1_000_000;

/**
 * Limits of a job that is submitted. Each step of an open occurrence has a dozen
 * collections, and the progress record lists each task that is done.
 */
export const MAX_STEPS = 256;
export const MAX_TASKS = 10_000;
/** One year. */
export const MAX_EXPECTED_MS = 366 * 24 * 3_600_000;
/** Maximum amount of a resource for a task, in its unit. */
export const MAX_AMOUNT = 1_000_000_000;

/**
 * Limits of a stored job that is scheduled. Jobs of earlier builds may be larger
 * than what is accepted now.
 */
const MAX_SCHEDULED_STEPS = 5_000;
const MAX_SCHEDULED_TASKS = 300_000;

/** Expected durations of the steps of a request, in milliseconds. */
interface ChainTimes {
  readonly longestMs: number;
  /** By step number: what follows it in the request. */
  readonly laterMs: readonly number[];
}

/** They are asked for at each step of each occurrence. */
const chainTimes = new WeakMap<JobRequest, ChainTimes>();

function chainTimesOf(request: JobRequest): ChainTimes {
  const known = chainTimes.get(request);
  if (known !== undefined) return known;
  const ends: number[] = [];
  let longestMs = 0;
  for (const step of request.steps) {
    let startMs = 0;
    for (const earlier of step.after)
      startMs = Math.max(startMs, ends[earlier] ?? 0);
    ends.push(startMs + step.expectedMs);
    longestMs = Math.max(longestMs, startMs + step.expectedMs);
  }
  const laterMs: number[] = [];
  let sum = 0;
  for (let number = request.steps.length - 1; number >= 0; number--) {
    const step = request.steps[number]!;
    laterMs[number] = sum;
    if (step.after.length > 0) sum += step.expectedMs;
  }
  const times = {longestMs, laterMs};
  chainTimes.set(request, times);
  return times;
}

/** Expected duration of the longest chain of steps, in milliseconds. */
export function expectedChainMs(request: JobRequest): number {
  return chainTimesOf(request).longestMs;
}

/**
 * Expected duration of the steps behind one that wait for other steps, in
 * milliseconds.
 */
export function expectedLaterMs(request: JobRequest, step: number): number {
  return chainTimesOf(request).laterMs[step] ?? 0;
}

/**
 * Returns a stored request with each step named once in `after`, and with
 * numbers within the limits of what is accepted now: larger ones make the sums
 * over all jobs infinite, and the job stays as it is otherwise.
 */
export function normalizeStored(request: JobRequest): JobRequest {
  const steps = request.steps.map(normalizeStep);
  const isSame = steps.every((step, index) => step === request.steps[index]);
  return isSame ? request : {...request, steps};
}

function normalizeStep(step: StepRequest): StepRequest {
  const {after, expectedMs, size} = step;
  const distinct = new Set(after);
  const {cpuMillis, memoryMb, accelerators} = size;
  const isSmall = Math.max(cpuMillis, memoryMb, accelerators) <= MAX_AMOUNT;
  const isExpected = expectedMs >= 0 && expectedMs <= MAX_EXPECTED_MS;
  if (distinct.size === after.length && isSmall && isExpected) return step;
  return {
    ...step,
    after: [...distinct],
    expectedMs: Math.min(MAX_EXPECTED_MS, Math.max(0, expectedMs)),
    size: {
      cpuMillis: Math.min(MAX_AMOUNT, cpuMillis),
      memoryMb: Math.min(MAX_AMOUNT, memoryMb),
      accelerators: Math.min(MAX_AMOUNT, accelerators),
    },
  };
}

/** Number of times that the steps of a job run. */
export function occurrencesOf({schedule}: JobRequest): number {
  return schedule?.occurrences ?? 1;
}

/**
 * Whether a job waits for its schedule, or has steps that run until it is
 * cancelled and are of use whenever they start.
 */
export function isOpenEnded({steps, schedule}: JobRequest): boolean {
  return schedule !== undefined || steps.some((step) => step.longRunning);
}

/** Number of the tasks of one occurrence. */
export function countTasks({steps}: JobRequest): number {
  let tasks = 0;
  for (const {taskCount} of steps) tasks += taskCount;
  return tasks;
}

/** Whether the state of one occurrence may fill the memory of a process. */
export function isTooLarge(request: JobRequest): boolean {
  return (
    request.steps.length > MAX_SCHEDULED_STEPS ||
    countTasks(request) > MAX_SCHEDULED_TASKS
  );
}

/**
 * Returns which limit of a submitted job a request exceeds, with the remedy, or
 * undefined. A stored job may exceed it.
 */
export function describeExcess(request: JobRequest): string | undefined {
  const {steps} = request;
  if (steps.length > MAX_STEPS)
    return `steps = ${steps.length}: give up to ${MAX_STEPS}, or split the job`;
  const tasks = countTasks(request);
  if (tasks > MAX_TASKS)
    return `task count = ${tasks} over all steps: give up to ${MAX_TASKS}, or split the job`;
  for (const [index, {expectedMs, size}] of steps.entries()) {
    if (expectedMs < 0 || expectedMs > MAX_EXPECTED_MS)
      return `step ${index}: expected time = ${expectedMs}: give 0 to ${MAX_EXPECTED_MS} ms`;
    const {cpuMillis, memoryMb, accelerators} = size;
    const largest = Math.max(cpuMillis, memoryMb, accelerators);
    if (largest > MAX_AMOUNT)
      return `step ${index}: size = ${largest}: give up to ${MAX_AMOUNT}`;
  }
  return undefined;
}

/** Returns a description of what is wrong with a request, or undefined. */
export function describeFault(request: JobRequest): string | undefined {
  const {schedule} = request;
  const fault = schedule && faultOfSchedule(schedule);
  if (fault !== undefined) return fault;
  if (request.steps.length === 0)
    return 'steps = []: a job needs at least one step';
  for (const [index, step] of request.steps.entries()) {
    const fault = faultOfStep(step, index);
    if (fault !== undefined) return `step ${index}: ${fault}`;
  }
  return undefined;
}

function faultOfSchedule({
  occurrences,
  firstAt,
  intervalMs,
}: Schedule): string | undefined {
  const isCount = Number.isInteger(occurrences) && occurrences >= 1;
  if (!isCount || occurrences > MAX_OCCURRENCES)
    return `occurrences = ${occurrences}: give a whole number from 1 to ${MAX_OCCURRENCES}`;
  if (!Number.isFinite(firstAt)) return `start = ${firstAt}: give a number`;
  if (Number.isFinite(intervalMs) && intervalMs >= 0) return undefined;
  return `interval = ${intervalMs}: give a number from 0`;
}

function faultOfStep(step: StepRequest, index: number): string | undefined {
  const {taskCount, expectedMs} = step;
  const isCount = Number.isInteger(taskCount) && taskCount >= 1;
  if (!isCount || taskCount > MAX_TASKS_PER_STEP) {
    return `task count = ${taskCount}: give a whole number from 1 to ${MAX_TASKS_PER_STEP}`;
  }
  if (!Number.isFinite(expectedMs))
    return `expected time = ${expectedMs}: give a number`;
  const {cpuMillis, memoryMb, accelerators} = step.size;
  for (const amount of [cpuMillis, memoryMb, accelerators]) {
    if (!(Number.isFinite(amount) && amount >= 0))
      return `size = ${amount}: give a number from 0`;
  }
  const wrong = step.after.find(
    (earlier) => !Number.isInteger(earlier) || earlier < 0 || earlier >= index,
  );
  if (wrong === undefined) return undefined;
  return `after = ${wrong}: name earlier steps, from 0 to ${index - 1}`;
}
