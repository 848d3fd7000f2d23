/**
 * The upstreams that have a free slot, in no order, so that a few can be
 * drawn at random without a look at all of them.
 */
import type * as upstreamSlots from './upstream_slots.js';

/** An indexed set. */
export interface FreeList {
  readonly size: number;
  /** From 0 up to the size; the order changes with every change. */
  at(index: number): upstreamSlots.UpstreamSlots | undefined;
  /** Takes it in or out, by whether it has a free slot now. */
  refresh(slots: upstreamSlots.UpstreamSlots): void;
}

/** Makes an empty list. */
export function createFreeList(): FreeList {
  const list: upstreamSlots.UpstreamSlots[] = [];
  const indexOf = new Map<upstreamSlots.UpstreamSlots, number>();

  const add = (slots: upstreamSlots.UpstreamSlots) => {
    indexOf.set(slots, list.length);
    list.push(slots);
  };
  /** The last one takes the place that comes free. */
  const remove = (slots: upstreamSlots.UpstreamSlots, index: number) => {
    indexOf.delete(slots);
    const last = list.pop();
    if (last === undefined || last === slots) return;
    list[index] = last;
    indexOf.set(last, index);
  };
  return {
    get size() {
      return list.length;
    },
    at: (index) => list[index],
    refresh: (slots) => {
      const index = indexOf.get(slots);
      const isFree = slots.inFlight < slots.share;
      if (isFree && index === undefined) add(slots);
      if (!isFree && index !== undefined) remove(slots, index);
    },
  };
}
