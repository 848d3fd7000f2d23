/**
 * Schema of the settings tree that operators publish through the platform's
 * log. `cell` applies to the whole cell, `teams/<team>` to one team. Each
 * publish replaces one of these subtrees as a whole.
 */
import * as zod from 'zod';
import * as subtreePath from './subtree_path.js';

/** Defaults of the optional fields of a team's subtree. */
export const TEAM_DEFAULTS = {
  weight: 1,
  packing: 0.5,
  maxQueuedTasks: 100_000,
  maxQueuedRequests: 1_000,
  retryBudget: 0.1,
} as const;

/** Defaults of the fields of an operation. */
export const OPERATION_DEFAULTS = {
  idempotent: true,
  urgency: 'urgent',
  timeoutMs: 2_000,
  estimateMs: 50,
} as const;

/**
 * Upper bounds that are only exceeded if a value is in the wrong unit, such as
 * bytes instead of mebibytes.
 */
const MAX_CPU_MILLIS = 100_000_000_000;
const MAX_MEMORY_MB = 100_000_000_000;
const MAX_ACCELERATORS = 1_000_000;
/** One day. */
const MAX_SPAN_MS = 86_400_000;

/** Names that are used in URLs, ids and paths of the tree. */
const OPERATION_NAME_PATTERN = /^[a-zA-Z0-9._-]+$/;
const DOMAIN_NAME_PATTERN = /^[a-z0-9-]+$/;

const sha256 = zod.string().regex(/^[0-9a-f]{64}$/, 'not a SHA-256 in hex');

const resources = zod.strictObject({
  cpuMillis: zod.number().int().min(0).max(MAX_CPU_MILLIS),
  memoryMb: zod.number().int().min(0).max(MAX_MEMORY_MB),
  accelerators: zod.number().int().min(0).max(MAX_ACCELERATORS),
});

/** Policy of one kind of request, such as `airspace-check`. */
export const operationSchema = zod.strictObject({
  /** If false, a request runs at most once and needs an idempotency key. */
  idempotent: zod.boolean().default(OPERATION_DEFAULTS.idempotent),
  urgency: zod
    .enum(['urgent', 'normal', 'overnight'])
    .default(OPERATION_DEFAULTS.urgency),
  /** Maximum time until the answer, in milliseconds. */
  timeoutMs: zod
    .number()
    .int()
    .positive()
    .max(MAX_SPAN_MS)
    .default(OPERATION_DEFAULTS.timeoutMs),
  /** Typical processing time of an upstream, in milliseconds. */
  estimateMs: zod
    .number()
    .int()
    .positive()
    .max(MAX_SPAN_MS)
    .default(OPERATION_DEFAULTS.estimateMs),
});

/** A team's subtree. */
export const teamSchema = zod.strictObject({
  tokenHashes: zod.array(sha256).min(1),
  /** Weight of the team when capacity is shared between teams. */
  weight: zod.number().positive().max(1_000).default(TEAM_DEFAULTS.weight),
  /** Maximum resources that the team's tasks may use at the same time. */
  quota: resources,
  /** Goal of placement, from 0 (shortest wait) to 1 (tightest packing). */
  packing: zod.number().min(0).max(1).default(TEAM_DEFAULTS.packing),
  maxQueuedTasks: zod
    .number()
    .int()
    .positive()
    .default(TEAM_DEFAULTS.maxQueuedTasks),
  maxQueuedRequests: zod
    .number()
    .int()
    .positive()
    .default(TEAM_DEFAULTS.maxQueuedRequests),
  /** Maximum ratio of retries to first attempts. */
  retryBudget: zod.number().min(0).max(1).default(TEAM_DEFAULTS.retryBudget),
  operations: zod
    .record(zod.string().regex(OPERATION_NAME_PATTERN), operationSchema)
    .default({}),
});

/** An operator, and the subtrees that the operator may publish. */
export const operatorSchema = zod.strictObject({
  tokenHash: sha256,
  /** Paths such as `cell` or `teams/night-plans`; `*` allows all subtrees. */
  subtrees: zod.array(zod.string()).min(1),
});

/** The `cell` subtree: settings of the whole cell. */
export const cellSchema = zod.strictObject({
  name: zod.string().min(1),
  failureDomains: zod.array(zod.string().regex(DOMAIN_NAME_PATTERN)).min(1),
  operators: zod.record(zod.string(), operatorSchema).default({}),
});

/** The whole tree, as in a file for `settings publish`. */
export const cellTreeSchema = zod.strictObject({
  cell: cellSchema,
  teams: zod.record(
    zod.string().regex(subtreePath.TEAM_NAME_PATTERN),
    teamSchema,
  ),
});

/** Validated policy of one operation. */
export type OperationPolicy = zod.infer<typeof operationSchema>;
/** Validated subtree of a team. */
export type TeamPolicy = zod.infer<typeof teamSchema>;
/** Validated `cell` subtree. */
export type CellPolicy = zod.infer<typeof cellSchema>;
/** Validated tree. */
export type CellTree = zod.infer<typeof cellTreeSchema>;
