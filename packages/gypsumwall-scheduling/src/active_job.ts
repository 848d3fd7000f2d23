/**
 * State of the jobs of a scheduler: their occurrences, steps and attempts, with
 * helpers that several modules use.
 */
import * as types from '@gypsumwall/types';
import * as finishedOccurrences from './finished_occurrences.js';
import * as jobProgress from './job_progress.js';
import * as jobRequest from './job_request.js';
import * as stepAdvice from './step_advice.js';
import * as taskId from './task_id.js';
import * as jobOrder from './job_order.js';
import type * as waitForPlace from './wait_for_place.js';

/** State of an attempt between its start order and its end. */
export type AttemptPhase =
  /** The start order is not answered yet. */
  | 'starting'
  | 'running'
  /**
   * The attempt is to be stopped because it is not needed any more, or because
   * its start order was not answered and it may still start at any time. Its
   * capacity stays reserved until its end is known.
   */
  | 'stopping';

/** One execution of a task on a worker. */
export interface Attempt {
  readonly taskId: types.ids.TaskId;
  readonly number: number;
  readonly workerId: types.ids.WorkerId;
  /**
   * The task; absent for an attempt that no job of this scheduler asked for.
   */
  readonly task?: {readonly stepRun: StepRun; readonly index: number};
  /**
   * Resources reserved for it on the worker, under this id of a step run and
   * in the quota of this organisation.
   */
  readonly size: types.resources.Resources;
  readonly stepRunId: string;
  readonly organisation?: types.ids.OrganisationId;
  phase: AttemptPhase;
  /**
   * When the worker answered the start or the stop. A report requested after
   * that moment which does not list the attempt proves that it does not run and
   * never will. Absent until then: a delayed order may still start it.
   */
  confirmedAt?: types.clock.MonotonicMs;
  /** When it was first known to run. */
  startedAt?: types.clock.MonotonicMs;
  /** End of its isolation from other jobs; set if it may crash its worker. */
  isolatedUntil?: types.clock.MonotonicMs;
  /** Last reported progress, 0 to 100. */
  percent: number;
  percentChangedAt: types.clock.MonotonicMs;
}

/** One step of one occurrence of a job. */
export interface StepRun {
  /** Id as created by `taskId.stepRunId`. */
  readonly id: string;
  readonly job: ActiveJob;
  readonly occurrence: Occurrence;
  readonly number: number;
  readonly request: jobRequest.StepRequest;
  /** `closed` until the steps that it depends on are done. */
  state: 'closed' | 'open' | 'done';
  /**
   * Indexes of tasks that are queued: no attempt runs and they are not done.
   * Either all members of a gang are queued or none is.
   */
  waitingIndexes: number[];
  readonly attempts: Set<Attempt>;
  readonly doneIndexes: Set<number>;
  /**
   * Failed attempts by task index, or under `GANG_KEY` for a gang: their numbers
   * with the worker that reported the end; undefined if an earlier scheduler
   * received it.
   */
  readonly failures: Map<number, Map<number, types.ids.WorkerId | undefined>>;
  /**
   * Workers that crashed while they ran a task, by task index, also for a gang.
   */
  readonly crashes: Map<
    number,
    Map<types.ids.WorkerIncarnation, jobProgress.CrashRecord>
  >;
  /**
   * Indexes of tasks that may have run on a worker that crashed. They may also
   * only have waited, or the worker may have left as announced.
   */
  readonly presumedCrashes: Set<number>;
  /**
   * Suspects as an earlier scheduler has stored them, by task index; empty once
   * its workers are reconciled.
   */
  readonly inheritedSuspects: Map<number, jobProgress.StoredSuspect>;
  /**
   * Highest attempt number used, by task index; under `GANG_KEY` for a gang.
   */
  readonly highestAttempts: Map<number, number>;
  /**
   * Saved progress that the next attempt resumes from, by task index; under
   * `GANG_KEY` for a gang.
   */
  readonly checkpoints: Map<number, string>;
  readonly advice: stepAdvice.StepAdvice;
  /** Its rank in the last scheduling cycle. */
  rank?: jobOrder.RankedClaimant;
  /**
   * Whether its tasks, approvals or recorded workers have changed since it was
   * last tried. Otherwise it is tried again only when a worker that it may use
   * has more free capacity.
   */
  hasChanged: boolean;
  /** Whether the quota of its organisation kept it waiting in the last cycle. */
  isOverQuota: boolean;
  /** Number of starts refused since a worker last accepted one. */
  refusals: number;
  /** No task of it starts before this moment, because starts were refused. */
  backoffUntil?: types.clock.MonotonicMs;
  /**
   * Since when it was due but not tried, or had placements that could not start
   * because the store had not committed their workers or crashes.
   */
  skippedSince?: types.clock.MonotonicMs;
  /** Set once it could have started far from its data or spread over racks. */
  nearWait?: waitForPlace.NearWait;
}

/** One execution of all steps of a job. */
export interface Occurrence {
  readonly number: number;
  /**
   * Start of its target duration: acceptance of the job, or the scheduled time.
   */
  readonly objectiveStartsAt: types.clock.MonotonicMs;
  readonly steps: StepRun[];
}

/** A job that is not over. */
export interface ActiveJob {
  readonly id: types.ids.JobId;
  /** Whose quota its tasks count against; absent if there is none. */
  readonly organisation?: types.ids.OrganisationId;
  readonly request: jobRequest.JobRequest;
  policy: jobRequest.QueuePolicy;
  readonly arrival: number;
  /** Whether it exceeds the rate that its organisation is entitled to. */
  readonly isExcess: boolean;
  readonly acceptedAt: types.clock.MonotonicMs;
  /**
   * Whether an earlier scheduler may have started attempts of the job on
   * workers that are not reconciled yet. No task of the job starts until they
   * are.
   */
  isAwaitingReconciliation: boolean;
  phase: jobProgress.JobPhase;
  /**
   * Workers on which its tasks may run, with the state of the record in the
   * store. A task starts only on a recorded worker, so that a successor knows
   * which jobs have to wait for an unreachable worker.
   */
  readonly workers: Map<types.ids.WorkerId, 'recording' | 'recorded'>;
  /**
   * Workers on which a task of the job has failed. Other workers are tried
   * first.
   */
  readonly failedOn: Set<types.ids.WorkerId>;
  /**
   * Workers that crashed before this scheduler took over and may have run tasks
   * of the job, by id. Cleared once it is known which tasks run on other
   * workers.
   */
  readonly unresolvedCrashes: Map<
    types.ids.WorkerId,
    jobProgress.CrashedWorker
  >;
  /**
   * Set while crashes of its tasks are not stored: `new`, or the progress whose
   * commit stores them.
   */
  unstoredCrashes?: 'new' | jobProgress.JobProgress;
  /** The failure domain in which its tasks are placed while it has capacity. */
  homeDomain?: types.ids.FailureDomain;
  readonly openOccurrences: Map<number, Occurrence>;
  readonly finishedOccurrences: finishedOccurrences.FinishedOccurrences;
  /** Number of the next occurrence to open, unless it is open or done. */
  nextOccurrence: number;
  /**
   * Number of occurrences that are due and neither open nor done. An earlier
   * scheduler may have started tasks of them.
   */
  unopenedDue: number;
  /**
   * Set if the job can't be scheduled: its stored progress, which stays as it
   * is.
   */
  readonly heldProgress?: jobProgress.JobProgress;
  /** Whether nothing of it starts for now, because its scheduling has thrown. */
  isSuspended: boolean;
}

/**
 * Key for the counters of a gang, which has one attempt for all its members.
 */
export const GANG_KEY = 0;

/** Key under which a step keeps the counters of one of its tasks. */
export function counterKey(stepRun: StepRun, index: number): number {
  return stepRun.request.gang ? GANG_KEY : index;
}

/** Creates an occurrence with all steps closed. */
export function createOccurrence(
  job: ActiveJob,
  number: number,
  objectiveStartsAt: types.clock.MonotonicMs,
): Occurrence {
  const occurrence: Occurrence = {number, objectiveStartsAt, steps: []};
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
      doneIndexes: new Set(),
      failures: new Map(),
      crashes: new Map(),
      presumedCrashes: new Set(),
      inheritedSuspects: new Map(),
      highestAttempts: new Map(),
      checkpoints: new Map(),
      advice: stepAdvice.createStepAdvice(),
      hasChanged: true,
      isOverQuota: false,
      refusals: 0,
    });
  });
  return occurrence;
}

/** Target duration of a job from its acceptance, in milliseconds. */
export function objectiveMs({request, policy}: ActiveJob): number {
  return (
    jobRequest.expectedChainMs(request) * policy.slackFactor + policy.targetMs
  );
}

/** Returns what decides the rank of a step among the waiting ones. */
export function claimantOf(stepRun: StepRun): jobOrder.Claimant {
  const {job, occurrence} = stepRun;
  const objective = objectiveMs(job);
  const worthlessAfterMs = objective * jobOrder.LATE_FACTOR;
  return {
    priority: job.policy.priority,
    // It would wait for as long as the cell is full.
    isExcess: job.isExcess && !stepRun.request.longRunning,
    dueAt: types.clock.after(occurrence.objectiveStartsAt, objective),
    worthlessAt: types.clock.after(
      occurrence.objectiveStartsAt,
      worthlessAfterMs,
    ),
    remainingMs: remainingMs(stepRun),
    isLongRunning: stepRun.request.longRunning,
    arrival: job.arrival,
    occurrence: occurrence.number,
  };
}

/**
 * Expected duration of this step and the later ones of its chain, in
 * milliseconds.
 */
function remainingMs(stepRun: StepRun): number {
  const {job, number, request} = stepRun;
  return jobRequest.expectedLaterMs(job.request, number) + request.expectedMs;
}

/** Marks all steps of a job to be tried in the next cycle. */
export function markChanged(job: ActiveJob): void {
  for (const {steps} of job.openOccurrences.values()) {
    for (const stepRun of steps) stepRun.hasChanged = true;
  }
}

/** Applies the current queue settings of the operator to a job. */
export function setPolicy(
  job: ActiveJob,
  policy: jobRequest.QueuePolicy,
): void {
  job.policy = policy;
  markChanged(job);
  for (const {steps} of job.openOccurrences.values()) {
    for (const stepRun of steps) stepRun.rank = undefined;
  }
}

/**
 * Returns the progress of a job as it is stored; only the phase once it is
 * over.
 */
export function progressOf(
  job: ActiveJob,
  canStoreRanges: boolean,
): jobProgress.JobProgress {
  const {phase} = job;
  if (jobProgress.isOver(phase)) return {...jobProgress.NO_PROGRESS, phase};
  if (job.heldProgress !== undefined) return job.heldProgress;
  const occurrences: Record<string, jobProgress.StepProgress[]> = {};
  for (const [number, occurrence] of job.openOccurrences) {
    occurrences[number] = occurrence.steps.map(stepProgressOf);
  }
  const progress: jobProgress.JobProgress = {
    phase,
    workers: [...job.workers.keys()],
    occurrences,
    ...finishedOccurrences.storedForm(job.finishedOccurrences, canStoreRanges),
  };
  if (job.unresolvedCrashes.size === 0) return progress;
  return {...progress, crashedWorkers: [...job.unresolvedCrashes.values()]};
}

function stepProgressOf(stepRun: StepRun): jobProgress.StepProgress {
  const failures: Record<string, number[]> = {};
  for (const [index, failedAttempts] of stepRun.failures) {
    failures[index] = [...failedAttempts.keys()];
  }
  if (stepRun.state === 'done') return {done: 'all', failures};
  const done = [...stepRun.doneIndexes];
  const crashes: Record<string, Record<string, jobProgress.CrashKind>> = {};
  const evidence: Record<string, Record<string, string>> = {};
  for (const [index, workers] of stepRun.crashes) {
    if (stepRun.doneIndexes.has(index)) continue;
    const kinds: Record<string, jobProgress.CrashKind> = {};
    const evidences: Record<string, string> = {};
    for (const [worker, crash] of workers) {
      kinds[worker] = crash.kind;
      evidences[worker] = crash.evidence;
    }
    crashes[index] = kinds;
    evidence[index] = evidences;
  }
  const presumed = [...stepRun.presumedCrashes].filter(
    (index) => !stepRun.doneIndexes.has(index),
  );
  const suspects = suspectsOf(stepRun);
  return {
    done,
    failures,
    ...(Object.keys(crashes).length > 0 ? {crashes, evidence} : {}),
    ...(presumed.length > 0 ? {presumedCrashes: presumed} : {}),
    ...(Object.keys(suspects).length > 0 ? {suspects} : {}),
  };
}

/**
 * Whether the worker has answered the stop of an attempt, which may have ended
 * since then.
 */
export function isStopAnswered({phase, confirmedAt}: Attempt): boolean {
  return phase === 'stopping' && confirmedAt !== undefined;
}

/** Whether a task may crash its workers, so that its attempts are stored. */
export function isSuspect(stepRun: StepRun, index: number): boolean {
  return stepRun.crashes.has(index) || stepRun.presumedCrashes.has(index);
}

function suspectsOf(
  stepRun: StepRun,
): Record<string, jobProgress.StoredSuspect> {
  const suspects = new Map<number, jobProgress.StoredSuspect>();
  const add = (
    index: number,
    workers: readonly types.ids.WorkerId[],
    isIsolated: boolean,
  ) => {
    if (workers.length === 0 || stepRun.doneIndexes.has(index)) return;
    const known = suspects.get(index);
    suspects.set(index, {
      workers: [...new Set([...(known?.workers ?? []), ...workers])],
      isIsolated: isIsolated || known?.isIsolated === true,
    });
  };
  for (const [index, {workers, isIsolated}] of stepRun.inheritedSuspects)
    add(index, workers, isIsolated);
  for (const attempt of stepRun.attempts) {
    const {task, workerId, startedAt, isolatedUntil} = attempt;
    if (task === undefined || !isSuspect(stepRun, task.index)) continue;
    if (isStopAnswered(attempt)) continue;
    const isIsolated = isolatedUntil !== undefined;
    if (startedAt !== undefined || isIsolated)
      add(task.index, [workerId], isIsolated);
  }
  return Object.fromEntries(suspects);
}
