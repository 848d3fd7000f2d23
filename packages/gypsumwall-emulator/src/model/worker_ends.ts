/** Ends of attempts that a worker reports until they are acknowledged. */
import type * as history from './history.js';

/** An end that hasn't been acknowledged yet. */
export interface ListedEnd extends history.AttemptId {
  /** Starts at 1 in each incarnation of a worker and increases by 1. */
  readonly sequence: number;
  readonly how: history.AttemptEnd;
  readonly checkpoint: string;
}

/** The ends of one incarnation of a worker. */
export interface WorkerEnds {
  add(end: Omit<ListedEnd, 'sequence'>): void;
  /** Removes the ends up to the sequence and returns them. */
  acknowledge(upTo: number): readonly ListedEnd[];
  list(): readonly ListedEnd[];
}

const MAX_LISTED_ENDS = 500;

/** Creates an empty list. */
export function createWorkerEnds(): WorkerEnds {
  let ends: ListedEnd[] = [];
  let sequence = 0;
  return {
    add(end) {
      sequence += 1;
      ends.push({...end, sequence});
    },
    acknowledge(upTo) {
      const acknowledged = ends.filter((end) => end.sequence <= upTo);
      ends = ends.slice(acknowledged.length);
      return acknowledged;
    },
    list: () => ends.slice(0, MAX_LISTED_ENDS),
  };
}
