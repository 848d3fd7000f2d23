/**
 * The actual behaviour of a task, which may differ from what its job declared.
 */
import * as zod from 'zod';
import type * as types from '@gypsumwall/types';

const workArgs = zod.object({
  /** Run time without throttling. */
  runMs: zod.number().min(0).default(100),
  /** Actual usage; the declared size if absent. */
  cpuMillis: zod.number().min(0).optional(),
  memoryMb: zod.number().min(0).optional(),
  /** Share of attempts that end as failed. */
  failRate: zod.number().min(0).max(1).default(0),
  /** Whether every attempt fails at once. */
  neverRuns: zod.boolean().default(false),
  result: zod.string().default('ok'),
  /** Identifies the job in recorded histories. */
  label: zod.string().default(''),
});

/** Validated arguments of a task's work. */
export type TaskWork = zod.infer<typeof workArgs>;

/**
 * Parses the arguments of a task's work; unknown keys are ignored, since they
 * are meant for other programs.
 */
export function parseWork(work: types.job.Work): TaskWork {
  return workArgs.parse(work.args);
}

/** Returns the task's actual usage while it runs without throttling. */
export function trueUsage(
  work: TaskWork,
  declared: types.resources.Resources,
): types.resources.Resources {
  return {
    cpuMillis: work.cpuMillis ?? declared.cpuMillis,
    memoryMb: work.memoryMb ?? declared.memoryMb,
    accelerators: declared.accelerators,
  };
}
