/**
 * The tree that operators publish through the platform's log. `cell` holds
 * for all; `teams/<team>` is one team's own subtree. A publish replaces one
 * of these subtrees whole.
 */
import * as zod from 'zod';
import * as subtreePath from './subtree_path.js';

/** What is used where a team's subtree says nothing. */
export const TEAM_DEFAULTS = {
  weight: 1,
  packing: 0.5,
  maxQueuedTasks: 100_000,
  maxQueuedRequests: 1_000,
  retryBudget: 0.1,
} as const;

/** What is used where an operation says nothing. */
export const OPERATION_DEFAULTS = {
  idempotent: true,
  urgency: 'urgent',
  timeoutMs: 2_000,
  estimateMs: 50,
} as const;

/** Bounds that only a wrong unit goes over, such as bytes for mebibytes. */
const MOST_CPU_MILLIS = 100_000_000_000;
const MOST_MEMORY_MB = 100_000_000_000;
const MOST_ACCELERATORS = 1_000_000;
/** A day, in milliseconds. */
const LONGEST_SPAN_MS = 86_400_000;

/** Names that stand in URLs, ids and paths of the tree. */
const OPERATION_NAME = /^[a-zA-Z0-9._-]+$/;
const DOMAIN_NAME = /^[a-z0-9-]+$/;

const sha256 = zod.string().regex(/^[0-9a-f]{64}$/, 'not a SHA-256 in hex');

const resources = zod.strictObject({
  cpuMillis: zod.number().int().min(0).max(MOST_CPU_MILLIS),
  memoryMb: zod.number().int().min(0).max(MOST_MEMORY_MB),
  accelerators: zod.number().int().min(0).max(MOST_ACCELERATORS),
});

/** Policy of one kind of request, such as `airspace-check`. */
export const operationSchema = zod.strictObject({
  /** False: runs at most once, and needs an idempotency key. */
  idempotent: zod.boolean().default(OPERATION_DEFAULTS.idempotent),
  urgency: zod
    .enum(['urgent', 'normal', 'overnight'])
    .default(OPERATION_DEFAULTS.urgency),
  /** Longest time an answer may take, in milliseconds. */
  timeoutMs: zod
    .number()
    .int()
    .positive()
    .max(LONGEST_SPAN_MS)
    .default(OPERATION_DEFAULTS.timeoutMs),
  /** Usual time an upstream needs, in milliseconds. */
  estimateMs: zod
    .number()
    .int()
    .positive()
    .max(LONGEST_SPAN_MS)
    .default(OPERATION_DEFAULTS.estimateMs),
});

/** A team's subtree. */
export const teamSchema = zod.strictObject({
  tokenHashes: zod.array(sha256).min(1),
  /** Share of contended capacity, relative to other teams. */
  weight: zod.number().positive().max(1_000).default(TEAM_DEFAULTS.weight),
  /** Most that the team's tasks may hold at one time. */
  quota: resources,
  /** 0: shortest wait first; 1: tightest packing first. */
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
  /** Retries allowed, as a share of first tries. */
  retryBudget: zod.number().min(0).max(1).default(TEAM_DEFAULTS.retryBudget),
  operations: zod
    .record(zod.string().regex(OPERATION_NAME), operationSchema)
    .default({}),
});

/** An operator who may publish some subtrees. */
export const operatorSchema = zod.strictObject({
  tokenHash: sha256,
  /** Paths such as `cell` or `teams/night-plans`; `*` is the whole tree. */
  subtrees: zod.array(zod.string()).min(1),
});

/** What holds for the whole cell. */
export const cellSchema = zod.strictObject({
  name: zod.string().min(1),
  failureDomains: zod.array(zod.string().regex(DOMAIN_NAME)).min(1),
  operators: zod.record(zod.string(), operatorSchema).default({}),
});

/** The whole tree, as a file for `settings publish` holds it. */
export const cellTreeSchema = zod.strictObject({
  cell: cellSchema,
  teams: zod.record(zod.string().regex(subtreePath.TEAM_NAME), teamSchema),
});

/** Checked policy of one operation. */
export type OperationPolicy = zod.infer<typeof operationSchema>;
/** Checked subtree of a team. */
export type TeamPolicy = zod.infer<typeof teamSchema>;
/** Checked `cell` subtree. */
export type CellPolicy = zod.infer<typeof cellSchema>;
/** Checked tree. */
export type CellTree = zod.infer<typeof cellTreeSchema>;
