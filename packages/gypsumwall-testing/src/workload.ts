/** Schema of the demo's workload: what is sent, how often and of what size. */
import * as zod from 'zod';
import * as standInConfig from './stand_in_config.js';

const positive = zod.number().positive();

const requestClassSchema = zod.strictObject({
  class: zod.string().min(1),
  team: zod.string().min(1),
  operation: zod.string().min(1),
  perSecond: positive,
  /** How long an upstream executes the request, in milliseconds. */
  workMs: zod.number().min(0),
  answerBytes: zod.number().int().min(0),
  /**
   * Whether each request is also sent through another entry at the same time,
   * with the same key.
   */
  twice: zod.boolean().default(false),
});

const jobClassSchema = zod.strictObject({
  class: zod.string().min(1),
  team: zod.string().min(1),
  /** Either `perSecond` or `count` sets the number of jobs. */
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
  /** Deadline of the job, counted from its submission. */
  deadlineMs: positive.optional(),
  /** What each task actually does; see `task_work.ts`. */
  args: zod.record(
    zod.string(),
    zod.union([zod.string(), zod.number(), zod.boolean()]),
  ),
});

/** Schema of `workload.jsonc`. */
export const workloadSchema = zod.strictObject({
  requests: zod.array(requestClassSchema),
  jobs: zod.array(jobClassSchema),
});

/** Validated workload and its parts. */
export type Workload = zod.infer<typeof workloadSchema>;
export type RequestClass = zod.infer<typeof requestClassSchema>;
export type JobClass = zod.infer<typeof jobClassSchema>;
