/** Which of the upstreams with a free slot takes a request. */
import type * as types from '@gypsumwall/types';
import type * as router from './router.js';
import type * as upstreamHealth from './upstream_health.js';
import type * as upstreamTable from './upstream_table.js';

/** What a choice is made from. */
export interface Choice {
  readonly table: ReadonlyMap<string, upstreamTable.UpstreamSlots>;
  readonly req: router.RoutedRequest;
  /** Upstreams that failed this request; taken only if no other is free. */
  readonly avoid: ReadonlySet<upstreamTable.UpstreamSlots>;
  readonly now: types.clock.MonotonicMs;
  readonly random: types.random.Random;
}

/** Undefined when no slot may be used now. */
export type ChooseUpstream = (
  choice: Choice,
) => upstreamTable.UpstreamSlots | undefined;

/**
 * Due probes first, then the open upstream with the least in flight for its
 * share, equal ones at random. Suspect upstreams come in only when they are
 * at least half: then it is more likely that the work is slow than they.
 */
export function chooseLeastLoaded(
  choice: Choice,
): upstreamTable.UpstreamSlots | undefined {
  const {now, random} = choice;
  let usable = 0;
  let open = 0;
  let best: upstreamTable.UpstreamSlots | undefined;
  let bestLoad = Infinity;
  let lastResort: upstreamTable.UpstreamSlots | undefined;
  for (const slots of choice.table.values()) {
    if (slots.share === 0) continue;
    const mode = slots.health.mode(now);
    usable += 1;
    if (mode === 'open') open += 1;
    if (slots.inFlight >= slots.share) continue;
    if (mode === 'suspect' || mode === 'probe') lastResort ??= slots;
    const load = loadOf(choice, slots, mode);
    if (load > bestLoad || load === Infinity) continue;
    // A random tie-break keeps all entries off the same first upstream.
    if (load === bestLoad && random.next() < 0.5) continue;
    best = slots;
    bestLoad = load;
  }
  return best ?? (2 * open <= usable ? lastResort : undefined);
}

const AVOIDED_LOAD = 1;
const PROBE_LOAD = -1;
const SAFE_PROBE_LOAD = 3;

/** Lower goes first; infinite when it may not be used. */
function loadOf(
  choice: Choice,
  slots: upstreamTable.UpstreamSlots,
  mode: upstreamHealth.UpstreamMode,
): number {
  const load = slots.inFlight / slots.share;
  switch (mode) {
    case 'open':
      return choice.avoid.has(slots) ? AVOIDED_LOAD + load : load;
    case 'probe':
      return probeLoad(choice, slots);
    case 'suspect':
    case 'dead':
      return Infinity;
  }
}

/**
 * A probe may end unknown: one that may not be repeated, or that failed once
 * already, is sent as a probe only where a failure most likely proves that it
 * did not run, and only for want of an open upstream.
 */
function probeLoad(choice: Choice, slots: upstreamTable.UpstreamSlots): number {
  if (choice.req.idempotent && choice.avoid.size === 0) return PROBE_LOAD;
  return slots.health.probeIsSafe() ? SAFE_PROBE_LOAD : Infinity;
}

/** The naive way: any upstream with a free slot, whatever its state. */
export function chooseAtRandom(
  choice: Choice,
): upstreamTable.UpstreamSlots | undefined {
  const free = [...choice.table.values()].filter(
    (slots) => slots.inFlight < slots.share,
  );
  if (free.length === 0) return undefined;
  return free[choice.random.integer(0, free.length - 1)];
}

/** The less loaded of two open upstreams drawn at random; to be compared. */
export function chooseOfTwo(
  choice: Choice,
): upstreamTable.UpstreamSlots | undefined {
  const free = [...choice.table.values()].filter(
    (slots) =>
      slots.inFlight < slots.share &&
      slots.health.mode(choice.now) === 'open' &&
      !choice.avoid.has(slots),
  );
  if (free.length < 2) return chooseLeastLoaded(choice);
  const one = free[choice.random.integer(0, free.length - 1)];
  const two = free[choice.random.integer(0, free.length - 1)];
  if (one === undefined || two === undefined) return one;
  return one.inFlight / one.share <= two.inFlight / two.share ? one : two;
}
