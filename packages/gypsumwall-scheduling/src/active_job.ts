/**
 * The jobs that a scheduler works on: plain records of their occurrences,
 * steps and runs, and the few questions that are asked of them everywhere.
 */
import * as types from '@gypsumwall/types';
import type * as crashRecords from './crash_records.js';
import * as jobProgress from './job_progress.js';
import * as jobRequest from './job_request.js';
import * as stepAdvice from './step_advice.js';
import * as taskId from './task_id.js';
import * as jobOrder from './job_order.js';

/** Where a run stands between its order and its end. */
export type AttemptPhase =
  /** The order is on its way. */
  | 'starting'
  | 'running'
  /**
   * To be stopped: nobody wants it any more, or its order wasn't answered and
   * it may come up at any time. It keeps its room until its end is known.
   */
  | 'stopping';

/** One run of a task on a worker. */
export interface Attempt {
  readonly taskId: types.ids.TaskId;
  readonly number: number;
  readonly workerId: types.ids.WorkerId;
  /** Whose task it is; absent for a run that nothing here asked for. */
  readonly task?: {readonly stepRun: StepRun; readonly index: number};
  /** What is booked for it on the worker, and under which step. */
  readonly size: types.resources.Resources;
  readonly stepRunId: string;
  phase: AttemptPhase;
  /**
   * When the worker had answered the start or the stop. A report asked for
   * later that doesn't name the run proves that it isn't there and never will
   * be. Absent before; a late order may still bring it up.
   */
  confirmedAt?: types.clock.MonotonicMs;
  /** When it was known to run for the first time. */
  startedAt?: types.clock.MonotonicMs;
  /** Until then it runs apart from other jobs: it may crash its worker. */
  isolatedUntil?: types.clock.MonotonicMs;
  /** Progress as last reported, 0 to 100. */
  percent: number;
  percentChangedAt: types.clock.MonotonicMs;
}

/** One step of one occurrence. */
export interface StepRun {
  /** As `taskId.stepRunId` makes it. */
  readonly id: string;
  readonly job: ActiveJob;
  readonly occurrence: Occurrence;
  readonly number: number;
  readonly request: jobRequest.StepRequest;
  /** `closed` until the steps before it are done. */
  state: 'closed' | 'open' | 'done';
  /** Indexes that have neither run nor end; a gang's are all or none. */
  waitingIndexes: number[];
  readonly attempts: Set<Attempt>;
  readonly done: Set<number>;
  /** Attempts that failed, by index; a gang's under 0. */
  readonly failures: Map<number, Set<number>>;
  /** Workers that have crashed under a task, by index; also in a gang. */
  readonly crashes: Map<
    number,
    Map<types.ids.WorkerId, crashRecords.CrashKind>
  >;
  /** Highest attempt used, by index; a gang's under 0. */
  readonly highestAttempts: Map<number, number>;
  /** Saved progress to go on from, by index; a gang's under 0. */
  readonly saved: Map<number, string>;
  readonly advice: stepAdvice.StepAdvice;
  /** Its place in the order of work at the last cycle. */
  rank?: jobOrder.RankedClaimant;
  /**
   * Whether something of its own has changed since it was last tried: tasks,
   * approvals, recorded workers. Otherwise it is tried again only once a worker
   * that it may use has more room.
   */
  changed: boolean;
  /** Starts that were refused since a worker took one. */
  refusals: number;
  /** Nothing of it starts before, since starts were refused. */
  refusedUntil?: types.clock.MonotonicMs;
  /**
   * Since when it was to be tried and had no turn, or was placed where its job
   * isn't recorded yet.
   */
  leftOutSince?: types.clock.MonotonicMs;
}

/** One time that a job's steps run. */
export interface Occurrence {
  readonly number: number;
  /** From when its objective counts: acceptance, or its time in a schedule. */
  readonly countsFrom: types.clock.MonotonicMs;
  readonly steps: StepRun[];
}

/** A job with work left. */
export interface ActiveJob {
  readonly id: types.ids.JobId;
  readonly request: jobRequest.JobRequest;
  policy: jobRequest.QueuePolicy;
  readonly arrival: number;
  readonly acceptedAt: types.clock.MonotonicMs;
  /**
   * An earlier scheduler may have runs of it on workers that aren't accounted
   * for; nothing of it starts until they are.
   */
  heldBack: boolean;
  phase: jobProgress.JobPhase;
  /**
   * Workers that its tasks may be on, as the store knows them. A task starts
   * only on a worker that is recorded, so that a successor knows which jobs
   * have to wait for a worker out of reach.
   */
  readonly workers: Map<types.ids.WorkerId, 'recording' | 'recorded'>;
  /** Workers on which a task of it has failed: tried again elsewhere first. */
  readonly failedOn: Set<types.ids.WorkerId>;
  /**
   * Workers that had crashed when this scheduler came, with tasks of the job on
   * them perhaps; until it is known which tasks are elsewhere.
   */
  readonly unheardCrashes: Set<types.ids.WorkerId>;
  /** Crashes that aren't stored yet, and the progress that is to store them. */
  unstoredCrashes?: 'new' | jobProgress.JobProgress;
  /** The failure domain that its tasks keep to while it has room. */
  home?: types.ids.FailureDomain;
  readonly openOccurrences: Map<number, Occurrence>;
  readonly finished: Set<number>;
}

/** Key under which a gang's counts are kept. */
export const GANG_KEY = 0;

/** Where a step keeps the counts of one of its tasks. */
export function countKey(stepRun: StepRun, index: number): number {
  return stepRun.request.gang ? GANG_KEY : index;
}

/** Makes an occurrence with all its steps closed. */
export function createOccurrence(
  job: ActiveJob,
  number: number,
  countsFrom: types.clock.MonotonicMs,
): Occurrence {
  const occurrence: Occurrence = {number, countsFrom, steps: []};
  job.request.steps.forEach((request, step) => {
    occurrence.steps.push({
      id: taskId.stepRunId(job.id, number, step),
      job,
      occurrence,
      number: step,
      request,
      state: 'closed',
      waitingIndexes: [],
      attempts: new Set(),
      done: new Set(),
      failures: new Map(),
      crashes: new Map(),
      highestAttempts: new Map(),
      saved: new Map(),
      advice: stepAdvice.createStepAdvice(),
      changed: true,
      refusals: 0,
    });
  });
  return occurrence;
}

/** How long a job should take from its acceptance, in milliseconds. */
export function objectiveMs({request, policy}: ActiveJob): number {
  return (
    jobRequest.expectedChainMs(request) * policy.slackFactor + policy.targetMs
  );
}

/** The step's place in the order of work. */
export function claimantOf(stepRun: StepRun): jobOrder.Claimant {
  const {job, occurrence} = stepRun;
  const objective = objectiveMs(job);
  const lateUntil = objective * jobOrder.LATE_FACTOR;
  return {
    priority: job.policy.priority,
    dueAt: types.clock.after(occurrence.countsFrom, objective),
    worthlessAt: types.clock.after(occurrence.countsFrom, lateUntil),
    remainingMs: remainingMs(stepRun),
    lasting: stepRun.request.longRunning,
    arrival: job.arrival,
  };
}

/** Expected length of the chain from this step on, in milliseconds. */
function remainingMs(stepRun: StepRun): number {
  const steps = stepRun.job.request.steps;
  const chain = steps
    .slice(stepRun.number + 1)
    .filter((later) => later.after.length > 0)
    .reduce((sum, later) => sum + later.expectedMs, 0);
  return chain + stepRun.request.expectedMs;
}

/** Has all steps of a job tried again. */
export function noteChanged(job: ActiveJob): void {
  for (const {steps} of job.openOccurrences.values()) {
    for (const stepRun of steps) stepRun.changed = true;
  }
}

/** Takes over what the operator has set for the job's queue since. */
export function setPolicy(
  job: ActiveJob,
  policy: jobRequest.QueuePolicy,
): void {
  job.policy = policy;
  noteChanged(job);
  for (const {steps} of job.openOccurrences.values()) {
    for (const stepRun of steps) stepRun.rank = undefined;
  }
}

/** The job's progress in the form that is stored; short once it is over. */
export function progressOf(job: ActiveJob): jobProgress.JobProgress {
  const {phase} = job;
  if (jobProgress.isOver(phase)) return {...jobProgress.NO_PROGRESS, phase};
  const occurrences: Record<string, jobProgress.StepProgress[]> = {};
  for (const [number, occurrence] of job.openOccurrences) {
    occurrences[number] = occurrence.steps.map(stepProgressOf);
  }
  const workers = [...job.workers.keys()];
  return {phase, workers, occurrences, finished: [...job.finished]};
}

function stepProgressOf(stepRun: StepRun): jobProgress.StepProgress {
  const failures: Record<string, number[]> = {};
  for (const [index, attempts] of stepRun.failures) {
    failures[index] = [...attempts];
  }
  if (stepRun.state === 'done') return {done: 'all', failures};
  const done = [...stepRun.done];
  const crashes: Record<string, Record<string, crashRecords.CrashKind>> = {};
  for (const [index, workers] of stepRun.crashes) {
    if (!stepRun.done.has(index)) crashes[index] = Object.fromEntries(workers);
  }
  if (Object.keys(crashes).length === 0) return {done, failures};
  return {done, failures, crashes};
}
