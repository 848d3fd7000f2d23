/** Chooses an upstream with a free slot for a request. */
import type * as types from '@gypsumwall/types';
import type * as freeUpstreams from './free_upstreams.js';
import type * as router from './router.js';
import type * as upstreamState from './upstream_state.js';

/** The state that the choice is based on. */
export interface ChoiceInput {
  readonly free: freeUpstreams.FreeUpstreams;
  /** The upstreams that were suspect when last checked. */
  readonly suspects: ReadonlySet<upstreamState.UpstreamState>;
  /** The number of upstreams of which this entry has a share. */
  readonly sharedUpstreams: number;
  readonly req: router.RoutedRequest;
  /**
   * The upstreams that failed this request; chosen only if no other is free.
   */
  readonly avoid: ReadonlySet<upstreamState.UpstreamState>;
  readonly now: types.clock.MonotonicMs;
  readonly random: types.random.Random;
}

/** Returns undefined if no slot may be used now. */
export type ChooseUpstream = (
  choice: ChoiceInput,
) => upstreamState.UpstreamState | undefined;

/**
 * The number of upstreams sampled; docs/design/003-routing.md has the
 * measurements.
 */
const SAMPLE_SIZE = 16;

/** The choice that the routing policy uses. */
export const chooseUpstream = createChooseUpstream(SAMPLE_SIZE);

/**
 * Creates a choice that tries in this order: a suspect upstream that is due for
 * a probe; the least loaded of `sampleSize` open upstreams sampled at random;
 * an open upstream that failed the request before; a probe whose failure is
 * safe; and a suspect upstream if at least half of all are suspect, since then
 * the requests are more likely to be slow than the upstreams.
 */
export function createChooseUpstream(sampleSize: number): ChooseUpstream {
  return (choice) =>
    findDueProbe(choice) ??
    findLeastLoaded(choice, sampleSize) ??
    findFirst(
      choice.avoid,
      (upstream) => isFree(upstream) && isOpen(choice, upstream),
    ) ??
    findSafeProbe(choice) ??
    findSuspectFallback(choice);
}

/** The baseline's choice: a random upstream with a free slot, in any state. */
export function chooseAtRandom(
  choice: ChoiceInput,
): upstreamState.UpstreamState | undefined {
  const {free, random} = choice;
  if (free.size === 0) return undefined;
  return free.at(random.integer(0, free.size - 1));
}

function findLeastLoaded(
  choice: ChoiceInput,
  sampleSize: number,
): upstreamState.UpstreamState | undefined {
  const {free, random} = choice;
  if (free.size === 0) return undefined;
  const first = random.integer(0, free.size - 1);
  let best: upstreamState.UpstreamState | undefined;
  for (let step = 0; step < free.size; step += 1) {
    if (step >= sampleSize && best !== undefined) return best;
    const upstream = free.at((first + step) % free.size);
    if (upstream === undefined || choice.avoid.has(upstream)) continue;
    if (!isOpen(choice, upstream)) continue;
    if (best === undefined || loadOf(upstream) < loadOf(best)) best = upstream;
  }
  return best;
}

/**
 * A probe may end with an unknown outcome, so requests that aren't idempotent
 * or have failed once are not used as probes.
 */
function findDueProbe(
  choice: ChoiceInput,
): upstreamState.UpstreamState | undefined {
  if (!choice.req.idempotent || choice.avoid.size > 0) return undefined;
  return findFirst(choice.suspects, (upstream) => isProbeDue(choice, upstream));
}

/** A probe whose failure most likely proves that the request didn't run. */
function findSafeProbe(
  choice: ChoiceInput,
): upstreamState.UpstreamState | undefined {
  return findFirst(
    choice.suspects,
    (upstream) => isProbeDue(choice, upstream) && upstream.health.isProbeSafe(),
  );
}

function findSuspectFallback(
  choice: ChoiceInput,
): upstreamState.UpstreamState | undefined {
  if (2 * choice.suspects.size < choice.sharedUpstreams) return undefined;
  return findFirst(
    choice.suspects,
    (upstream) =>
      isFree(upstream) && upstream.health.mode(choice.now) !== 'dead',
  );
}

function findFirst(
  upstreams: ReadonlySet<upstreamState.UpstreamState>,
  isEligible: (upstream: upstreamState.UpstreamState) => boolean,
): upstreamState.UpstreamState | undefined {
  for (const upstream of upstreams) {
    if (isEligible(upstream)) return upstream;
  }
  return undefined;
}

function isProbeDue(
  choice: ChoiceInput,
  upstream: upstreamState.UpstreamState,
): boolean {
  return isFree(upstream) && upstream.health.mode(choice.now) === 'probe';
}

function isOpen(
  choice: ChoiceInput,
  upstream: upstreamState.UpstreamState,
): boolean {
  return upstream.health.mode(choice.now) === 'open';
}

function isFree(upstream: upstreamState.UpstreamState): boolean {
  return upstream.inFlight < upstream.share;
}

function loadOf(upstream: upstreamState.UpstreamState): number {
  return upstream.inFlight / upstream.share;
}
