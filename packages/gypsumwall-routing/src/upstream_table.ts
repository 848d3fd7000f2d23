/**
 * The upstreams that this entry knows of: its share of each, what it has in
 * flight there, and which one takes the next request.
 */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';
import * as chooseUpstream from './choose_upstream.js';
import * as freeList from './free_list.js';
import type * as router from './router.js';
import type * as routerOptions from './router_options.js';
import * as slotShares from './slot_shares.js';
import * as upstreamHealth from './upstream_health.js';
import type * as upstreamSlots from './upstream_slots.js';

/** All upstreams of the failure domain. */
export interface UpstreamTable {
  setView(view: router.RouterView): void;
  /**
   * Takes a slot for a request, if need be at one of those to `avoid`;
   * undefined when none is free or the view is too old.
   */
  take(
    req: router.RoutedRequest,
    avoid: ReadonlySet<upstreamSlots.UpstreamSlots>,
  ): upstreamSlots.UpstreamSlots | undefined;
  /** Gives a slot back and forgets an upstream that is gone. */
  release(slots: upstreamSlots.UpstreamSlots): void;
  /** To be called after a fault of the upstream. */
  noteFault(slots: upstreamSlots.UpstreamSlots): void;
  /** Slots of this entry at upstreams that can be relied on. */
  reliableSlots(): number;
  /** Whether this entry has any share at all. */
  hasShare(): boolean;
  status(): router.RouterStatus['upstreams'];
  close(): Promise<void>;
}

/** Makes an empty table. */
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
  const table = new Map<string, upstreamSlots.UpstreamSlots>();
  const free = freeList.createFreeList();
  const suspects = new Set<upstreamSlots.UpstreamSlots>();
  let shared = 0;
  let sharedSlots = 0;

  const forgetIfGone = (slots: upstreamSlots.UpstreamSlots) => {
    if (slots.listed || slots.inFlight > 0) return;
    // It may be listed anew under its old id, as another object.
    if (table.get(slots.id) === slots) table.delete(slots.id);
    suspects.delete(slots);
    void slots.client.close();
  };
  const update = (listed: platform.instanceList.ListedUpstream) => {
    const connections = shares.shareOf(listed.id, listed.connections);
    const known = table.get(listed.id);
    const moved = known?.address !== listed.address;
    const slots = moved ? makeSlots(options, listed) : known;
    // What is still in flight at an old address ends there by itself.
    if (known !== undefined && moved) forgetIfGone(known);
    table.set(listed.id, slots);
    slots.listed = true;
    slots.leaving = listed.state === 'leaving';
    slots.share = slots.leaving ? 0 : shares.shareOf(listed.id, listed.slots);
    if (slots.connections === connections) return;
    slots.connections = connections;
    slots.client.setMaxConnections(connections);
  };
  const markUnlisted = (slots: upstreamSlots.UpstreamSlots) => {
    slots.listed = false;
    slots.leaving = true;
    slots.share = 0;
  };
  const countShares = () => {
    shared = 0;
    sharedSlots = 0;
    for (const slots of table.values()) {
      free.refresh(slots);
      if (slots.share > 0) shared += 1;
      sharedSlots += slots.share;
    }
  };
  const forgetCleared = (now: types.clock.MonotonicMs) => {
    for (const slots of suspects) {
      const cleared = slots.health.mode(now) === 'open';
      if (cleared || slots.share === 0) suspects.delete(slots);
    }
  };

  return {
    setView: (view) => {
      shares.observe(view.entries, clock.monotonic());
      for (const slots of table.values()) markUnlisted(slots);
      view.upstreams.forEach(update);
      countShares();
      for (const slots of table.values()) forgetIfGone(slots);
    },
    take: (req, avoid) => {
      const now = clock.monotonic();
      if (shares.isStale(now)) return undefined;
      forgetCleared(now);
      const slots = choose({free, suspects, shared, req, avoid, now, random});
      if (slots === undefined) return undefined;
      if (slots.health.mode(now) === 'probe') slots.health.probing(now);
      slots.inFlight += 1;
      free.refresh(slots);
      return slots;
    },
    release: (slots) => {
      slots.inFlight -= 1;
      free.refresh(slots);
      forgetIfGone(slots);
    },
    noteFault: (slots) => {
      const suspect = slots.health.mode(clock.monotonic()) !== 'open';
      if (suspect && slots.share > 0) suspects.add(slots);
    },
    reliableSlots: () => {
      forgetCleared(clock.monotonic());
      let slots = sharedSlots;
      for (const suspect of suspects) slots -= suspect.share;
      return slots;
    },
    hasShare: () => shared > 0,
    status: () => [...table.values()].map((slots) => statusOf(slots, clock)),
    close: async () => {
      await Promise.all([...table.values()].map((one) => one.client.close()));
      table.clear();
    },
  };
}

function makeSlots(
  options: routerOptions.RouterOptions,
  listed: platform.instanceList.ListedUpstream,
): upstreamSlots.UpstreamSlots {
  return {
    id: listed.id,
    address: listed.address,
    client: options.makeUpstream(listed, 0),
    health: upstreamHealth.createUpstreamHealth(options.random),
    share: 0,
    connections: 0,
    inFlight: 0,
    leaving: false,
    listed: true,
  };
}

function statusOf(
  slots: upstreamSlots.UpstreamSlots,
  clock: types.clock.Clock,
): router.RouterStatus['upstreams'][number] {
  const {id, share, inFlight} = slots;
  if (slots.leaving) return {id, share, inFlight, state: 'leaving'};
  const open = slots.health.mode(clock.monotonic()) === 'open';
  return {id, share, inFlight, state: open ? 'open' : 'suspect'};
}
