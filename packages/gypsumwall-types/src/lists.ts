/**
 * Operations on lists of any length. Spreading a list into the arguments of a
 * call fails with a RangeError once they don't fit on the stack.
 */

/** Appends all items to a list. */
export function append<Item>(list: Item[], items: Iterable<Item>): void {
  for (const item of items) list.push(item);
}

/** The largest value; -Infinity without any. */
export function maxOf(values: Iterable<number>): number {
  let max = -Infinity;
  for (const value of values) max = Math.max(max, value);
  return max;
}

/** The smallest value; Infinity without any. */
export function minOf(values: Iterable<number>): number {
  let min = Infinity;
  for (const value of values) min = Math.min(min, value);
  return min;
}
