/** What a task truly does, which may differ from what its job declared. */
import * as zod from 'zod';
import type * as types from '@gypsumwall/types';

const workArgs = zod.object({
  /** Run time when nothing throttles it. */
  runMs: zod.number().min(0).default(100),
  /** True usage; absent: as declared. */
  cpuMillis: zod.number().min(0).optional(),
  memoryMb: zod.number().min(0).optional(),
  /** Share of runs that end as failed. */
  failRate: zod.number().min(0).max(1).default(0),
  /** Fails at once on every worker. */
  neverRuns: zod.boolean().default(false),
  result: zod.string().default('ok'),
  /** Marks the job in recorded histories. */
  label: zod.string().default(''),
});

/** Checked arguments of a task's work. */
export type TaskWork = zod.infer<typeof workArgs>;

/** Reads them; keys it doesn't know are another program's. */
export function parseWork(work: types.job.Work): TaskWork {
  return workArgs.parse(work.args);
}

/** What the task truly uses while it runs unthrottled. */
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
