/**
 * The upstreams that have a free slot, in no particular order, so that some can
 * be sampled at random without examining all upstreams.
 */
import type * as upstreamState from './upstream_state.js';

/** A set of upstreams with access by index. */
export interface FreeUpstreams {
  readonly size: number;
  /**
   * Returns the upstream at an index from 0 to below the size. Any change of
   * the set may reorder it.
   */
  at(index: number): upstreamState.UpstreamState | undefined;
  /** Adds or removes an upstream, depending on whether it has a free slot. */
  update(upstream: upstreamState.UpstreamState): void;
}

/** Creates an empty set. */
export function createFreeUpstreams(): FreeUpstreams {
  const list: upstreamState.UpstreamState[] = [];
  const indexOf = new Map<upstreamState.UpstreamState, number>();

  const add = (upstream: upstreamState.UpstreamState) => {
    indexOf.set(upstream, list.length);
    list.push(upstream);
  };
  /** Moves the last upstream to the index that becomes free. */
  const remove = (upstream: upstreamState.UpstreamState, index: number) => {
    indexOf.delete(upstream);
    const last = list.pop();
    if (last === undefined || last === upstream) return;
    list[index] = last;
    indexOf.set(last, index);
  };
  return {
    get size() {
      return list.length;
    },
    at: (index) => list[index],
    update: (upstream) => {
      const index = indexOf.get(upstream);
      const isFree = upstream.inFlight < upstream.share;
      if (isFree && index === undefined) add(upstream);
      if (!isFree && index !== undefined) remove(upstream, index);
    },
  };
}
