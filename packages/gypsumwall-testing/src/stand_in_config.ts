/**
 * Schemas of the stand-ins' configurations and of the faults that can be set at
 * runtime.
 */
import * as zod from 'zod';

const count = zod.number().int().min(0);

/** Capacity of a worker or size of a task, as in `types.resources`. */
export const resourcesSchema = zod.strictObject({
  cpuMillis: count,
  memoryMb: count,
  accelerators: count,
});

/** Configuration of the log and the instance list. */
export const platformConfigSchema = zod.strictObject({
  kind: zod.literal('platform'),
  /** Rate limit of the log, shared by all producers. */
  appendsPerSecond: zod.number().positive().default(400),
  keepRecords: count.default(1_000_000),
  keepMs: count.default(86_400_000),
  listLagMs: count.default(0),
});

/** Configuration of many workers in one process, each on its own port. */
export const workersConfigSchema = zod.strictObject({
  kind: zod.literal('workers'),
  seed: zod.number().int().default(1),
  usageLagMs: count.default(500),
  workers: zod.array(
    zod.strictObject({
      id: zod.string().min(1),
      capacity: resourcesSchema,
      /**
       * Offset of the worker's clock; entries may not compare it with their
       * own.
       */
      clockOffsetMs: zod.number().default(0),
    }),
  ),
});

/** Configuration of many upstreams in one process, each on its own port. */
export const upstreamsConfigSchema = zod.strictObject({
  kind: zod.literal('upstreams'),
  upstreams: zod.array(
    zod.strictObject({
      id: zod.string().min(1),
      slots: zod.number().int().positive(),
      connections: zod.number().int().positive(),
    }),
  ),
});

/** Configuration of any stand-in process. */
export const standInConfigSchema = zod.discriminatedUnion('kind', [
  platformConfigSchema,
  workersConfigSchema,
  upstreamsConfigSchema,
]);

/** Faults of the log; `up` is normal operation. */
export const logFaultSchema = zod.discriminatedUnion('mode', [
  zod.strictObject({mode: zod.literal('up')}),
  /** Answers every call with 503; nothing takes effect. */
  zod.strictObject({mode: zod.literal('down')}),
  zod.strictObject({mode: zod.literal('slow'), delayMs: count}),
  /** Appends take effect, but the connection is closed before the answer. */
  zod.strictObject({
    mode: zod.literal('lose_answers'),
    /**
     * Number of appends that are affected before the log works normally again.
     */
    appends: zod.number().int().positive(),
    /** The affected stream; all streams if absent. */
    stream: zod.string().optional(),
  }),
]);

/** Faults of one worker. */
export const workerFaultSchema = zod.discriminatedUnion('mode', [
  zod.strictObject({mode: zod.literal('none')}),
  /** Every task that the worker starts fails at once. */
  zod.strictObject({mode: zod.literal('fail_all')}),
  /**
   * Delays every call until the fault ends; the worker still stops tasks whose
   * lease expires.
   */
  zod.strictObject({mode: zod.literal('frozen')}),
  /** Starts take effect, but the connection is closed before the answer. */
  zod.strictObject({
    mode: zod.literal('lose_start_answers'),
    starts: zod.number().int().positive(),
  }),
]);

/** Faults of one upstream. */
export const upstreamFaultSchema = zod.discriminatedUnion('mode', [
  zod.strictObject({mode: zod.literal('none')}),
  zod.strictObject({mode: zod.literal('slow'), delayMs: count}),
  /**
   * Refuses requests; `proved` tells whether the answer guarantees that nothing
   * ran.
   */
  zod.strictObject({mode: zod.literal('refusing'), proved: zod.boolean()}),
  /**
   * Executes the request, declares the full length, sends half of the answer
   * and closes the connection.
   */
  zod.strictObject({mode: zod.literal('truncated')}),
  /**
   * Executes the request, then answers with the id and text of another request.
   */
  zod.strictObject({mode: zod.literal('crossed')}),
  /** Executes the request and never answers. */
  zod.strictObject({mode: zod.literal('silent')}),
]);

/** Validated configurations and faults. */
export type PlatformConfig = zod.infer<typeof platformConfigSchema>;
export type WorkersConfig = zod.infer<typeof workersConfigSchema>;
export type UpstreamsConfig = zod.infer<typeof upstreamsConfigSchema>;
export type StandInConfig = zod.infer<typeof standInConfigSchema>;
export type StandInConfigInput = zod.input<typeof standInConfigSchema>;
export type LogFault = zod.infer<typeof logFaultSchema>;
export type WorkerFault = zod.infer<typeof workerFaultSchema>;
export type UpstreamFault = zod.infer<typeof upstreamFaultSchema>;
