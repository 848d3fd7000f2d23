/** A binary heap with the smallest item in the given order on top. */

/** A priority queue. */
export interface BinaryHeap<Item> {
  size(): number;
  peek(): Item | undefined;
  push(item: Item): void;
  pop(): Item | undefined;
  /** Removes the items for which the function returns false, in O(n). */
  retain(wanted: (item: Item) => boolean): void;
}

/**
 * Creates an empty heap. An item's order must not change while it is in the
 * heap.
 */
export function createBinaryHeap<Item>(
  before: (left: Item, right: Item) => boolean,
): BinaryHeap<Item> {
  let items: Item[] = [];

  function siftUp(from: number): void {
    const item = items[from]!;
    let at = from;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!before(item, items[parent]!)) break;
      items[at] = items[parent]!;
      at = parent;
    }
    items[at] = item;
  }

  function siftDown(from: number): void {
    const item = items[from]!;
    let at = from;
    for (;;) {
      let child = at * 2 + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (right < items.length && before(items[right]!, items[child]!)) {
        child = right;
      }
      if (!before(items[child]!, item)) break;
      items[at] = items[child]!;
      at = child;
    }
    items[at] = item;
  }

  return {
    size: () => items.length,
    peek: () => items[0],
    push(item) {
      items.push(item);
      siftUp(items.length - 1);
    },
    pop() {
      const top = items[0];
      const last = items.pop();
      if (items.length > 0 && last !== undefined) {
        items[0] = last;
        siftDown(0);
      }
      return top;
    },
    retain(wanted) {
      items = items.filter(wanted);
      for (let at = (items.length >> 1) - 1; at >= 0; at -= 1) siftDown(at);
    },
  };
}
