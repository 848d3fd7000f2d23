/**
 * Schema of scenario files: a cell, then steps. The files are JSON with
 * comments.
 */
import * as zod from 'zod';
import * as standInConfig from '../stand_in_config.js';

const name = zod.string().min(1);
const positive = zod.number().int().positive();
const share = zod.number().min(0).max(1);

/**
 * An entry: its id, a name bound by `as`, the entry that holds a failure
 * domain's claim, or the first entry of the domain that doesn't, each resolved
 * when the step runs.
 */
const entryRef = zod.union([
  name,
  zod.strictObject({holderOf: name}),
  zod.strictObject({notHolderOf: name}),
]);

/**
 * Endpoints of a path: an entry, worker or upstream, a failure domain for all
 * its instances, `log`, `list`, or `platform` for both.
 */
const endpoints = zod.array(entryRef).min(1);
const between = zod.tuple([endpoints, endpoints]);

const outcomes = zod.array(zod.enum(['done', 'not_run', 'unknown', 'broken']));
const jobOutcomes = zod.array(
  zod.enum(['accepted', 'not_run', 'unknown', 'broken']),
);
const publishOutcomes = zod.array(
  zod.enum(['accepted', 'conflict', 'refused', 'broken']),
);

const shape = zod.discriminatedUnion('kind', [
  zod.strictObject({kind: zod.literal('batch'), tasks: positive}),
  zod.strictObject({kind: zod.literal('gang'), tasks: positive}),
  zod.strictObject({kind: zod.literal('service'), replicas: positive}),
]);

/** A condition that a step waits for. */
export const conditionSchema = zod.discriminatedUnion('type', [
  /** The job is in one of the states, as reported by any entry. */
  zod.strictObject({
    type: zod.literal('job'),
    job: name,
    states: zod.array(
      zod.enum(['queued', 'running', 'done', 'failed', 'cancelled']),
    ),
  }),
  /**
   * The number of the job's running tasks is in a range, as recorded by
   * workers.
   */
  zod.strictObject({
    type: zod.literal('tasks_running'),
    job: name,
    atLeast: zod.number().int().min(0),
    atMost: zod.number().int().min(0).default(Number.MAX_SAFE_INTEGER),
  }),
  /**
   * The job's tasks were started at least this often, as recorded by workers.
   */
  zod.strictObject({
    type: zod.literal('tasks_started'),
    job: name,
    atLeast: positive,
  }),
  /**
   * The job's tasks ended at least this often for a cause, as recorded by
   * workers.
   */
  zod.strictObject({
    type: zod.literal('tasks_ended'),
    job: name,
    cause: zod.enum([
      'done',
      'failed',
      'stop_call',
      'lease_lapsed',
      'checkpointed',
      'worker_restarted',
    ]),
    atLeast: positive,
  }),
  /** The request's execution has started, as recorded by upstreams. */
  zod.strictObject({
    type: zod.literal('executing'),
    request: name,
  }),
  /** The call of a background step has one of the outcomes. */
  zod.strictObject({
    type: zod.literal('told'),
    call: name,
    outcomes: zod.array(name).min(1),
  }),
  /** A load got at least this many `done` answers since the wait began. */
  zod.strictObject({
    type: zod.literal('load_done'),
    load: name,
    atLeast: positive,
  }),
  /**
   * An entry holds the failure domain; if `other` is given, a different one.
   */
  zod.strictObject({
    type: zod.literal('holder'),
    domain: name,
    other: entryRef.optional(),
  }),
  zod.strictObject({type: zod.literal('ready'), entry: entryRef}),
  /** Every entry that isn't frozen returns at least the newest accepted revision. */
  zod.strictObject({type: zod.literal('in_force'), path: name}),
  /** A time has passed that a guarantee allows, such as "a few seconds". */
  zod.strictObject({type: zod.literal('passed'), ms: positive}),
]);

const requestFields = {
  team: name,
  operation: name,
  workMs: zod.number().min(0).default(10),
  answerBytes: zod.number().int().min(0).default(500),
  timeoutMs: positive.optional(),
};

/** A step. */
export const stepSchema = zod.discriminatedUnion('do', [
  zod.strictObject({
    do: zod.literal('request'),
    name,
    ...requestFields,
    key: name.optional(),
    /** Name of an earlier request whose body is sent again. */
    sameAs: name.optional(),
    to: entryRef.optional(),
    background: zod.boolean().default(false),
    /** How long the call is repeated after `not_run` answers. */
    retryForMs: zod.number().int().min(0).default(0),
    expect: outcomes.optional(),
  }),
  zod.strictObject({
    do: zod.literal('submit'),
    name,
    team: name,
    shape,
    size: standInConfig.resourcesSchema.default({
      cpuMillis: 1_000,
      memoryMb: 256,
      accelerators: 0,
    }),
    urgency: zod.enum(['urgent', 'normal', 'overnight']).default('normal'),
    estimateMs: positive.default(1_000),
    runMs: zod.number().min(0).default(200),
    neverRuns: zod.boolean().default(false),
    key: name.optional(),
    to: entryRef.optional(),
    background: zod.boolean().default(false),
    /** How long the call is repeated after `not_run` answers. */
    retryForMs: zod.number().int().min(0).default(0),
    expect: jobOutcomes.optional(),
  }),
  zod.strictObject({
    do: zod.literal('cancel'),
    job: name,
    to: entryRef.optional(),
    expect: zod.boolean().default(true),
  }),
  /**
   * Publishes at each of the entries at the same time, based on one revision.
   */
  zod.strictObject({
    do: zod.literal('publish'),
    name,
    path: name,
    /** Fields to change in the subtree. */
    set: zod.record(zod.string(), zod.unknown()),
    at: zod.array(entryRef).min(1),
    expect: publishOutcomes.optional(),
  }),
  /** Polls the subtree at all entries until the scenario ends. */
  zod.strictObject({do: zod.literal('watch_setting'), path: name}),
  /**
   * Sends requests at a steady rate until `stop_load` or the end of the
   * scenario.
   */
  zod.strictObject({
    do: zod.literal('load'),
    name,
    ...requestFields,
    perSecond: zod.number().positive(),
    /** Whether each request has its own key. */
    keyed: zod.boolean().default(false),
    /** Entries to send to, in turn; if absent, all that aren't frozen. */
    to: zod.array(entryRef).optional(),
  }),
  zod.strictObject({
    do: zod.literal('stop_load'),
    load: name,
    /** Minimum share of the sent requests that must be done. */
    doneShare: share.default(0),
  }),
  zod.strictObject({
    do: zod.literal('kill'),
    entry: entryRef,
    as: name.optional(),
  }),
  /** Sends SIGSTOP, so that the process pauses wherever it is. */
  zod.strictObject({
    do: zod.literal('freeze'),
    entry: entryRef,
    as: name.optional(),
  }),
  zod.strictObject({do: zod.literal('thaw'), entry: entryRef}),
  /** Stops the entry as planned. */
  zod.strictObject({
    do: zod.literal('stop'),
    entry: entryRef,
    as: name.optional(),
    background: zod.boolean().default(false),
  }),
  zod.strictObject({
    do: zod.literal('start_entry'),
    entry: name,
    failureDomain: name,
    /** Whether the step waits until the entry is ready. */
    ready: zod.boolean().default(true),
  }),
  /** Kills all entries at the same time and starts as many new ones. */
  zod.strictObject({do: zod.literal('replace_all')}),
  zod.strictObject({do: zod.literal('cut'), between}),
  /** Stops forwarding what either side sends on connections that it opened. */
  zod.strictObject({do: zod.literal('cut_one_way'), between}),
  zod.strictObject({do: zod.literal('delay'), between, ms: positive}),
  /** Resets open connections. */
  zod.strictObject({do: zod.literal('reset'), between}),
  /** Ends cuts and delays. */
  zod.strictObject({do: zod.literal('heal'), between}),
  /** Stops forwarding on open connections permanently; new ones work. */
  zod.strictObject({do: zod.literal('silence'), between}),
  zod.strictObject({
    do: zod.literal('log'),
    fault: standInConfig.logFaultSchema,
  }),
  /** Drops all but the last records of the stream, as retention does. */
  zod.strictObject({
    do: zod.literal('drop_records'),
    stream: name,
    keep: zod.number().int().min(0),
  }),
  zod.strictObject({
    do: zod.literal('worker'),
    worker: name,
    fault: standInConfig.workerFaultSchema,
  }),
  zod.strictObject({do: zod.literal('restart_worker'), worker: name}),
  zod.strictObject({
    do: zod.literal('upstream'),
    upstream: name,
    fault: standInConfig.upstreamFaultSchema,
  }),
  zod.strictObject({do: zod.literal('leave'), upstream: name}),
  zod.strictObject({
    do: zod.literal('list_lag'),
    lagMs: zod.number().int().min(0),
  }),
  zod.strictObject({
    do: zod.literal('wait'),
    until: conditionSchema,
    withinMs: positive.default(15_000),
  }),
  /**
   * Waits until every call has an outcome and every accepted job has ended;
   * jobs that are still unfinished count as lost. Added as the last step if a
   * file doesn't end with it.
   */
  zod.strictObject({
    do: zod.literal('settle'),
    withinMs: positive.default(30_000),
  }),
]);

/** A scenario file. */
export const scenarioSchema = zod.strictObject({
  /** The guarantee that the scenario checks, in one sentence. */
  promise: name,
  /** What the caller observes, what happens in which order, and why. */
  story: zod.array(name).min(2).max(5),
  /** The example whose teams, tokens and operations are used. */
  example: zod.enum(['addis', 'skyroute']).default('skyroute'),
  /** Fields that override those of `scenarios/site.jsonc`. */
  site: zod.record(zod.string(), zod.unknown()).default({}),
  seed: zod.number().int().default(1),
  leavingBoundMs: positive.default(5_000),
  configBoundMs: positive.default(5_000),
  /** Patches in `scenarios/without/` that must make the scenario fail. */
  without: zod.array(name).default([]),
  steps: zod.array(stepSchema).min(1),
});

/** Validated scenario and its parts. */
export type Scenario = zod.infer<typeof scenarioSchema>;
export type Step = zod.infer<typeof stepSchema>;
export type StepOf<Do extends Step['do']> = Extract<Step, {do: Do}>;
export type Condition = zod.infer<typeof conditionSchema>;
export type EntryRef = zod.infer<typeof entryRef>;
