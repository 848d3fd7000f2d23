/**
 * The upstreams in this entry's view, its share of each, its requests in flight
 * there, and the choice of the upstream for the next request.
 */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';
import * as chooseUpstream from './choose_upstream.js';
import * as freeUpstreams from './free_upstreams.js';
import type * as router from './router.js';
import type * as routerOptions from './router_options.js';
import * as slotShares from './slot_shares.js';
import * as upstreamHealth from './upstream_health.js';
import type * as upstreamState from './upstream_state.js';

/** The upstreams of the failure domain. */
export interface UpstreamTable {
  setView(view: router.RouterView): void;
  /**
   * Takes a slot for a request; an upstream in `avoid` is used only if no other
   * is available. Returns undefined if no slot may be used now.
   */
  acquireSlot(
    req: router.RoutedRequest,
    avoid: ReadonlySet<upstreamState.UpstreamState>,
  ): upstreamState.UpstreamState | undefined;
  /** Releases a slot; removes the upstream if it is unlisted and now unused. */
  releaseSlot(upstream: upstreamState.UpstreamState): void;
  /** Must be called after the health of an upstream was updated. */
  onHealthUpdate(upstream: upstreamState.UpstreamState): void;
  /** The number of this entry's slots at upstreams that aren't suspect. */
  reliableSlots(): number;
  /** Whether this entry has a share of any upstream. */
  hasShare(): boolean;
  status(): router.RouterStatus['upstreams'];
  close(): Promise<void>;
}

/** Creates an empty table. */
export function createUpstreamTable(
  options: routerOptions.RouterOptions,
  requestBoundMs: number,
  choose: chooseUpstream.ChooseUpstream,
): UpstreamTable {
  const {clock, random} = options;
  const shares = slotShares.createSlotShares({
    entryId: options.entryId,
    listLagMs: options.listLagMs,
    requestBoundMs,
  });
  const upstreamsById = new Map<string, upstreamState.UpstreamState>();
  const free = freeUpstreams.createFreeUpstreams();
  const suspects = new Set<upstreamState.UpstreamState>();
  let sharedUpstreams = 0;
  let sharedSlots = 0;

  const removeIfUnused = (upstream: upstreamState.UpstreamState) => {
    if (upstream.isListed || upstream.inFlight > 0) return;
    // The id may be listed again with another address, as another object.
    if (upstreamsById.get(upstream.id) === upstream)
      upstreamsById.delete(upstream.id);
    suspects.delete(upstream);
    void upstream.client.close();
  };
  const updateUpstream = (listed: platform.instanceList.ListedUpstream) => {
    const connections = shares.shareOf(listed.id, listed.connections);
    const existing = upstreamsById.get(listed.id);
    const hasMoved = existing?.address !== listed.address;
    const upstream = hasMoved ? createUpstreamState(options, listed) : existing;
    // Requests in flight at the old address are left to end.
    if (existing !== undefined && hasMoved) removeIfUnused(existing);
    upstreamsById.set(listed.id, upstream);
    upstream.isListed = true;
    upstream.isLeaving = listed.state === 'leaving';
    upstream.share = upstream.isLeaving
      ? 0
      : shares.shareOf(listed.id, listed.slots);
    if (upstream.connections === connections) return;
    upstream.connections = connections;
    upstream.client.setMaxConnections(connections);
  };
  const markUnlisted = (upstream: upstreamState.UpstreamState) => {
    upstream.isListed = false;
    upstream.isLeaving = true;
    upstream.share = 0;
  };
  const recomputeShares = () => {
    sharedUpstreams = 0;
    sharedSlots = 0;
    for (const upstream of upstreamsById.values()) {
      free.update(upstream);
      if (upstream.share > 0) sharedUpstreams += 1;
      sharedSlots += upstream.share;
    }
  };
  const removeClearedSuspects = (now: types.clock.MonotonicMs) => {
    for (const upstream of suspects) {
      const isCleared = upstream.health.mode(now) === 'open';
      if (isCleared || upstream.share === 0) suspects.delete(upstream);
    }
  };

  return {
    setView: (view) => {
      shares.observe(view.entries, clock.monotonic());
      for (const upstream of upstreamsById.values()) markUnlisted(upstream);
      view.upstreams.forEach(updateUpstream);
      recomputeShares();
      for (const upstream of upstreamsById.values()) removeIfUnused(upstream);
    },
    acquireSlot: (req, avoid) => {
      const now = clock.monotonic();
      if (shares.isStale(now)) return undefined;
      removeClearedSuspects(now);
      const upstream = choose({
        free,
        suspects,
        sharedUpstreams,
        req,
        avoid,
        now,
        random,
      });
      if (upstream === undefined) return undefined;
      if (upstream.health.mode(now) === 'probe')
        upstream.health.onProbeSent(now);
      upstream.inFlight += 1;
      free.update(upstream);
      return upstream;
    },
    releaseSlot: (upstream) => {
      upstream.inFlight -= 1;
      free.update(upstream);
      removeIfUnused(upstream);
    },
    onHealthUpdate: (upstream) => {
      const isSuspect = upstream.health.mode(clock.monotonic()) !== 'open';
      if (isSuspect && upstream.share > 0) suspects.add(upstream);
    },
    reliableSlots: () => {
      removeClearedSuspects(clock.monotonic());
      let slots = sharedSlots;
      for (const suspect of suspects) slots -= suspect.share;
      return slots;
    },
    hasShare: () => sharedUpstreams > 0,
    status: () =>
      [...upstreamsById.values()].map((upstream) => statusOf(upstream, clock)),
    close: async () => {
      await Promise.all(
        [...upstreamsById.values()].map((one) => one.client.close()),
      );
      upstreamsById.clear();
    },
  };
}

function createUpstreamState(
  options: routerOptions.RouterOptions,
  listed: platform.instanceList.ListedUpstream,
): upstreamState.UpstreamState {
  return {
    id: listed.id,
    address: listed.address,
    client: options.makeUpstream(listed, 0),
    health: upstreamHealth.createUpstreamHealth(options.random),
    share: 0,
    connections: 0,
    inFlight: 0,
    isLeaving: false,
    isListed: true,
  };
}

function statusOf(
  upstream: upstreamState.UpstreamState,
  clock: types.clock.Clock,
): router.RouterStatus['upstreams'][number] {
  const {id, share, inFlight} = upstream;
  if (upstream.isLeaving) return {id, share, inFlight, state: 'leaving'};
  const isOpen = upstream.health.mode(clock.monotonic()) === 'open';
  return {id, share, inFlight, state: isOpen ? 'open' : 'suspect'};
}
