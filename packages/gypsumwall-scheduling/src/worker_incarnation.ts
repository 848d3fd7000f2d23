/**
 * Incarnations of workers. A worker may start again under the id that it had;
 * the moment of its start tells its incarnations apart. Workers and records of
 * an older build don't give that moment.
 */
import * as types from '@gypsumwall/types';

/** One life of a worker. */
export interface Incarnation {
  readonly id: types.ids.WorkerId;
  /**
   * Start of this life on the worker's own wall clock, in milliseconds since
   * 1970; undefined if it isn't known.
   */
  readonly bornMs?: number;
}

/** How the start of one life relates to that of another one of the same id. */
export type Succession =
  /** The same life, or one of both isn't known. */
  'same' | 'later' | 'earlier';

/** Compares what another source says of a worker with what is known. */
export function compareBirth(
  {bornMs}: Incarnation,
  otherBornMs: number | undefined,
): Succession {
  if (bornMs === undefined || otherBornMs === undefined) return 'same';
  if (otherBornMs === bornMs) return 'same';
  return otherBornMs > bornMs ? 'later' : 'earlier';
}

/**
 * Key of an incarnation in stored records; the plain id if its start isn't
 * known, as in records of an older build.
 */
export function keyOf({id, bornMs}: Incarnation): types.ids.WorkerIncarnation {
  return types.ids.brand(bornMs === undefined ? id : `${id}@${bornMs}`);
}
