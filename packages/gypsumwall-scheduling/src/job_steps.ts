/**
 * Moves a job along: which steps are open, which tasks wait, what an end of a
 * run means for the task, the step, the occurrence and the job.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as jobProgress from './job_progress.js';
import type * as jobRequest from './job_request.js';

/** How a worker says that a run has ended. */
export type AttemptOutcome =
  | 'done'
  /** Through its own fault or the worker's. */
  | 'failed'
  /** On our order. */
  | 'stopped'
  /** Its lease ran out, or its worker went away. */
  | 'lapsed'
  /** Another member of its gang ended. */
  | 'broken'
  /** The other members of its gang didn't come. */
  | 'alone';

/** What is known of a job when it is taken up. */
export interface JobStart {
  readonly id: types.ids.JobId;
  readonly request: jobRequest.JobRequest;
  readonly policy: jobRequest.QueuePolicy;
  readonly arrival: number;
  readonly acceptedAt: types.clock.MonotonicMs;
  /** Whether an earlier scheduler may have runs of it. */
  readonly inherited: boolean;
  readonly progress: jobProgress.JobProgress;
}

/** Makes the record of a job from what was stored of it. */
export function createJob(start: JobStart): activeJob.ActiveJob {
  const {progress, inherited, ...rest} = start;
  const job: activeJob.ActiveJob = {
    ...rest,
    phase: progress.phase,
    heldBack: inherited && progress.workers.length > 0,
    workers: new Map(progress.workers.map((id) => [id, 'recorded'])),
    failedOn: new Set(),
    unheardCrashes: new Set(),
    openOccurrences: new Map(),
    finished: new Set(progress.finished),
  };
  for (const [number, steps] of Object.entries(progress.occurrences)) {
    const occurrence = activeJob.createOccurrence(
      job,
      Number(number),
      start.acceptedAt,
    );
    job.openOccurrences.set(occurrence.number, occurrence);
    steps.forEach((step, index) => restore(occurrence.steps[index], step));
  }
  return job;
}

function restore(
  stepRun: activeJob.StepRun | undefined,
  progress: jobProgress.StepProgress,
): void {
  if (stepRun === undefined) return;
  if (progress.done === 'all') stepRun.state = 'done';
  else for (const index of progress.done) stepRun.done.add(index);
  for (const [index, attempts] of Object.entries(progress.failures)) {
    stepRun.failures.set(Number(index), new Set(attempts));
  }
  for (const [index, workers] of Object.entries(progress.crashes ?? {})) {
    const crashes = Object.entries(workers).map(
      ([id, kind]) => [types.ids.brand<types.ids.WorkerId>(id), kind] as const,
    );
    stepRun.crashes.set(Number(index), new Map(crashes));
  }
}

/** Opens occurrences that are due and steps whose turn has come. */
export function openDue(
  job: activeJob.ActiveJob,
  now: types.clock.MonotonicMs,
  wall: types.clock.WallMs,
): activeJob.StepRun[] {
  const schedule = job.request.schedule;
  const total = schedule?.occurrences ?? 1;
  for (let number = 0; number < total; number++) {
    if (job.finished.has(number) || job.openOccurrences.has(number)) continue;
    const lateMs =
      schedule === undefined ? 0 : lateness(schedule, number, wall);
    if (lateMs < 0) break;
    const countsFrom =
      schedule === undefined ? job.acceptedAt : types.clock.after(now, -lateMs);
    job.openOccurrences.set(
      number,
      activeJob.createOccurrence(job, number, countsFrom),
    );
  }
  const opened: activeJob.StepRun[] = [];
  for (const occurrence of job.openOccurrences.values())
    openSteps(occurrence, opened);
  return opened;
}

function lateness(
  schedule: jobRequest.Schedule,
  number: number,
  wall: types.clock.WallMs,
): number {
  return wall - (schedule.firstAt + number * schedule.intervalMs);
}

function openSteps(
  occurrence: activeJob.Occurrence,
  opened: activeJob.StepRun[],
): void {
  for (const stepRun of occurrence.steps) {
    if (stepRun.state !== 'closed') continue;
    const ready = stepRun.request.after.every(
      (earlier) => occurrence.steps[earlier]?.state === 'done',
    );
    if (!ready) continue;
    stepRun.state = 'open';
    stepRun.waitingIndexes = openIndexes(stepRun);
    opened.push(stepRun);
  }
}

/** Indexes without end or run; a gang waits for the last of its runs. */
function openIndexes(stepRun: activeJob.StepRun): number[] {
  const {gang, taskCount} = stepRun.request;
  if (gang && stepRun.attempts.size > 0) return [];
  const running = new Set<number | undefined>();
  for (const run of stepRun.attempts) running.add(run.task?.index);
  const indexes: number[] = [];
  // Taken from the end: the first index goes first.
  for (let index = taskCount - 1; index >= 0; index--) {
    if (!stepRun.done.has(index) && !running.has(index)) indexes.push(index);
  }
  return indexes;
}

/** Notes that a task, or a gang as a whole, is done. */
export function markDone(stepRun: activeJob.StepRun, index: number): void {
  if (stepRun.state === 'done') return;
  if (stepRun.request.gang) {
    stepRun.waitingIndexes = [];
    stepRun.state = 'done';
  } else {
    stepRun.done.add(index);
    stepRun.waitingIndexes = stepRun.waitingIndexes.filter(
      (waiting) => waiting !== index,
    );
    if (stepRun.done.size < stepRun.request.taskCount) return;
    stepRun.state = 'done';
  }
  finishOccurrence(stepRun.occurrence, stepRun.job);
}

function finishOccurrence(
  occurrence: activeJob.Occurrence,
  job: activeJob.ActiveJob,
): void {
  if (!occurrence.steps.every((step) => step.state === 'done')) return;
  job.openOccurrences.delete(occurrence.number);
  job.finished.add(occurrence.number);
  const total = job.request.schedule?.occurrences ?? 1;
  if (job.finished.size === total && !jobProgress.isOver(job.phase)) {
    job.phase = 'completed';
  }
}

/**
 * Counts a failed attempt once, however often the worker repeats it; true if
 * the task has used up its attempts.
 */
export function countFailure(
  stepRun: activeJob.StepRun,
  index: number,
  attempt: number,
): boolean {
  const key = activeJob.countKey(stepRun, index);
  const failed = stepRun.failures.get(key) ?? new Set<number>();
  stepRun.failures.set(key, failed.add(attempt));
  if (stepRun.request.longRunning) return false;
  return failed.size >= stepRun.job.policy.maxFailures;
}

/** Puts a task, or a gang once all its runs have ended, back into line. */
export function requeue(stepRun: activeJob.StepRun, index: number): void {
  if (stepRun.state !== 'open' || jobProgress.isOver(stepRun.job.phase)) return;
  if (stepRun.request.gang) {
    if (stepRun.attempts.size > 0 || stepRun.waitingIndexes.length > 0) return;
    stepRun.waitingIndexes = openIndexes(stepRun);
    return;
  }
  if (stepRun.done.has(index) || stepRun.waitingIndexes.includes(index)) return;
  for (const run of stepRun.attempts) if (run.task?.index === index) return;
  stepRun.waitingIndexes.push(index);
}
