/** What a stand-in process is told at its start, and what faults it takes. */
import * as zod from 'zod';

const count = zod.number().int().min(0);

/** Capacity or size of a task, as in `types.resources`. */
export const resourcesSchema = zod.strictObject({
  cpuMillis: count,
  memoryMb: count,
  accelerators: count,
});

/** The log and the instance list. */
export const platformConfigSchema = zod.strictObject({
  kind: zod.literal('platform'),
  /** The log's own limit, shared by all producers. */
  appendsPerSecond: zod.number().positive().default(400),
  keepRecords: count.default(1_000_000),
  keepMs: count.default(86_400_000),
  listLagMs: count.default(0),
});

/** Many workers in one process, each on a port of its own. */
export const workersConfigSchema = zod.strictObject({
  kind: zod.literal('workers'),
  seed: zod.number().int().default(1),
  usageLagMs: count.default(500),
  workers: zod.array(
    zod.strictObject({
      id: zod.string().min(1),
      capacity: resourcesSchema,
      /** How far its clock is off; entries may not compare it with theirs. */
      clockOffsetMs: zod.number().default(0),
    }),
  ),
});

/** Many upstreams in one process, each on a port of its own. */
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

/** Any stand-in process. */
export const standInConfigSchema = zod.discriminatedUnion('kind', [
  platformConfigSchema,
  workersConfigSchema,
  upstreamsConfigSchema,
]);

/** How the log behaves. */
export const logFaultSchema = zod.discriminatedUnion('mode', [
  zod.strictObject({mode: zod.literal('up')}),
  /** Answers 503 to everything; nothing takes effect. */
  zod.strictObject({mode: zod.literal('down')}),
  zod.strictObject({mode: zod.literal('slow'), delayMs: count}),
  /** Appends take effect, then the connection breaks before the answer. */
  zod.strictObject({
    mode: zod.literal('lose_answers'),
    /** How many appends are struck before the log is up again. */
    appends: zod.number().int().positive(),
    /** Only this stream's appends; absent for all. */
    stream: zod.string().optional(),
  }),
]);

/** How one worker behaves. */
export const workerFaultSchema = zod.discriminatedUnion('mode', [
  zod.strictObject({mode: zod.literal('none')}),
  /** Each task it starts fails at once. */
  zod.strictObject({mode: zod.literal('fail_all')}),
  /** Holds every call until thawed; still stops tasks whose lease passes. */
  zod.strictObject({mode: zod.literal('frozen')}),
  /** Starts take effect, then the connection breaks before the answer. */
  zod.strictObject({
    mode: zod.literal('lose_start_answers'),
    starts: zod.number().int().positive(),
  }),
]);

/** How one upstream behaves. */
export const upstreamFaultSchema = zod.discriminatedUnion('mode', [
  zod.strictObject({mode: zod.literal('none')}),
  zod.strictObject({mode: zod.literal('slow'), delayMs: count}),
  /** Refuses; `proved` says whether it gives its word that nothing ran. */
  zod.strictObject({mode: zod.literal('refusing'), proved: zod.boolean()}),
  /** Runs, declares the whole length, sends half and breaks off. */
  zod.strictObject({mode: zod.literal('truncated')}),
  /** Runs, then answers with another request's id and text. */
  zod.strictObject({mode: zod.literal('crossed')}),
  /** Runs, then never answers. */
  zod.strictObject({mode: zod.literal('silent')}),
]);

/** Checked configurations and faults. */
export type PlatformConfig = zod.infer<typeof platformConfigSchema>;
export type WorkersConfig = zod.infer<typeof workersConfigSchema>;
export type UpstreamsConfig = zod.infer<typeof upstreamsConfigSchema>;
export type StandInConfig = zod.infer<typeof standInConfigSchema>;
export type StandInConfigInput = zod.input<typeof standInConfigSchema>;
export type LogFault = zod.infer<typeof logFaultSchema>;
export type WorkerFault = zod.infer<typeof workerFaultSchema>;
export type UpstreamFault = zod.infer<typeof upstreamFaultSchema>;
