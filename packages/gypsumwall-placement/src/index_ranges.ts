/**
 * A set of task indexes stored as ranges, so that a job of 100,000 waiting
 * tasks takes a few numbers instead of as many objects. It is plain data with
 * functions instead of closures, because there is one set for each waiting job
 * and its closures would take more memory than the rest of the job.
 */

/** A set of indexes. */
export interface IndexRanges {
  /** Pairs of start (included) and end (excluded), descending by start. */
  readonly bounds: number[];
  size: number;
}

export function createIndexRanges(): IndexRanges {
  return {bounds: [], size: 0};
}

/** Adds an index, which may be in the set already. */
export function add(ranges: IndexRanges, index: number): void {
  const {bounds} = ranges;
  const pair = findPair(bounds, index);
  const end = bounds[pair * 2 + 1];
  if (end !== undefined && index < end) return;
  ranges.size += 1;
  const joinsBelow = end === index;
  const joinsAbove = pair > 0 && bounds[pair * 2 - 2] === index + 1;
  if (joinsBelow && joinsAbove) {
    bounds[pair * 2 + 1] = bounds[pair * 2 - 1]!;
    bounds.splice(pair * 2 - 2, 2);
  } else if (joinsBelow) bounds[pair * 2 + 1] = index + 1;
  else if (joinsAbove) bounds[pair * 2 - 2] = index;
  else bounds.splice(pair * 2, 0, index, index + 1);
}

/** Removes an index, which may be missing from the set. */
export function remove(ranges: IndexRanges, index: number): void {
  const {bounds} = ranges;
  const pair = findPair(bounds, index);
  const start = bounds[pair * 2];
  const end = bounds[pair * 2 + 1];
  if (start === undefined || end === undefined || index >= end) return;
  ranges.size -= 1;
  const pieces: number[] = [];
  if (index + 1 < end) pieces.push(index + 1, end);
  if (start < index) pieces.push(start, index);
  bounds.splice(pair * 2, 2, ...pieces);
}

/** The lowest index; undefined if the set is empty. */
export function lowest(ranges: IndexRanges): number | undefined {
  return ranges.bounds[ranges.bounds.length - 2];
}

export function clear(ranges: IndexRanges): void {
  ranges.bounds.length = 0;
  ranges.size = 0;
}

/** The position of the first pair whose start is at or below `index`. */
function findPair(bounds: readonly number[], index: number): number {
  let low = 0;
  let high = bounds.length / 2;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (bounds[middle * 2]! <= index) high = middle;
    else low = middle + 1;
  }
  return low;
}
