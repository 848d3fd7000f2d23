/**
 * Which workers have crashed under each task. Crashes are recorded by the
 * worker's stay, not counted, so that two holders that hear of the same crash
 * record it once.
 *
 * A crash takes along all that runs on its worker, and one of it may be at
 * fault. So a crash alone proves nothing: a task under which workers have
 * crashed is started apart from other jobs, and a crash there is its own. One
 * that takes part in too many crashes is at fault all the same.
 */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';

/** What may have caused a worker's crash. */
export type CrashKind =
  /** Something that ran there. */
  | 'single'
  /** Most of its rack or failure domain went down with it. */
  | 'group';

/** Crashes under one task, by the worker's stay. */
export type Crashes = ReadonlyMap<types.ids.WorkerId, CrashKind>;

/** From so many crashes on a task starts apart from other jobs. */
const MIN_CRASHES_TO_ISOLATE = 2;
/**
 * The task's fault, if the last of so many crashes came promptly while it was
 * apart. A later one may be a chance, so it takes another.
 */
const MIN_CONCLUSIVE_CRASHES = 3;
const PROMPT_CRASH_MS = 1_000;
/**
 * The task's fault however they came, if enough of them were single. A task
 * that outlives each of its trials would otherwise be started without end.
 */
const MAX_CRASHES = 5;
/** The first trial; each further one takes twice as long; milliseconds. */
const FIRST_ISOLATION_MS = 3_000;
/**
 * A task that has run for so long is cleared. It is as long as the trial after
 * the last crash that leaves a task in doubt; milliseconds.
 */
export const SURVIVAL_MS =
  FIRST_ISOLATION_MS * 2 ** (MAX_CRASHES - 1 - MIN_CRASHES_TO_ISOLATE);

/**
 * How many workers have crashed under a task since it was last cleared. Losses
 * of a whole group say nothing by themselves. Beside a single crash they count:
 * the task may have crashed its worker just as the power failed.
 */
export function crashCount(stepRun: activeJob.StepRun, index: number): number {
  const crashes = stepRun.crashes.get(index);
  if (crashes === undefined || countSingle(crashes) === 0) return 0;
  return crashes.size;
}

function countSingle(crashes: Crashes): number {
  let count = 0;
  for (const kind of crashes.values()) if (kind === 'single') count++;
  return count;
}

/** Records a crash; false if it was recorded before. */
export function recordCrash(
  stepRun: activeJob.StepRun,
  index: number,
  worker: types.ids.WorkerId,
  kind: CrashKind,
): boolean {
  const crashes =
    stepRun.crashes.get(index) ?? new Map<types.ids.WorkerId, CrashKind>();
  if (crashes.has(worker)) return false;
  stepRun.crashes.set(index, crashes.set(worker, kind));
  stepRun.job.unstoredCrashes = 'new';
  return true;
}

/** Whether a task may only start apart from other jobs. */
export function needsIsolation(
  stepRun: activeJob.StepRun,
  index: number,
): boolean {
  return crashCount(stepRun, index) >= MIN_CRASHES_TO_ISOLATE;
}

/** How long a task stays apart from others once it has started. */
export function isolationPeriodMs(
  stepRun: activeJob.StepRun,
  index: number,
): number {
  const further = crashCount(stepRun, index) - MIN_CRASHES_TO_ISOLATE;
  return Math.min(SURVIVAL_MS, FIRST_ISOLATION_MS * 2 ** Math.max(0, further));
}

/** Why a task is given up. */
export type GiveUpReason =
  /** Its worker crashed while it ran apart from other jobs. */
  | 'crashed_in_isolation'
  /** More workers have crashed under it than a sound task meets. */
  | 'too_many_crashes';

/**
 * Whether a task is to be given up after the crash recorded last. `isolatedMs`
 * is how long it had run apart from other jobs by then; absent if it didn't.
 */
export function giveUpReason(
  stepRun: activeJob.StepRun,
  index: number,
  isolatedMs: number | undefined,
): GiveUpReason | undefined {
  const count = crashCount(stepRun, index);
  if (isolatedMs !== undefined) {
    const needed =
      MIN_CONCLUSIVE_CRASHES + (isolatedMs <= PROMPT_CRASH_MS ? 0 : 1);
    if (count >= needed) return 'crashed_in_isolation';
  }
  if (count < MAX_CRASHES) return undefined;
  const single = countSingle(stepRun.crashes.get(index) ?? new Map());
  return single >= MIN_CONCLUSIVE_CRASHES ? 'too_many_crashes' : undefined;
}
