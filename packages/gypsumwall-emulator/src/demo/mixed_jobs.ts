/** The demo's jobs. */
import * as types from '@gypsumwall/types';
import type * as jobCatalog from '../model/job_catalog.js';

/** Kinds of jobs: short, gang and long-running ones. */
export type JobKind = 'short' | 'gang' | 'lasting';

/** All kinds, in the order in which reports list them. */
export const KINDS: readonly JobKind[] = ['short', 'gang', 'lasting'];

/** Creates jobs whose ids are derived from a seed. */
export interface MixedJobs {
  make(kind: JobKind): jobCatalog.JobSpec;
  kindOf(jobId: string): JobKind | undefined;
}

const ID_DIGITS = 16;
const MAX_HEX_DIGIT = 15;
const DEFAULT_STEP = {
  after: [],
  gang: false,
  lasting: false,
  savesProgress: false,
} satisfies Partial<jobCatalog.StepSpec>;

const QUEUE_BY_KIND: Readonly<Record<JobKind, string>> = {
  short: 'checks',
  gang: 'plans',
  lasting: 'services',
};

/** Number of tasks of a long-running job. */
export const LONG_RUNNING_TASK_COUNT = 4;

const STEPS_BY_KIND: Readonly<Record<JobKind, readonly jobCatalog.StepSpec[]>> =
  {
    short: [
      {...DEFAULT_STEP, taskCount: 2, size: makeSize(1_000, 512), workMs: 300},
      {
        ...DEFAULT_STEP,
        taskCount: 1,
        size: makeSize(500, 256),
        workMs: 150,
        after: [0],
      },
    ],
    gang: [
      {
        ...DEFAULT_STEP,
        taskCount: 12,
        // Two workers have capacity for the whole gang beside other work,
        // because the adviser may refuse most of the other workers.
        size: makeSize(1_500, 2_048),
        workMs: 2_500,
        gang: true,
        savesProgress: true,
      },
    ],
    lasting: [
      {
        ...DEFAULT_STEP,
        taskCount: LONG_RUNNING_TASK_COUNT,
        size: makeSize(2_000, 1_024),
        workMs: 0,
        lasting: true,
      },
    ],
  };

function makeSize(
  cpuMillis: number,
  memoryMb: number,
): types.resources.Resources {
  return {cpuMillis, memoryMb, accelerators: 0};
}

/** Creates a generator of jobs that belong to the organisations in turn. */
export function createMixedJobs(
  seed: number,
  organisations: readonly string[] = [],
): MixedJobs {
  let made = 0;
  const kinds = new Map<string, JobKind>();
  // Each kind has its own generator, so that the id of its nth job doesn't
  // depend on when jobs of other kinds are created.
  const randoms = {
    short: types.random.createRandom(KINDS.length * seed),
    gang: types.random.createRandom(KINDS.length * seed + 1),
    lasting: types.random.createRandom(KINDS.length * seed + 2),
  };

  function drawId(random: types.random.Random): string {
    const digit = () => random.integer(0, MAX_HEX_DIGIT).toString(16);
    return Array.from({length: ID_DIGITS}, digit).join('');
  }

  return {
    kindOf: (jobId) => kinds.get(jobId),
    make(kind) {
      const jobId = drawId(randoms[kind]);
      kinds.set(jobId, kind);
      const payload = `${kind} ${jobId}`;
      const organisation = organisations[made++ % organisations.length];
      return {
        jobId,
        queue: QUEUE_BY_KIND[kind],
        ...(organisation !== undefined && {organisation}),
        payload,
        steps: STEPS_BY_KIND[kind],
      };
    },
  };
}
