/**
 * The progress of a job that has to outlive the process that schedules it:
 * which tasks are done, which attempts have failed, and the phase of the job.
 * Everything else is read from the workers again.
 */

import type * as types from '@gypsumwall/types';

/** Phase of a job. */
export type JobPhase =
  /** Accepted; no worker is known to have accepted a task of the job. */
  | 'queued'
  /** A worker has accepted a task of the job. */
  | 'running'
  | 'completed'
  | 'failed'
  | 'cancelled';

/** Possible cause of a crash. */
export type CrashKind =
  /** Something that ran on the worker. */
  | 'single'
  /** An external cause: most of its rack or failure domain was lost with it. */
  | 'group';

/** How the scheduler knows that a task ran on a worker that crashed. */
export type CrashEvidence =
  /** The worker had accepted the start, or had listed the attempt. */
  | 'running'
  /** The start order was sent and not answered. */
  | 'unanswered'
  /** The attempt had ended with the lease before the crash was known. */
  | 'lapsed'
  /**
   * The worker was recorded for the job by an earlier scheduler, and the task
   * was found nowhere.
   */
  | 'presumed'
  /** Restored from the stored progress, which does not say how it was known. */
  | 'restored';

/** A crash of a worker that ran a task, as far as the scheduler knows. */
export interface CrashRecord {
  readonly kind: CrashKind;
  readonly evidence: CrashEvidence;
}

/** Progress of one step of one occurrence. */
export interface StepProgress {
  /** Indexes of tasks that are done, ascending; `all` when none is left. */
  readonly done: 'all' | readonly number[];
  /**
   * Numbers of the failed attempts by task index; under 0 for a gang. The
   * attempts are listed, not counted, because a worker repeats an end until it
   * is acknowledged: a scheduler that takes over would count it twice and give
   * up a healthy job.
   */
  readonly failures: Readonly<Record<string, readonly number[]>>;
  /**
   * Crashes by task index and `workerIncarnation.keyOf` the worker; absent if
   * there are none.
   */
  readonly crashes?: Readonly<
    Record<string, Readonly<Record<string, CrashKind>>>
  >;
}

/** Progress of a job, with its occurrences by number. */
export interface JobProgress {
  readonly phase: JobPhase;
  /** Workers to which its tasks may have been sent. */
  readonly workers: readonly types.ids.WorkerId[];
  readonly occurrences: Readonly<Record<string, readonly StepProgress[]>>;
  /** Numbers of the occurrences that are done as a whole. */
  readonly finished: readonly number[];
}

/** The progress of a job that has not started. */
export const NO_PROGRESS: JobProgress = {
  phase: 'queued',
  workers: [],
  occurrences: {},
  finished: [],
};

/** Whether no task of the job will ever start again. */
export function isOver(phase: JobPhase): boolean {
  switch (phase) {
    case 'queued':
    case 'running':
      return false;
    case 'completed':
    case 'failed':
    case 'cancelled':
      return true;
  }
}
