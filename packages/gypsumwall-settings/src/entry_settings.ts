/**
 * Settings of one entry process, read from a file at its start: who it is and
 * where its surroundings are. What the cell agrees on is in `cell_tree.ts`.
 */
import * as zod from 'zod';

/** What is used where the file says nothing. All spans are milliseconds. */
export const ENTRY_DEFAULTS = {
  host: '127.0.0.1',
  /** 0 lets the kernel choose. */
  port: 0,
  peerPort: 0,
  logLevel: 'info',
  platformTimeoutMs: 2_000,
  listPollMs: 500,
  /** How old the list may be at worst. */
  listLagMs: 5_000,
  peerHeartbeatMs: 500,
  /** A peer unheard for this long counts as silent. */
  peerSilenceMs: 2_000,
  claimTtlMs: 6_000,
  workerHeartbeatMs: 1_000,
  taskLeaseMs: 15_000,
  /** Long, so that a service outlives a time without a holder. */
  serviceLeaseMs: 3_600_000,
  /** Added to a lease before its task counts as stopped. */
  leaseGraceMs: 2_000,
  /** Keep it well under the log's retention. */
  snapshotEveryMs: 300_000,
  snapshotEveryRecords: 20_000,
  /** How long a leaving entry still hands over what comes. */
  drainNoticeMs: 2_000,
  drainTimeoutMs: 30_000,
} as const;

/** A day: a longer span has the wrong unit. */
const LONGEST_SPAN_MS = 86_400_000;

const records = zod.number().int().positive();
const span = zod.number().int().positive().max(LONGEST_SPAN_MS);

/** Shape of the file. Unknown keys are refused. */
export const entrySettingsSchema = zod.strictObject({
  id: zod.string().min(1),
  failureDomain: zod.string().min(1),
  host: zod.string().default(ENTRY_DEFAULTS.host),
  port: zod.number().int().min(0).max(65_535).default(ENTRY_DEFAULTS.port),
  peerPort: zod
    .number()
    .int()
    .min(0)
    .max(65_535)
    .default(ENTRY_DEFAULTS.peerPort),
  logUrl: zod.url(),
  listUrl: zod.url(),
  /** SHA-256, hex, of the token that may publish anywhere in the tree. */
  rootOperatorTokenHash: zod.string().regex(/^[0-9a-f]{64}$/),
  logLevel: zod
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default(ENTRY_DEFAULTS.logLevel),
  statsd: zod
    .strictObject({host: zod.string(), port: zod.number().int()})
    .optional(),
  /** OTLP/HTTP collector of traces. */
  tracesUrl: zod.url().optional(),
  platformTimeoutMs: span.default(ENTRY_DEFAULTS.platformTimeoutMs),
  listPollMs: span.default(ENTRY_DEFAULTS.listPollMs),
  listLagMs: span.default(ENTRY_DEFAULTS.listLagMs),
  peerHeartbeatMs: span.default(ENTRY_DEFAULTS.peerHeartbeatMs),
  peerSilenceMs: span.default(ENTRY_DEFAULTS.peerSilenceMs),
  claimTtlMs: span.default(ENTRY_DEFAULTS.claimTtlMs),
  workerHeartbeatMs: span.default(ENTRY_DEFAULTS.workerHeartbeatMs),
  taskLeaseMs: span.default(ENTRY_DEFAULTS.taskLeaseMs),
  serviceLeaseMs: span.default(ENTRY_DEFAULTS.serviceLeaseMs),
  leaseGraceMs: span.default(ENTRY_DEFAULTS.leaseGraceMs),
  snapshotEveryMs: span.default(ENTRY_DEFAULTS.snapshotEveryMs),
  snapshotEveryRecords: records.default(ENTRY_DEFAULTS.snapshotEveryRecords),
  drainNoticeMs: span.default(ENTRY_DEFAULTS.drainNoticeMs),
  drainTimeoutMs: span.default(ENTRY_DEFAULTS.drainTimeoutMs),
});

/** Checked settings of an entry process. */
export type EntrySettings = zod.infer<typeof entrySettingsSchema>;
