/**
 * Schema of the settings of one entry process, which it reads from a file at
 * its start: its identity, addresses and timeouts. Settings shared by the whole
 * cell are in `cell_tree.ts`.
 */
import * as zod from 'zod';

/** Defaults of the optional fields. All durations are in milliseconds. */
export const ENTRY_DEFAULTS = {
  host: '127.0.0.1',
  /** With 0, the kernel chooses a port. */
  port: 0,
  peerPort: 0,
  logLevel: 'info',
  platformTimeoutMs: 2_000,
  listPollMs: 500,
  /** Maximum age of the instance list. */
  listLagMs: 5_000,
  peerHeartbeatMs: 500,
  /** A peer counts as silent after this time without a heartbeat. */
  peerSilenceMs: 2_000,
  claimTtlMs: 6_000,
  workerHeartbeatMs: 1_000,
  taskLeaseMs: 15_000,
  /** Long enough that services keep running while there is no holder. */
  serviceLeaseMs: 3_600_000,
  /** Time after the end of a lease until its task counts as stopped. */
  leaseGraceMs: 2_000,
  /** Must be well below the retention of the log. */
  snapshotEveryMs: 300_000,
  snapshotEveryRecords: 20_000,
  /** How long a leaving entry still forwards the calls that arrive. */
  drainNoticeMs: 2_000,
  drainTimeoutMs: 30_000,
} as const;

/** One day; a longer duration must be in the wrong unit. */
const MAX_SPAN_MS = 86_400_000;

const records = zod.number().int().positive();
const span = zod.number().int().positive().max(MAX_SPAN_MS);

/** Schema of the file; unknown keys are refused. */
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
  /** Hexadecimal SHA-256 of the token that may publish all subtrees. */
  rootOperatorTokenHash: zod.string().regex(/^[0-9a-f]{64}$/),
  logLevel: zod
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default(ENTRY_DEFAULTS.logLevel),
  statsd: zod
    .strictObject({host: zod.string(), port: zod.number().int()})
    .optional(),
  /** URL of the OTLP/HTTP collector for traces. */
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

/** Validated settings of an entry process. */
export type EntrySettings = zod.infer<typeof entrySettingsSchema>;
