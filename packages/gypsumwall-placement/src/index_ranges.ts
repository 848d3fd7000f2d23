/**
 * A set of task indexes kept as ranges, so that a job of 100,000 waiting
 * tasks takes a few numbers and not as many objects.
 */

/** Indexes that wait, lowest first. */
export interface IndexRanges {
  size(): number;
  add(index: number): void;
  remove(index: number): void;
  /** The lowest index; undefined when empty. */
  peek(): number | undefined;
  /** Removes and returns the lowest index. */
  take(): number | undefined;
  clear(): void;
}

/** Creates a set with the given indexes. */
export function createIndexRanges(indexes: readonly number[]): IndexRanges {
  /** Pairs of start (included) and end (excluded), descending by start. */
  let bounds: number[] = [];
  let count = 0;
  for (const index of indexes) add(index);

  /** Position of the first pair whose start is at or below `index`. */
  function findPair(index: number): number {
    let low = 0;
    let high = bounds.length / 2;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (bounds[middle * 2]! <= index) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  function add(index: number): void {
    const pair = findPair(index);
    const end = bounds[pair * 2 + 1];
    if (end !== undefined && index < end) return;
    count += 1;
    const joinsBelow = end === index;
    const joinsAbove = pair > 0 && bounds[pair * 2 - 2] === index + 1;
    if (joinsBelow && joinsAbove) {
      bounds[pair * 2 + 1] = bounds[pair * 2 - 1]!;
      bounds.splice(pair * 2 - 2, 2);
    } else if (joinsBelow) bounds[pair * 2 + 1] = index + 1;
    else if (joinsAbove) bounds[pair * 2 - 2] = index;
    else bounds.splice(pair * 2, 0, index, index + 1);
  }

  function remove(index: number): void {
    const pair = findPair(index);
    const start = bounds[pair * 2];
    const end = bounds[pair * 2 + 1];
    if (start === undefined || end === undefined || index >= end) return;
    count -= 1;
    const pieces: number[] = [];
    if (index + 1 < end) pieces.push(index + 1, end);
    if (start < index) pieces.push(start, index);
    bounds.splice(pair * 2, 2, ...pieces);
  }

  return {
    add,
    remove,
    size: () => count,
    peek: () => bounds[bounds.length - 2],
    take() {
      const start = bounds[bounds.length - 2];
      if (start === undefined) return undefined;
      count -= 1;
      bounds[bounds.length - 2] = start + 1;
      if (start + 1 === bounds[bounds.length - 1]) bounds.length -= 2;
      return start;
    },
    clear() {
      bounds = [];
      count = 0;
    },
  };
}
