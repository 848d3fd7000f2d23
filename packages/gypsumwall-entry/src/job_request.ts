/** Validates the body of a job submission. */
import * as result from 'true-myth/result';
import * as zod from 'zod';
import * as settings from '@gypsumwall/settings';
import type * as types from '@gypsumwall/types';

/** Maximum number of tasks or replicas of one job. */
export const MAX_TASKS = 100_000;

const positive = zod.number().int().positive();

const shape = zod.discriminatedUnion('kind', [
  zod.strictObject({
    kind: zod.literal('batch'),
    tasks: positive.max(MAX_TASKS),
  }),
  zod.strictObject({
    kind: zod.literal('gang'),
    tasks: positive.max(MAX_TASKS),
  }),
  zod.strictObject({
    kind: zod.literal('service'),
    replicas: positive.max(MAX_TASKS),
  }),
]);

const jobRequestSchema = zod.strictObject({
  shape,
  jobClass: zod.string().min(1).max(100),
  urgency: zod.enum(['urgent', 'normal', 'overnight']),
  size: zod.strictObject({
    cpuMillis: positive.max(10_000_000),
    memoryMb: positive.max(100_000_000),
    accelerators: zod.number().int().min(0).max(10_000),
  }),
  estimateMs: positive,
  /** ISO 8601 with a time zone. */
  deadline: zod.iso.datetime({offset: true}).optional(),
  work: zod.strictObject({
    command: zod.string().min(1).max(1_000),
    args: zod
      .record(
        zod.string(),
        zod.union([zod.string(), zod.number(), zod.boolean()]),
      )
      .default({}),
  }),
});

/** All keys of a job, to suggest the nearest one for a misspelt key. */
const JOB_KEYS = [
  ...Object.keys(jobRequestSchema.shape),
  ...Object.keys(jobRequestSchema.shape.size.shape),
  ...Object.keys(jobRequestSchema.shape.work.shape),
];

/** Returns the job that a body describes, or what is wrong with the body. */
export function checkJobRequest(
  body: unknown,
  team: types.ids.TeamId,
): result.Result<types.job.JobSpec, string> {
  if (body === undefined) {
    return result.err(
      'the body is not JSON. Send a job as described in docs/API.md',
    );
  }
  const parsed = jobRequestSchema.safeParse(body);
  if (!parsed.success) {
    const problems = settings.explainIssue.explainIssues(
      parsed.error.issues,
      {value: body},
      JOB_KEYS,
    );
    const descriptions = problems.map(settings.settingsProblem.describeProblem);
    return result.err(descriptions.join(' | '));
  }
  const {deadline, ...rest} = parsed.data;
  return result.ok({
    ...rest,
    team,
    ...(deadline === undefined
      ? {}
      : {deadline: Date.parse(deadline) as types.clock.WallMs}),
  });
}
