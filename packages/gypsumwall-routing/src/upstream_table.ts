/**
 * The upstreams that this entry knows of, its share of each, and what it has
 * in flight there.
 */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';
import type * as router from './router.js';
import type * as routerOptions from './router_options.js';
import * as slotShares from './slot_shares.js';

/** One upstream as this entry uses it. */
export interface UpstreamSlots {
  readonly id: types.ids.UpstreamId;
  readonly client: platform.upstream.Upstream;
  /** Slots this entry may use; 0 when the upstream is leaving. */
  share: number;
  connections: number;
  inFlight: number;
  state: 'open' | 'leaving';
}

/** All upstreams of the failure domain. */
export interface UpstreamTable {
  setView(view: router.RouterView): void;
  /** Upstreams that can take a request now. */
  free(): readonly UpstreamSlots[];
  all(): Iterable<UpstreamSlots>;
  /** Gives a slot back and forgets an upstream that is gone. */
  release(slots: UpstreamSlots): void;
  close(): Promise<void>;
}

/** Makes an empty table. */
export function createUpstreamTable(
  options: routerOptions.RouterOptions,
  requestBoundMs: number,
): UpstreamTable {
  const shares = slotShares.createSlotShares({
    entryId: options.entryId,
    listLagMs: options.listLagMs,
    requestBoundMs,
  });
  const table = new Map<string, UpstreamSlots>();

  const update = (listed: platform.instanceList.ListedUpstream) => {
    const known = table.get(listed.id);
    const leaving = listed.state === 'leaving';
    const connections = shares.shareOf(listed.id, listed.connections);
    const slots = known ?? add(options, table, listed, connections);
    slots.state = leaving ? 'leaving' : 'open';
    slots.share = leaving ? 0 : shares.shareOf(listed.id, listed.slots);
    if (slots.connections !== connections) {
      slots.connections = connections;
      slots.client.setConnections(connections);
    }
  };

  const forgetIfIdle = (slots: UpstreamSlots, listed: boolean) => {
    if (listed || slots.inFlight > 0) return;
    table.delete(slots.id);
    void slots.client.close();
  };

  let listedIds = new Set<string>();
  return {
    setView: (view) => {
      shares.observe(view.entries, options.clock.monotonic());
      listedIds = new Set(view.upstreams.map((listed) => listed.id));
      view.upstreams.forEach(update);
      for (const slots of table.values()) {
        if (listedIds.has(slots.id)) continue;
        slots.state = 'leaving';
        slots.share = 0;
        forgetIfIdle(slots, false);
      }
    },
    free: () =>
      shares.isStale(options.clock.monotonic())
        ? []
        : [...table.values()].filter((slots) => slots.inFlight < slots.share),
    all: () => table.values(),
    release: (slots) => {
      slots.inFlight -= 1;
      forgetIfIdle(slots, listedIds.has(slots.id));
    },
    close: async () => {
      await Promise.all([...table.values()].map((one) => one.client.close()));
      table.clear();
    },
  };
}

function add(
  options: routerOptions.RouterOptions,
  table: Map<string, UpstreamSlots>,
  listed: platform.instanceList.ListedUpstream,
  connections: number,
): UpstreamSlots {
  const slots: UpstreamSlots = {
    id: listed.id,
    client: options.makeUpstream(listed, connections),
    share: 0,
    connections,
    inFlight: 0,
    state: 'open',
  };
  table.set(listed.id, slots);
  return slots;
}
