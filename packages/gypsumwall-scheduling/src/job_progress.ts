/**
 * The progress of a job that has to outlive the process that schedules it:
 * which tasks are done, which attempts have failed, and the phase of the job.
 * Everything else is read from the workers again.
 */

import type * as types from '@gypsumwall/types';
import type * as workerIncarnation from './worker_incarnation.js';

/** Phase of a job. */
export type JobPhase =
  /** Accepted; no worker is known to have accepted a task of the job. */
  | 'queued'
  /** A worker has accepted a task of the job. */
  | 'running'
  | 'completed'
  | 'failed'
  | 'cancelled';

/** What a crash shows about a task. */
export type CrashKind =
  /** The task ran on the worker, and may have crashed it. */
  | 'single'
  /**
   * Nothing by itself: an external cause explains the crash, since most of the
   * rack or failure domain was lost with the worker, or the task has probably
   * ended there before.
   */
  | 'group';

/** How the scheduler knows that a task ran on a worker that crashed. */
export type CrashEvidence =
  /** The worker had accepted the start, or had listed the attempt. */
  | 'running'
  /** The same, but the attempt had ended with its lease before. */
  | 'lapsed'
  /** As `running`, but the stop of the attempt had been answered. */
  | 'stopping'
  /**
   * As `running` or `lapsed`, but the worker was silent before and may have been
   * cut off: the attempt may have ended before the crash.
   */
  | 'silent'
  /** As `running`, but the worker may have left as announced. */
  | 'departed'
  /** The start order was sent and not answered. */
  | 'unanswered'
  /**
   * An earlier scheduler had stored that the suspect ran there, and it was found
   * nowhere.
   */
  | 'inherited'
  /** Restored from a record that does not say how it was known. */
  | 'restored';

/** A crash of a worker that may have run a task. */
export interface CrashRecord {
  readonly kind: CrashKind;
  readonly evidence: CrashEvidence;
}

/** How far an evidence goes. */
export type EvidenceStrength =
  /** As far as is known, the task ran on the worker when it crashed. */
  | 'known'
  /**
   * The task may not have started there, or have ended before, or the worker may
   * not have crashed.
   */
  | 'likely'
  /** The task has probably ended before. */
  | 'doubtful';

/** How far an evidence goes; a doubtful crash has the kind `group`. */
export function strengthOf(evidence: CrashEvidence): EvidenceStrength {
  switch (evidence) {
    case 'running':
    case 'lapsed':
    case 'inherited':
      return 'known';
    case 'silent':
    case 'departed':
    case 'unanswered':
    case 'restored':
      return 'likely';
    case 'stopping':
      return 'doubtful';
  }
}

const EVIDENCES: readonly CrashEvidence[] = [
  'running',
  'lapsed',
  'stopping',
  'silent',
  'departed',
  'unanswered',
  'inherited',
];

/** Returns the evidence with this stored name. */
export function readEvidence(stored: string | undefined): CrashEvidence {
  return EVIDENCES.find((evidence) => evidence === stored) ?? 'restored';
}

/**
 * A task that may crash its workers. A scheduler that takes over has to know
 * whether it ran on a worker that crashed.
 */
export interface StoredSuspect {
  /** Workers that run the task. */
  readonly workers: readonly types.ids.WorkerId[];
  /** Whether it is isolated from other jobs there. */
  readonly isIsolated: boolean;
}

/** A worker that crashed before a scheduler took over. */
export interface CrashedWorker extends workerIncarnation.Incarnation {
  /** Whether it may have left as announced. */
  readonly mayHaveLeft: boolean;
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
  /** The evidence of these crashes; absent in older records. */
  readonly evidence?: Readonly<
    Record<string, Readonly<Record<string, string>>>
  >;
  /**
   * Indexes of tasks that may have run on a worker that crashed, without evidence
   * that they did. Absent if there are none, and in older records.
   */
  readonly presumedCrashes?: readonly number[];
  /**
   * Suspects that run, by task index; absent if there are none, and in older
   * records.
   */
  readonly suspects?: Readonly<Record<string, StoredSuspect>>;
}

/** Numbers from the first to the last one, both included. */
export type NumberRange = readonly [first: number, last: number];

/** Progress of a job, with its occurrences by number. */
export interface JobProgress {
  readonly phase: JobPhase;
  /** Workers to which its tasks may have been sent. */
  readonly workers: readonly types.ids.WorkerId[];
  readonly occurrences: Readonly<Record<string, readonly StepProgress[]>>;
  /** Numbers of the occurrences that are done as a whole. */
  readonly finished: readonly number[];
  /** More of them, as ranges; absent while they are few, and in older records. */
  readonly finishedRanges?: readonly NumberRange[];
  /**
   * Workers of an earlier scheduler that crashed, until it is known which tasks
   * run on the others. Absent if there are none, and in older records.
   */
  readonly crashedWorkers?: readonly CrashedWorker[];
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
