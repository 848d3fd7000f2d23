/**
 * Records which workers crashed while they ran a task. A crash is recorded by
 * the worker's incarnation rather than counted, so that two holders that learn
 * of the same crash record it once.
 *
 * A crash ends all attempts on its worker, any of which may have caused it, so
 * a single crash proves nothing. A task with several crashes is therefore
 * isolated from other jobs, where a crash is its own fault. A task that is
 * involved in too many crashes is given up in any case.
 */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as jobProgress from './job_progress.js';
import * as workerIncarnation from './worker_incarnation.js';

/** Crashes of one task, by worker incarnation. */
export type Crashes = ReadonlyMap<
  types.ids.WorkerIncarnation,
  jobProgress.CrashRecord
>;

/** Number of crashes from which a task starts isolated from other jobs. */
const MIN_CRASHES_TO_ISOLATE = 2;
/**
 * Number of crashes from which the task is at fault if the last one came
 * promptly while it was isolated. A later crash may be a coincidence, so it
 * takes one more.
 */
const MIN_CONCLUSIVE_CRASHES = 3;
/**
 * Number of crashes with known evidence from which the task is at fault if the
 * last one came while it was isolated. Otherwise a task could be given up for
 * starts that never reached their workers.
 */
const MIN_KNOWN_CRASHES = 2;
/** A crash within this time after the start is prompt; milliseconds. */
const PROMPT_CRASH_MS = 1_000;
/**
 * Number of crashes from which the task is at fault in any case, if enough of
 * them were single. Otherwise a task that outlives each of its isolation
 * periods would be restarted forever.
 */
const MAX_CRASHES = 5;
/** First isolation period; it doubles with each further crash; milliseconds. */
const FIRST_ISOLATION_MS = 3_000;
/**
 * The crashes of a task that has run this long are cleared. Equals the
 * isolation period after the last crash that does not decide whether the task
 * is at fault; milliseconds.
 */
export const SURVIVAL_MS =
  FIRST_ISOLATION_MS * 2 ** (MAX_CRASHES - 1 - MIN_CRASHES_TO_ISOLATE);

/**
 * Number of crashes of a task since it was last cleared. Group losses do not
 * count by themselves. They count beside a single crash: the task may have
 * crashed its worker just as the power failed. Presumed crashes do not count.
 */
export function crashCount(stepRun: activeJob.StepRun, index: number): number {
  const crashes = stepRun.crashes.get(index);
  if (crashes === undefined) return 0;
  return countSingle(crashes) > 0 ? crashes.size : 0;
}

/** Number of single crashes, of those alone with such an evidence if given. */
function countSingle(
  crashes: Crashes | undefined,
  strength?: jobProgress.EvidenceStrength,
): number {
  let count = 0;
  for (const {kind, evidence} of crashes?.values() ?? []) {
    if (kind !== 'single') continue;
    if (strength === undefined || jobProgress.strengthOf(evidence) === strength)
      count++;
  }
  return count;
}

/** Records a crash; returns false if it was recorded before. */
export function recordCrash(
  stepRun: activeJob.StepRun,
  index: number,
  worker: workerIncarnation.Incarnation,
  crash: jobProgress.CrashRecord,
): boolean {
  const crashes =
    stepRun.crashes.get(index) ??
    new Map<types.ids.WorkerIncarnation, jobProgress.CrashRecord>();
  const key = workerIncarnation.keyOf(worker);
  if (isRecorded(crashes, worker)) {
    nameIncarnation(crashes, worker);
    return false;
  }
  stepRun.crashes.set(index, crashes.set(key, crash));
  stepRun.job.unstoredCrashes = 'new';
  return true;
}

/**
 * Whether a crash is recorded, or one of an unknown incarnation of the same
 * worker, which may be this one: counting it twice could give up a healthy
 * task.
 */
export function isRecorded(
  crashes: Crashes,
  worker: workerIncarnation.Incarnation,
): boolean {
  const {id} = worker;
  return (
    crashes.has(workerIncarnation.keyOf(worker)) ||
    crashes.has(workerIncarnation.keyOf({id}))
  );
}

/** A crash of an unknown incarnation stands for one incarnation at most. */
function nameIncarnation(
  crashes: Map<types.ids.WorkerIncarnation, jobProgress.CrashRecord>,
  worker: workerIncarnation.Incarnation,
): void {
  const plain = workerIncarnation.keyOf({id: worker.id});
  const key = workerIncarnation.keyOf(worker);
  const crash = crashes.get(plain);
  if (crash === undefined || key === plain || crashes.has(key)) return;
  crashes.delete(plain);
  crashes.set(key, crash);
}

/** Lists the crashes of a task for the log, as `worker:kind:evidence`. */
export function describeCrashes(
  stepRun: activeJob.StepRun,
  index: number,
): string {
  const crashes = stepRun.crashes.get(index) ?? new Map();
  return [...crashes]
    .map(([worker, {kind, evidence}]) => `${worker}:${kind}:${evidence}`)
    .join(',');
}

/** Whether a task may start only isolated from other jobs. */
export function needsIsolation(
  stepRun: activeJob.StepRun,
  index: number,
): boolean {
  return crashCount(stepRun, index) >= MIN_CRASHES_TO_ISOLATE;
}

/** How long a task is isolated once it has started; milliseconds. */
export function isolationPeriodMs(
  stepRun: activeJob.StepRun,
  index: number,
): number {
  const further = crashCount(stepRun, index) - MIN_CRASHES_TO_ISOLATE;
  return Math.min(SURVIVAL_MS, FIRST_ISOLATION_MS * 2 ** Math.max(0, further));
}

/** Reason for giving up a task. */
export type GiveUpReason =
  /** Its worker crashed while the task was isolated from other jobs. */
  | 'crashed_in_isolation'
  /** More workers crashed while they ran it than a healthy task would see. */
  | 'too_many_crashes';

/**
 * Returns why a task is to be given up after the last recorded crash, if it is.
 * `isolatedMs` is how long it had run isolated before that crash; absent if it
 * was not isolated.
 */
export function giveUpReason(
  stepRun: activeJob.StepRun,
  index: number,
  isolatedMs: number | undefined,
): GiveUpReason | undefined {
  const count = crashCount(stepRun, index);
  const crashes = stepRun.crashes.get(index);
  if (isolatedMs !== undefined) {
    const needed =
      MIN_CONCLUSIVE_CRASHES + (isolatedMs <= PROMPT_CRASH_MS ? 0 : 1);
    const isKnown = countSingle(crashes, 'known') >= MIN_KNOWN_CRASHES;
    if (isKnown && count >= needed) return 'crashed_in_isolation';
  }
  const presumed = stepRun.presumedCrashes.has(index) ? 1 : 0;
  if (count + presumed < MAX_CRASHES) return undefined;
  return countSingle(crashes) >= MIN_CONCLUSIVE_CRASHES
    ? 'too_many_crashes'
    : undefined;
}
