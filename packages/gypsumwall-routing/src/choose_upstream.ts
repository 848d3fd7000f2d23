/** Which of the upstreams with a free slot takes a request. */
import type * as types from '@gypsumwall/types';
import type * as freeList from './free_list.js';
import type * as router from './router.js';
import type * as upstreamSlots from './upstream_slots.js';

/** What a choice is made from. */
export interface Choice {
  readonly free: freeList.FreeList;
  /** Upstreams that were suspect when last looked at. */
  readonly suspects: ReadonlySet<upstreamSlots.UpstreamSlots>;
  /** How many upstreams this entry has a share of. */
  readonly shared: number;
  readonly req: router.RoutedRequest;
  /** Upstreams that failed this request; taken only if no other is free. */
  readonly avoid: ReadonlySet<upstreamSlots.UpstreamSlots>;
  readonly now: types.clock.MonotonicMs;
  readonly random: types.random.Random;
}

/** Undefined when no slot may be used now. */
export type ChooseUpstream = (
  choice: Choice,
) => upstreamSlots.UpstreamSlots | undefined;

/** How many are drawn; docs/design/003-routing.md has the figures. */
const DRAWN = 16;

/** The choice of the policy. */
export const chooseUpstream = createChooseUpstream(DRAWN);

/**
 * Makes a choice: a due probe first, then the least loaded of `drawn` open
 * upstreams taken at random, then one that failed the request before, and
 * last a suspect one where suspect ones are at least half: then it is more
 * likely that the work is slow than they.
 */
export function createChooseUpstream(drawn: number): ChooseUpstream {
  return (choice) =>
    dueProbe(choice) ??
    leastLoaded(choice, drawn) ??
    anyOf(choice.avoid, (slots) => isFree(slots) && isOpen(choice, slots)) ??
    safeProbe(choice) ??
    lastResort(choice);
}

/** The naive way: any upstream with a free slot, whatever its state. */
export function chooseAtRandom(
  choice: Choice,
): upstreamSlots.UpstreamSlots | undefined {
  const {free, random} = choice;
  if (free.size === 0) return undefined;
  return free.at(random.integer(0, free.size - 1));
}

function leastLoaded(
  choice: Choice,
  drawn: number,
): upstreamSlots.UpstreamSlots | undefined {
  const {free, random} = choice;
  if (free.size === 0) return undefined;
  const first = random.integer(0, free.size - 1);
  let best: upstreamSlots.UpstreamSlots | undefined;
  for (let step = 0; step < free.size; step += 1) {
    if (step >= drawn && best !== undefined) return best;
    const slots = free.at((first + step) % free.size);
    if (slots === undefined || choice.avoid.has(slots)) continue;
    if (!isOpen(choice, slots)) continue;
    if (best === undefined || loadOf(slots) < loadOf(best)) best = slots;
  }
  return best;
}

/**
 * A probe may end unknown, so it is no work for a request that may not be
 * repeated or that has failed once already.
 */
function dueProbe(choice: Choice): upstreamSlots.UpstreamSlots | undefined {
  if (!choice.req.idempotent || choice.avoid.size > 0) return undefined;
  return anyOf(choice.suspects, (slots) => isProbe(choice, slots));
}

/** A probe whose failure most likely proves that nothing ran. */
function safeProbe(choice: Choice): upstreamSlots.UpstreamSlots | undefined {
  return anyOf(
    choice.suspects,
    (slots) => isProbe(choice, slots) && slots.health.probeIsSafe(),
  );
}

function lastResort(choice: Choice): upstreamSlots.UpstreamSlots | undefined {
  if (2 * choice.suspects.size < choice.shared) return undefined;
  return anyOf(
    choice.suspects,
    (slots) => isFree(slots) && slots.health.mode(choice.now) !== 'dead',
  );
}

function anyOf(
  some: ReadonlySet<upstreamSlots.UpstreamSlots>,
  isGood: (slots: upstreamSlots.UpstreamSlots) => boolean,
): upstreamSlots.UpstreamSlots | undefined {
  for (const slots of some) {
    if (isGood(slots)) return slots;
  }
  return undefined;
}

function isProbe(choice: Choice, slots: upstreamSlots.UpstreamSlots): boolean {
  return isFree(slots) && slots.health.mode(choice.now) === 'probe';
}

function isOpen(choice: Choice, slots: upstreamSlots.UpstreamSlots): boolean {
  return slots.health.mode(choice.now) === 'open';
}

function isFree(slots: upstreamSlots.UpstreamSlots): boolean {
  return slots.inFlight < slots.share;
}

function loadOf(slots: upstreamSlots.UpstreamSlots): number {
  return slots.inFlight / slots.share;
}
