/** What is emulated, as a file of JSON with comments tells it. */
import * as testing from '@gypsumwall/testing';
import type * as result from 'true-myth/result';
import * as zod from 'zod';

const name = zod.string().min(1, 'give a name');
const count = zod.number().int().min(1, 'give a whole number from 1');
const spanMs = zod.number().min(0, 'give milliseconds from 0');
const share = zod
  .number()
  .min(0, 'give a share from 0 to 1')
  .max(1, 'give a share from 0 to 1');

const resourcesSchema = zod.strictObject({
  cpuMillis: zod.number().min(0, 'give thousandths of a core from 0'),
  memoryMb: zod.number().min(0, 'give mebibytes from 0'),
  accelerators: zod.number().min(0, 'give a number from 0').default(0),
});

const queueSchema = zod.strictObject({
  name,
  host: name,
  pathPrefix: zod.string().regex(/^\/.*\/$/, 'give a path, such as /batch/'),
  pool: name,
  priority: zod.number().int().min(0, 'give a whole number from 0').default(0),
  maxAttempts: count.default(3),
  slackFactor: zod.number().min(1, 'give a number from 1').default(2),
  targetMs: spanMs.default(1_000),
  /** Steps of the queue need the adviser's tickets. */
  advice: zod
    .strictObject({callMs: spanMs, perWorkerMs: spanMs, validMs: spanMs})
    .optional(),
});

const poolSchema = zod.strictObject({
  name,
  workersPerZone: count,
  workersPerRack: count.default(8),
  kind: name.default('general'),
  capacity: resourcesSchema,
  refusesExcess: zod.boolean().default(false),
  failShare: share.default(0),
  /** Lasting tasks fail after a span up to this. */
  lastingFailsMs: spanMs.optional(),
});

const storeSchema = zod.strictObject({
  writesPerS: count.default(600),
  readsPerS: count.default(2_000),
  appendMs: spanMs.default(4),
  keepMs: spanMs.default(300_000),
});

const workersSchema = zod.strictObject({
  /** The slowest clock of a worker, as a share of true time. */
  slowestClock: zod
    .number()
    .min(0.98, 'give a rate from 0.98 to 1')
    .max(1, 'give a rate from 0.98 to 1')
    .default(0.98),
  heartbeatMs: spanMs.default(1_500),
  longestLeaseMs: spanMs.default(10_000),
  startupMs: spanMs.default(50),
  restoreMs: spanMs.default(250),
  checkpointMs: spanMs.default(500),
  stopMs: spanMs.default(900),
  gangTimeoutMs: spanMs.default(3_000),
  drainMs: spanMs.default(2_000),
  restartMs: spanMs.default(1_000),
});

const callersSchema = zod.strictObject({
  patienceMs: spanMs.default(3_000),
  attempts: count.default(5),
  retryPauseMs: spanMs.default(100),
});

const entriesSchema = zod.strictObject({
  graceMs: spanMs.default(6_000),
  restartMs: spanMs.default(1_000),
  statusKeepMs: spanMs.default(120_000),
});

/** The whole file. */
export const emulatorConfigSchema = zod
  .strictObject({
    seed: zod.number().int('give a whole number').default(1),
    /** One entry runs in each. */
    zones: zod.array(name).min(1, 'name a zone'),
    pools: zod.array(poolSchema).min(1, 'describe a pool'),
    queues: zod.array(queueSchema).min(1, 'describe a queue'),
    /** Share of the workers that the adviser refuses a step. */
    adviserRefusedShare: share.default(0),
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

/** A checked configuration. */
export type EmulatorConfig = zod.infer<typeof emulatorConfigSchema>;

/** Checks a file's text; the error names line, field, value and remedy. */
export function parseEmulatorConfig(
  file: string,
  text: string,
): result.Result<EmulatorConfig, string> {
  return testing.jsoncFile.parseJsonc(file, text, emulatorConfigSchema);
}

/** Reads a file whose faults end the program with their text. */
export function readEmulatorConfig(file: string): EmulatorConfig {
  return testing.jsoncFile.requireJsoncFile(file, emulatorConfigSchema);
}
