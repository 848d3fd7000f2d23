/**
 * All metrics, by their names in code. docs/METRICS.md has the same table; a
 * test compares the two.
 */

/** Type of a metric. */
export type MetricKind = 'counter' | 'gauge' | 'histogram';

/** Definition of one metric. */
export interface MetricDefinition {
  readonly kind: MetricKind;
  /** Name on the wire, without the prefix `gypsumwall.`. */
  readonly name: string;
  readonly unit: string;
  /**
   * Names of the tags. Each must have few possible values, so that callers
   * can't create an unbounded number of time series.
   */
  readonly tags: readonly string[];
  readonly meaning: string;
}

/** Prefix of all names on the wire. */
export const METRIC_PREFIX = 'gypsumwall.';

/** All metrics. */
export const METRICS = {
  requests: {
    kind: 'counter',
    name: 'requests',
    unit: 'requests',
    tags: ['operation', 'outcome'],
    meaning: 'Requests answered, by outcome.',
  },
  requestTime: {
    kind: 'histogram',
    name: 'request.time',
    unit: 'ms',
    tags: ['operation', 'outcome'],
    meaning: 'From the arrival of a request to the end of its answer.',
  },
  requestsQueued: {
    kind: 'gauge',
    name: 'requests.queued',
    unit: 'requests',
    tags: [],
    meaning: 'Requests that wait for an upstream now.',
  },
  upstreamTries: {
    kind: 'counter',
    name: 'upstream.tries',
    unit: 'tries',
    tags: ['outcome'],
    meaning: 'Tries sent to upstreams; over requests, the amplification.',
  },
  upstreamSlots: {
    kind: 'gauge',
    name: 'upstream.slots',
    unit: 'slots',
    tags: ['state'],
    meaning: 'Upstream slots of this entry, by state: used or share.',
  },
  taskStarts: {
    kind: 'counter',
    name: 'task.starts',
    unit: 'tasks',
    tags: ['outcome'],
    meaning: 'Starts sent to workers: started, refused or unknown.',
  },
  taskWait: {
    kind: 'histogram',
    name: 'task.wait',
    unit: 'ms',
    tags: ['urgency'],
    meaning: 'From the acceptance of a task to its start at a worker.',
  },
  tasks: {
    kind: 'gauge',
    name: 'tasks',
    unit: 'tasks',
    tags: ['state'],
    meaning: 'Tasks of this failure domain, by state: queued or running.',
  },
  placementTime: {
    kind: 'histogram',
    name: 'placement.time',
    unit: 'ms',
    tags: [],
    meaning: 'Time that one placement decision took.',
  },
  logAppends: {
    kind: 'counter',
    name: 'log.appends',
    unit: 'appends',
    tags: ['stream', 'outcome'],
    meaning: 'Appends to the log, by kind of stream and outcome.',
  },
  logAppendTime: {
    kind: 'histogram',
    name: 'log.append.time',
    unit: 'ms',
    tags: ['stream'],
    meaning: 'Time that an append to the log took.',
  },
  settingsOffset: {
    kind: 'gauge',
    name: 'settings.offset',
    unit: 'offset',
    tags: [],
    meaning: 'Highest offset of the settings that is in force here.',
  },
  listAge: {
    kind: 'gauge',
    name: 'list.age',
    unit: 'ms',
    tags: [],
    meaning: 'Time since the instance list was last read.',
  },
  peers: {
    kind: 'gauge',
    name: 'peers',
    unit: 'entries',
    tags: ['state'],
    meaning: 'Other entries, by state: heard or silent.',
  },
  claimHeld: {
    kind: 'gauge',
    name: 'claim.held',
    unit: 'claims',
    tags: [],
    meaning: '1 while this entry holds the claim of its failure domain.',
  },
} as const satisfies Record<string, MetricDefinition>;

/** Name in code of any metric. */
export type MetricName = keyof typeof METRICS;

/** Names in code of the metrics of one kind. */
export type MetricOf<Kind extends MetricKind> = {
  [Name in MetricName]: (typeof METRICS)[Name]['kind'] extends Kind
    ? Name
    : never;
}[MetricName];

/** Tags that a metric may carry. */
export type TagsOf<Name extends MetricName> = {
  readonly [Tag in (typeof METRICS)[Name]['tags'][number]]?: string;
};
