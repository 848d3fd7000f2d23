/**
 * Keeps the view of the instances around this entry: polls the platform's
 * list, and runs one loop of heartbeats for each peer on it.
 */
import type * as platform from '@gypsumwall/platform';
import type * as protocol from '@gypsumwall/protocol';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as domainView from './domain_view.js';
import * as listCorrections from './list_corrections.js';
import * as peerChoice from './peer_choice.js';
import type * as peerClients from './peer_clients.js';
import * as peerLink from './peer_link.js';
import type * as peerServer from './peer_server.js';

/** Options of `createDomainViewKeeper`. */
export interface DomainViewKeeperOptions {
  readonly self: types.ids.EntryId;
  readonly failureDomain: types.ids.FailureDomain;
  /** Address of this process's peer service, as the list gives it. */
  readonly address: string;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly list: platform.instanceList.InstanceList;
  readonly clients: peerClients.PeerClients;
  readonly listPollMs: number;
  readonly listLagMs: number;
  readonly heartbeatMs: number;
  readonly silenceMs: number;
  ownState(): peerServer.OwnState;
  /** Called when a peer's state, or the list, has changed. */
  onChange?(view: domainView.DomainView): void;
}

/** Keeps the view. */
export interface DomainViewKeeper {
  /** Polls and sends heartbeats until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
  /** The view at this moment; peers fall silent by the clock. */
  current(): domainView.DomainView;
  /** A heartbeat came in; the sender may not be on the list yet. */
  onHeartbeat(req: protocol.peer.HeartbeatRequest): void;
  /** Instances of the own domain that the list itself shows as leaving. */
  listedLeavingInstances(): readonly string[];
  /** Direct evidence that a worker or upstream is gone. */
  noteGone(id: string): void;
}

interface TrackedPeer {
  readonly link: peerLink.PeerLink;
  readonly stop: AbortController;
  /** Off the list, or not chosen, since; undefined otherwise. */
  unlistedAt?: types.clock.MonotonicMs;
}

/** Makes a keeper; nothing happens before `run`. */
export function createDomainViewKeeper(
  options: DomainViewKeeperOptions,
): DomainViewKeeper {
  const {clock, logger, failureDomain, listLagMs} = options;
  const corrections = listCorrections.createListCorrections(clock, listLagMs);
  const tracked = new Map<string, TrackedPeer>();
  const loops = new Set<Promise<void>>();
  let listed: readonly platform.instanceList.ListedInstance[] = [];
  let lastInstances: readonly platform.instanceList.ListedInstance[] = [];
  let corrected: readonly platform.instanceList.ListedInstance[] = [];
  let listFetchedAt: types.clock.MonotonicMs | undefined;
  let selfListedAt: types.clock.MonotonicMs | undefined;
  let selfListed = false;
  let running: AbortSignal | undefined;
  /** Peers of other domains that are kept in touch with. */
  let othersTracked = 0;

  function current(): domainView.DomainView {
    return {
      peers: [...tracked.values()]
        .map(({link}) => link.peer())
        .filter(({entryId}) => entryId !== options.self),
      workers: corrected.filter((instance) => instance.kind === 'worker'),
      upstreams: corrected.filter((instance) => instance.kind === 'upstream'),
      listFetchedAt,
      selfListedAt,
      isSelfListed: selfListed,
    };
  }

  function announce() {
    options.onChange?.(current());
  }

  /**
   * An entry that is cut off from the platform would go on sending work to an
   * upstream that leaves; a peer that still reads the list tells it.
   */
  function noteLeaving(ids: readonly string[]) {
    if (ids.length === 0) return;
    ids.forEach((id) => corrections.noteLeaving(id));
    corrected = corrections.correct(listed);
  }

  function track(
    address: string,
    domain: types.ids.FailureDomain,
  ): TrackedPeer | undefined {
    if (address === options.address || running?.aborted !== false) {
      return undefined;
    }
    const known = tracked.get(address);
    if (known !== undefined) return known;
    // Neither a peer nor the list can end this process by a bad address.
    if (!URL.canParse(address)) {
      logger.warn('peer_address_invalid', {
        address,
        expected: 'http://ip:port',
      });
      return undefined;
    }
    const link = peerLink.createPeerLink({
      address,
      failureDomain: domain,
      client: options.clients.clientFor(address),
      clock,
      heartbeatMs: options.heartbeatMs,
      silenceMs: options.silenceMs,
      listLagMs,
      slowdown: () =>
        domain === failureDomain ? 1 : peerChoice.slowdown(othersTracked),
      ownHeartbeat: () => ({
        entryId: options.self,
        failureDomain,
        address: options.address,
        configOffset: BigInt(options.ownState().configOffset),
        leaving: options.ownState().leaving,
      }),
      onChange: announce,
      onLeavingInstances: noteLeaving,
    });
    const peer: TrackedPeer = {link, stop: new AbortController()};
    tracked.set(address, peer);
    const loop = link.run(AbortSignal.any([peer.stop.signal, running]));
    loops.add(loop);
    void loop.finally(() => loops.delete(loop));
    logger.info('peer_found', {peer: address, domain});
    return peer;
  }

  function choose(
    entries: readonly platform.instanceList.ListedEntry[],
  ): ReadonlySet<string> {
    const candidates = entries
      .filter(({address}) => address !== options.address)
      .map((entry) => ({
        address: entry.address,
        failureDomain: entry.failureDomain,
        isSilent: tracked.get(entry.address)?.link.isUnanswered() ?? false,
      }));
    return peerChoice.choosePeers(options, candidates);
  }

  function noteList(
    instances: readonly platform.instanceList.ListedInstance[],
    askedAt: types.clock.MonotonicMs,
  ) {
    // Instances of other domains are most of a large cell's list.
    const own = instances.filter(
      (instance) => instance.failureDomain === failureDomain,
    );
    const changed =
      instances !== lastInstances &&
      JSON.stringify(own) !== JSON.stringify(listed);
    lastInstances = instances;
    listed = own;
    corrected = corrections.correct(own);
    listFetchedAt = clock.monotonic();
    selfListed = instances.some(
      (one) => one.kind === 'entry' && one.address === options.address,
    );
    const entries = instances.filter((instance) => instance.kind === 'entry');
    const chosen = choose(entries);
    for (const entry of entries) {
      if (entry.address === options.address) selfListedAt = askedAt;
      if (!chosen.has(entry.address)) continue;
      const peer = track(entry.address, entry.failureDomain);
      if (peer === undefined) continue;
      // Behind an address translation the list's address isn't the own one.
      if (peer.link.peer().entryId === options.self) selfListedAt = askedAt;
      delete peer.unlistedAt;
      peer.link.noteListed(entry.state);
    }
    dropUnchosen(chosen);
    othersTracked = [...tracked.values()].filter(
      ({link}) => link.peer().failureDomain !== failureDomain,
    ).length;
    if (changed) announce();
  }

  /**
   * A peer that is off the list but answers is kept as long as the list may
   * lag: a new entry makes itself heard before the list shows it.
   */
  function dropUnchosen(chosen: ReadonlySet<string>) {
    const now = clock.monotonic();
    for (const [address, peer] of tracked) {
      if (chosen.has(address)) continue;
      peer.unlistedAt ??= now;
      const dropAt = types.clock.after(peer.unlistedAt, listLagMs);
      if (peer.link.peer().state !== 'silent' && now < dropAt) continue;
      peer.stop.abort();
      tracked.delete(address);
      options.clients.drop(address);
      logger.info('peer_dropped', {peer: address});
      announce();
    }
  }

  /**
   * A peer may listen on another address than the list gives for it, as
   * behind an address translation. Tracked under both it would count twice,
   * and stay in reach by the one while the other is cut.
   */
  function isListed(entryId: string): boolean {
    return [...tracked.values()].some(
      ({link, unlistedAt}) =>
        unlistedAt === undefined && link.peer().entryId === entryId,
    );
  }

  async function pollList(signal: AbortSignal) {
    while (!signal.aborted) {
      const askedAt = clock.monotonic();
      const answer = await options.list.fetch();
      if (answer.isOk) {
        noteList(answer.value, askedAt);
      } else {
        // The last view stays: a list that is down says nothing of anybody.
        const error = types.stepError.describeError(answer.error);
        logger.warn('list_unavailable', {error});
        corrected = corrections.correct(listed);
      }
      const nextAt = types.clock.after(askedAt, options.listPollMs);
      await clock.sleepUntil(nextAt, signal);
    }
  }

  return {
    current,
    // Not what peers told: two cut-off entries would tell it to each other
    // for ever.
    listedLeavingInstances: () =>
      listed.filter(({state}) => state === 'leaving').map(({id}) => id),
    noteGone: (id) => {
      corrections.noteGone(id);
      corrected = corrections.correct(listed);
    },
    onHeartbeat: (req) => {
      if (req.failureDomain !== failureDomain) return;
      if (isListed(req.entryId)) return;
      track(req.address, types.ids.brand(req.failureDomain));
    },
    run: async (signal) => {
      running = signal;
      await pollList(signal);
      await Promise.all(loops);
    },
  };
}
