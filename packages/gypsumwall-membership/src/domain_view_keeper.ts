/**
 * Maintains the view of the instances around this entry: polls the platform's
 * list and runs one heartbeat loop for each tracked peer.
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
  /** Address of this process's peer service, as the list shows it. */
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
  /** Called after a peer's state or the own domain's part of the list changed. */
  onChange?(view: domainView.DomainView): void;
}

/** Maintains the view. */
export interface DomainViewKeeper {
  /** Polls and sends heartbeats until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
  /** The current view; reads the clock to find silent peers. */
  current(): domainView.DomainView;
  /** Handles a received heartbeat; the sender may not be listed yet. */
  onHeartbeat(req: protocol.peer.HeartbeatRequest): void;
  /** Instances of the own domain that the platform's list shows as leaving. */
  listedLeavingInstances(): readonly string[];
  /** Hides a worker or upstream that is known to have ended. */
  markRemoved(id: string): void;
}

interface TrackedPeer {
  readonly link: peerLink.PeerLink;
  readonly stop: AbortController;
  /** Since when it is unlisted or not chosen; undefined while it is chosen. */
  unlistedAt?: types.clock.MonotonicMs;
}

/** Creates a keeper; it does nothing before `run`. */
export function createDomainViewKeeper(
  options: DomainViewKeeperOptions,
): DomainViewKeeper {
  const {clock, logger, failureDomain, listLagMs} = options;
  const corrections = listCorrections.createListCorrections(clock, listLagMs);
  const tracked = new Map<string, TrackedPeer>();
  const heartbeatLoops = new Set<Promise<void>>();
  let ownDomainInstances: readonly platform.instanceList.ListedInstance[] = [];
  let lastFetchedInstances: readonly platform.instanceList.ListedInstance[] =
    [];
  let correctedInstances: readonly platform.instanceList.ListedInstance[] = [];
  let listFetchedAt: types.clock.MonotonicMs | undefined;
  let selfListedAt: types.clock.MonotonicMs | undefined;
  let isSelfListed = false;
  let runSignal: AbortSignal | undefined;
  /** Number of tracked peers of other domains. */
  let trackedOtherDomainPeers = 0;

  function current(): domainView.DomainView {
    return {
      peers: [...tracked.values()]
        .map(({link}) => link.peer())
        .filter(({entryId}) => entryId !== options.self),
      workers: correctedInstances.filter(
        (instance) => instance.kind === 'worker',
      ),
      upstreams: correctedInstances.filter(
        (instance) => instance.kind === 'upstream',
      ),
      listFetchedAt,
      selfListedAt,
      isSelfListed,
    };
  }

  function reportView() {
    options.onChange?.(current());
  }

  /**
   * Applies the leaving instances that a peer reports. Without the report, an
   * entry that is cut off from the platform would continue to send work to a
   * leaving upstream.
   */
  function onLeavingInstances(ids: readonly string[]) {
    if (ids.length === 0) return;
    ids.forEach((id) => corrections.markLeaving(id));
    correctedInstances = corrections.correct(ownDomainInstances);
  }

  function trackPeer(
    address: string,
    domain: types.ids.FailureDomain,
  ): TrackedPeer | undefined {
    if (address === options.address || runSignal?.aborted !== false) {
      return undefined;
    }
    const known = tracked.get(address);
    if (known !== undefined) return known;
    // An invalid address from a peer or the list must not end this process.
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
      slowdownFactor: () =>
        domain === failureDomain
          ? 1
          : peerChoice.slowdownFactor(trackedOtherDomainPeers),
      ownHeartbeat: () => ({
        entryId: options.self,
        failureDomain,
        address: options.address,
        configOffset: BigInt(options.ownState().configOffset),
        leaving: options.ownState().leaving,
      }),
      onChange: reportView,
      onLeavingInstances,
    });
    const peer: TrackedPeer = {link, stop: new AbortController()};
    tracked.set(address, peer);
    const heartbeatLoop = link.run(
      AbortSignal.any([peer.stop.signal, runSignal]),
    );
    heartbeatLoops.add(heartbeatLoop);
    void heartbeatLoop.finally(() => heartbeatLoops.delete(heartbeatLoop));
    logger.info('peer_found', {peer: address, domain});
    return peer;
  }

  function chooseAddresses(
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

  function applyList(
    instances: readonly platform.instanceList.ListedInstance[],
    requestedAt: types.clock.MonotonicMs,
  ) {
    // In a large cell most of the list is instances of other domains, so only
    // the own domain's instances are compared.
    const newOwnInstances = instances.filter(
      (instance) => instance.failureDomain === failureDomain,
    );
    const hasChanged =
      instances !== lastFetchedInstances &&
      JSON.stringify(newOwnInstances) !== JSON.stringify(ownDomainInstances);
    lastFetchedInstances = instances;
    ownDomainInstances = newOwnInstances;
    correctedInstances = corrections.correct(newOwnInstances);
    listFetchedAt = clock.monotonic();
    isSelfListed = instances.some(
      (one) => one.kind === 'entry' && one.address === options.address,
    );
    const entries = instances.filter((instance) => instance.kind === 'entry');
    const chosen = chooseAddresses(entries);
    for (const entry of entries) {
      if (entry.address === options.address) selfListedAt = requestedAt;
      if (!chosen.has(entry.address)) continue;
      const peer = trackPeer(entry.address, entry.failureDomain);
      if (peer === undefined) continue;
      // With address translation the list shows this process at an address that
      // it doesn't know as its own; the id in the heartbeat's answer identifies
      // it.
      if (peer.link.peer().entryId === options.self) selfListedAt = requestedAt;
      delete peer.unlistedAt;
      peer.link.onListed(entry.state);
    }
    dropUnchosen(chosen);
    trackedOtherDomainPeers = [...tracked.values()].filter(
      ({link}) => link.peer().failureDomain !== failureDomain,
    ).length;
    if (hasChanged) reportView();
  }

  /**
   * Stops tracking peers that are not chosen. A peer that answers is kept for
   * one list lag, because a new entry sends heartbeats before the list shows
   * it.
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
      options.clients.closeClient(address);
      logger.info('peer_dropped', {peer: address});
      reportView();
    }
  }

  /**
   * Whether a tracked and listed peer has the id. With address translation a
   * peer may report another address than the list shows. If it were tracked at
   * both, it would count twice, and remain reachable at one address while the
   * other is cut off.
   */
  function isListed(entryId: string): boolean {
    return [...tracked.values()].some(
      ({link, unlistedAt}) =>
        unlistedAt === undefined && link.peer().entryId === entryId,
    );
  }

  async function pollList(signal: AbortSignal) {
    while (!signal.aborted) {
      const requestedAt = clock.monotonic();
      const answer = await options.list.fetch();
      if (answer.isOk) {
        applyList(answer.value, requestedAt);
      } else {
        // The last list stays in use: its unavailability proves nothing about the
        // instances.
        const error = types.stepError.describeError(answer.error);
        logger.warn('list_unavailable', {error});
        correctedInstances = corrections.correct(ownDomainInstances);
      }
      const nextAt = types.clock.after(requestedAt, options.listPollMs);
      await clock.sleepUntil(nextAt, signal);
    }
  }

  return {
    current,
    // Doesn't include instances that peers reported: two cut-off entries would
    // repeat them to each other forever.
    listedLeavingInstances: () =>
      ownDomainInstances
        .filter(({state}) => state === 'leaving')
        .map(({id}) => id),
    markRemoved: (id) => {
      corrections.markRemoved(id);
      correctedInstances = corrections.correct(ownDomainInstances);
    },
    onHeartbeat: (req) => {
      if (req.failureDomain !== failureDomain) return;
      if (isListed(req.entryId)) return;
      trackPeer(req.address, types.ids.brand(req.failureDomain));
    },
    run: async (signal) => {
      runSignal = signal;
      await pollList(signal);
      await Promise.all(heartbeatLoops);
    },
  };
}
