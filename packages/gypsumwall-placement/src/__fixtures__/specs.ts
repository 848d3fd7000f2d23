/** Short ways to make workers, teams and jobs in tests. */
import * as types from '@gypsumwall/types';
import type * as placer from '../placer.js';

/** A moment of the virtual wall clock. */
export function at(ms: number): types.clock.WallMs {
  return ms as types.clock.WallMs;
}

/** Whole cores, mebibytes and accelerators. */
export function room(
  cores: number,
  memoryMb = cores * 1024,
  accelerators = 0,
): types.resources.Resources {
  return {cpuMillis: cores * 1000, memoryMb, accelerators};
}

/** Worker number `n`; eight to a rack. */
export function worker(
  n: number,
  capacity = room(8, 32_768),
): placer.PlacerWorker {
  return {
    id: types.ids.brand(`worker-${n}`),
    rack: types.ids.brand(`rack-${Math.floor(n / 8)}`),
    capacity,
  };
}

/** A team with a wide quota. */
export function team(
  name: string,
  fields: Partial<placer.PlacerTeam> = {},
): placer.PlacerTeam {
  return {
    id: types.ids.brand(name),
    weight: 1,
    quota: room(1e6, 1e9, 1e6),
    packing: 0.5,
    ...fields,
  };
}

/** A job of one-core tasks. */
export function spec(
  fields: Partial<types.job.JobSpec> = {},
): types.job.JobSpec {
  return {
    team: types.ids.brand('plans'),
    shape: {kind: 'batch', tasks: 1},
    jobClass: 'plan',
    urgency: 'normal',
    size: room(1),
    estimateMs: 1000,
    work: {command: 'run', args: {}},
    ...fields,
  };
}

/** Every task of a job, waiting. */
export function queued(
  name: string,
  jobSpec = spec(),
  acceptedAt = 0,
): placer.QueuedJob {
  const count = types.job.maxTaskCount(jobSpec.shape);
  return {
    jobId: types.ids.brand(name),
    spec: jobSpec,
    acceptedAt: at(acceptedAt),
    waiting: Array.from({length: count}, (_, index) => index),
  };
}
