/**
 * The numbers of the occurrences of a job that are done, as ranges. Occurrences
 * open in order, so that there are at most as many gaps as open occurrences,
 * however many are done.
 */
import type * as jobProgress from './job_progress.js';
import * as jobRequest from './job_request.js';

/**
 * Up to this many numbers are stored one by one. Builds that don't read ranges
 * would start all occurrences again.
 */
export const MAX_LISTED = 10_000;
/** The record of a longer list may be larger than what the store takes. */
export const MAX_STORED_LIST = 100_000;

/** The occurrences of a job that are done. */
export interface FinishedOccurrences {
  size(): number;
  has(number: number): boolean;
  add(number: number): void;
  /** The lowest number from this one on that is not done. */
  nextOpen(from: number): number;
  ranges(): readonly jobProgress.NumberRange[];
}

type StoredFinished = Pick<
  jobProgress.JobProgress,
  'finished' | 'finishedRanges'
>;

/** Creates the set from its stored form. */
export function createFinishedOccurrences({
  finished,
  finishedRanges = [],
}: StoredFinished): FinishedOccurrences {
  const isNumber = (number: number) =>
    number >= 0 && number < jobRequest.MAX_OCCURRENCES;
  const listed = finished.filter(isNumber);
  const ranges = merge([
    ...finishedRanges,
    ...listed.map((number): jobProgress.NumberRange => [number, number]),
  ]);
  let size = 0;
  for (const [first, last] of ranges) size += last - first + 1;

  /** Position of the first range that ends at this number or behind it. */
  function positionOf(number: number): number {
    let low = 0;
    let high = ranges.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (ranges[middle]![1] < number) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  function has(number: number): boolean {
    const range = ranges[positionOf(number)];
    return range !== undefined && range[0] <= number;
  }

  return {
    size: () => size,
    has,
    add(number) {
      if (has(number)) return;
      const position = positionOf(number);
      const before = ranges[position - 1];
      const after = ranges[position];
      const joinsBefore = before?.[1] === number - 1;
      const joinsAfter = after?.[0] === number + 1;
      ranges.splice(
        joinsBefore ? position - 1 : position,
        Number(joinsBefore) + Number(joinsAfter),
        [joinsBefore ? before[0] : number, joinsAfter ? after[1] : number],
      );
      size++;
    },
    nextOpen(from) {
      const range = ranges[positionOf(from)];
      return range !== undefined && range[0] <= from ? range[1] + 1 : from;
    },
    ranges: () => ranges,
  };
}

/** Returns the form that is stored: a list, or ranges of a long one. */
export function storedForm(
  finished: FinishedOccurrences,
  canStoreRanges: boolean,
): StoredFinished {
  const ranges = finished.ranges();
  if (finished.size() > (canStoreRanges ? MAX_LISTED : MAX_STORED_LIST))
    return {finished: [], finishedRanges: [...ranges]};
  const listed: number[] = [];
  for (const [first, last] of ranges) {
    for (let number = first; number <= last; number++) listed.push(number);
  }
  return {finished: listed};
}

/** Sorts ranges and joins those that touch. */
function merge(ranges: jobProgress.NumberRange[]): jobProgress.NumberRange[] {
  ranges.sort(([left], [right]) => left - right);
  const merged: jobProgress.NumberRange[] = [];
  for (const [first, last] of ranges) {
    const before = merged.at(-1);
    if (before !== undefined && first <= before[1] + 1)
      merged[merged.length - 1] = [before[0], Math.max(before[1], last)];
    else merged.push([first, last]);
  }
  return merged;
}
