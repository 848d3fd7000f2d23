/** Mixed work for the demo: what is sent, how often and how big. */
import * as zod from 'zod';
import * as standInConfig from './stand_in_config.js';

const positive = zod.number().positive();

const requestClassSchema = zod.strictObject({
  class: zod.string().min(1),
  team: zod.string().min(1),
  operation: zod.string().min(1),
  perSecond: positive,
  /** How long the executor works, in milliseconds. */
  workMs: zod.number().min(0),
  answerBytes: zod.number().int().min(0),
  /** Sent again at once, with the same key, through another entry. */
  twice: zod.boolean().default(false),
});

const jobClassSchema = zod.strictObject({
  class: zod.string().min(1),
  team: zod.string().min(1),
  /** One of `perSecond` and `count` says how many. */
  perSecond: positive.optional(),
  count: zod.number().int().positive().optional(),
  shape: zod.discriminatedUnion('kind', [
    zod.strictObject({kind: zod.literal('batch'), tasks: positive.int()}),
    zod.strictObject({kind: zod.literal('gang'), tasks: positive.int()}),
    zod.strictObject({kind: zod.literal('service'), replicas: positive.int()}),
  ]),
  urgency: zod.enum(['urgent', 'normal', 'overnight']),
  size: standInConfig.resourcesSchema,
  estimateMs: positive,
  /** Finished within this time from the submit. */
  deadlineMs: positive.optional(),
  /** What each task truly does; see `task_work.ts`. */
  args: zod.record(
    zod.string(),
    zod.union([zod.string(), zod.number(), zod.boolean()]),
  ),
});

/** Shape of `workload.jsonc`. */
export const workloadSchema = zod.strictObject({
  requests: zod.array(requestClassSchema),
  jobs: zod.array(jobClassSchema),
});

/** Checked workload and its parts. */
export type Workload = zod.infer<typeof workloadSchema>;
export type RequestClass = zod.infer<typeof requestClassSchema>;
export type JobClass = zod.infer<typeof jobClassSchema>;
