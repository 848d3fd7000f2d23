/** The emulator's configuration: a file of JSON with comments. */
import * as testing from '@gypsumwall/testing';
import type * as result from 'true-myth/result';
import * as zod from 'zod';

const nameSchema = zod.string().min(1, 'give a name');
const positiveIntegerSchema = zod
  .number()
  .int()
  .min(1, 'give a whole number from 1');
const durationMsSchema = zod.number().min(0, 'give milliseconds from 0');
const shareSchema = zod
  .number()
  .min(0, 'give a share from 0 to 1')
  .max(1, 'give a share from 0 to 1');

const resourcesSchema = zod.strictObject({
  cpuMillis: zod.number().min(0, 'give thousandths of a core from 0'),
  memoryMb: zod.number().min(0, 'give mebibytes from 0'),
  accelerators: zod.number().min(0, 'give a number from 0').default(0),
});

const queueSchema = zod.strictObject({
  name: nameSchema,
  host: nameSchema,
  pathPrefix: zod.string().regex(/^\/.*\/$/, 'give a path, such as /batch/'),
  pool: nameSchema,
  priority: zod.number().int().min(0, 'give a whole number from 0').default(0),
  maxAttempts: positiveIntegerSchema.default(3),
  slackFactor: zod.number().min(1, 'give a number from 1').default(2),
  targetMs: durationMsSchema.default(1_000),
  /** If present, tasks of the queue need tickets from the adviser to start. */
  advice: zod
    .strictObject({
      callMs: durationMsSchema,
      perWorkerMs: durationMsSchema,
      validMs: durationMsSchema,
    })
    .optional(),
});

const organisationSchema = zod.strictObject({
  name: nameSchema,
  /** Its callers send the first key that is not revoked. */
  keys: zod.array(nameSchema).min(1, 'give a key'),
  /** Jobs a second that it is entitled to in a full cell. */
  weight: zod.number().min(0, 'give a number from 0').default(1),
  /** What its tasks may hold at a time; 0 is no limit. */
  quota: zod
    .strictObject({
      cpuMillis: zod.number().min(0, 'give thousandths of a core from 0'),
      memoryMb: zod.number().min(0, 'give mebibytes from 0').default(0),
    })
    .prefault({cpuMillis: 0}),
});

const poolSchema = zod.strictObject({
  name: nameSchema,
  workersPerZone: positiveIntegerSchema,
  workersPerRack: positiveIntegerSchema.default(8),
  kind: nameSchema.default('general'),
  capacity: resourcesSchema,
  refusesExcess: zod.boolean().default(false),
  failShare: shareSchema.default(0),
  /** Long-running tasks fail after a random time up to this. */
  lastingFailsMs: durationMsSchema.optional(),
});

const storeSchema = zod.strictObject({
  writesPerS: positiveIntegerSchema.default(600),
  readsPerS: positiveIntegerSchema.default(2_000),
  appendMs: durationMsSchema.default(4),
  keepMs: durationMsSchema.default(300_000),
});

const workersSchema = zod.strictObject({
  /** Lower bound of a worker's clock rate, relative to true time. */
  slowestClock: zod
    .number()
    .min(0.98, 'give a rate from 0.98 to 1')
    .max(1, 'give a rate from 0.98 to 1')
    .default(0.98),
  heartbeatMs: durationMsSchema.default(1_500),
  longestLeaseMs: durationMsSchema.default(10_000),
  startupMs: durationMsSchema.default(50),
  restoreMs: durationMsSchema.default(250),
  checkpointMs: durationMsSchema.default(500),
  stopMs: durationMsSchema.default(900),
  gangTimeoutMs: durationMsSchema.default(3_000),
  drainMs: durationMsSchema.default(2_000),
  restartMs: durationMsSchema.default(1_000),
  /** Whether every other worker restarts under the id that it had. */
  keepIds: zod.boolean().default(false),
});

const callersSchema = zod.strictObject({
  patienceMs: durationMsSchema.default(3_000),
  attempts: positiveIntegerSchema.default(5),
  retryPauseMs: durationMsSchema.default(100),
});

const entriesSchema = zod.strictObject({
  graceMs: durationMsSchema.default(6_000),
  restartMs: durationMsSchema.default(1_000),
  statusKeepMs: durationMsSchema.default(120_000),
  /** Processor share of an instance, as its settings say; nothing enforces it. */
  cpuShare: zod.number().positive().default(1),
  /** Memory and descriptors of an instance, as `cpuShare`; if absent, unknown. */
  memoryMb: positiveIntegerSchema.optional(),
  maxFds: positiveIntegerSchema.optional(),
});

/** Schema of the whole file. */
export const emulatorConfigSchema = zod
  .strictObject({
    seed: zod.number().int('give a whole number').default(1),
    /** One entry runs in each zone. */
    zones: zod.array(nameSchema).min(1, 'name a zone'),
    pools: zod.array(poolSchema).min(1, 'describe a pool'),
    queues: zod.array(queueSchema).min(1, 'describe a queue'),
    /** Jobs belong to these in turn; without any, callers send no keys. */
    organisations: zod.array(organisationSchema).default([]),
    /** Share of the workers on which the adviser doesn't allow a step to run. */
    adviserRefusedShare: shareSchema.default(0),
    store: storeSchema.prefault({}),
    workers: workersSchema.prefault({}),
    callers: callersSchema.prefault({}),
    entries: entriesSchema.prefault({}),
  })
  .superRefine((config, ctx) => {
    const pools = new Set(config.pools.map((pool) => pool.name));
    for (const [nth, {pool}] of config.queues.entries()) {
      if (pools.has(pool)) continue;
      const message = `name one of the pools: ${[...pools].join(', ')}`;
      ctx.addIssue({code: 'custom', path: ['queues', nth, 'pool'], message});
    }
  });

/** A validated configuration. */
export type EmulatorConfig = zod.infer<typeof emulatorConfigSchema>;

/**
 * Parses and validates a file's text. The error names the line, the field, its
 * value and how to fix it.
 */
export function parseEmulatorConfig(
  file: string,
  text: string,
): result.Result<EmulatorConfig, string> {
  return testing.jsoncFile.parseJsonc(file, text, emulatorConfigSchema);
}

/** Reads and validates a file; throws an error that names the fault. */
export function readEmulatorConfig(file: string): EmulatorConfig {
  return testing.jsoncFile.requireJsoncFile(file, emulatorConfigSchema);
}
