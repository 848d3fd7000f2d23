/**
 * Chooses how each worker is called: by this process, or through a peer. A
 * holder that polls all workers of a large cell by itself spends its processor
 * on that, and answers neither its callers nor its peers in time. Beyond what
 * its instance can poll it has peers call the workers, those of the worker's
 * failure domain first: a cut between the domains then affects both alike.
 */
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';
import type * as workerChannel from './worker_channel.js';
import * as workerChannelClient from './worker_channel_client.js';

/**
 * Workers that an instance polls for each core. At rest they take a seventh of
 * it, and the orders and reports of a busy cell several times as much.
 */
const MAX_WORKERS_PER_CORE = 100;
/** The same for a peer, which also serves its callers. */
const MAX_RELAYED_PER_CORE = 150;
/** How long a peer that was lost is not used; milliseconds. */
const LOST_PEER_PAUSE_MS = 5_000;

/** A peer that can call workers. */
export interface RelayPeer {
  readonly instance: string;
  readonly domain: types.ids.FailureDomain;
  /** Processor capacity of the instance, in cores. */
  readonly cores: number;
  readonly address: string;
}

/** Options of the routes. */
export interface WorkerRoutesOptions {
  /** Processor capacity of this instance, in cores. */
  readonly cores: number;
  /** Peers that are not avoided now. */
  readonly peers: () => Iterable<RelayPeer>;
  readonly connect: (
    worker: scheduling.workerRegistry.WorkerInfo,
  ) => ports.WorkerLink;
  /** Busy share of this process's event loop, from 0 to 1. */
  readonly loopUtilization: () => number;
  readonly sendsPayload: workerChannel.SendsPayload;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly openChannel?: typeof workerChannelClient.openWorkerChannel;
}

/** The routes of one holder. */
export interface WorkerRoutes {
  /** Opens the connections to a worker. */
  connect(worker: scheduling.workerRegistry.WorkerInfo): ports.WorkerLink;
  /** Number of workers that are called through peers. */
  relayed(): number;
  close(): void;
}

interface Relay {
  readonly peer: RelayPeer;
  readonly channel: workerChannelClient.WorkerChannel;
  readonly workers: Set<types.ids.WorkerId>;
}

/** Creates the routes of a holder without workers. */
export function createWorkerRoutes(options: WorkerRoutesOptions): WorkerRoutes {
  const {cores, clock, logger} = options;
  const {openChannel = workerChannelClient.openWorkerChannel} = options;
  const workers = new Set<types.ids.WorkerId>();
  const relays = new Map<string, Relay>();
  const relayOf = new Map<types.ids.WorkerId, Relay>();
  const pausedUntil = new Map<string, types.clock.MonotonicMs>();
  let isClosed = false;

  /** Gives the workers of a relay to others; its open calls go on. */
  function retire(relay: Relay): void {
    const {instance} = relay.peer;
    relays.delete(instance);
    for (const id of relay.workers) relayOf.delete(id);
    const until = types.clock.after(clock.monotonic(), LOST_PEER_PAUSE_MS);
    pausedUntil.set(instance, until);
  }

  function onLeaving(relay: Relay): void {
    const {instance} = relay.peer;
    if (relays.get(instance) !== relay) return;
    retire(relay);
    logger.info('worker_relay_leaving', {
      peer: instance,
      workers: relay.workers.size,
    });
  }

  function onLost(relay: Relay, err: types.stepError.StepError): void {
    const {instance} = relay.peer;
    if (isClosed || relays.get(instance) !== relay) return;
    retire(relay);
    logger.info('worker_relay_lost', {
      peer: instance,
      workers: relay.workers.size,
      error: types.stepError.describeError(err),
    });
  }

  function openRelay(peer: RelayPeer): Relay {
    const relay: Relay = {
      peer,
      workers: new Set(),
      channel: openChannel({
        address: peer.address,
        loopUtilization: options.loopUtilization,
        sendsPayload: options.sendsPayload,
        clock,
        onLeaving: () => onLeaving(relay),
        onLost: (err) => onLost(relay, err),
      }),
    };
    relays.set(peer.instance, relay);
    logger.info('worker_relay_opened', {peer: peer.instance});
    return relay;
  }

  /** Workers that a peer calls, as a share of those that it can call. */
  function loadOf({instance, cores: ofPeer}: RelayPeer): number {
    const assigned = relays.get(instance)?.workers.size ?? 0;
    return assigned / Math.max(1, ofPeer * MAX_RELAYED_PER_CORE);
  }

  /** Few peers are used as long as these are not fully loaded. */
  function choosePeer(domain: types.ids.FailureDomain): RelayPeer | undefined {
    const now = clock.monotonic();
    const usable = [...options.peers()].filter(
      ({instance}) => (pausedUntil.get(instance) ?? 0) <= now,
    );
    const inDomain = usable.filter((peer) => peer.domain === domain);
    const isOpen = ({instance}: RelayPeer) => relays.has(instance);
    const choices = [
      inDomain.filter(isOpen),
      inDomain,
      usable.filter(isOpen),
      usable,
    ];
    for (const peers of choices) {
      const least = leastLoaded(peers, loadOf);
      if (least !== undefined && loadOf(least) < 1) return least;
    }
    return leastLoaded(usable, loadOf);
  }

  function findRelay({
    id,
    domain,
  }: scheduling.workerRegistry.WorkerInfo): Relay | undefined {
    if (workers.size <= cores * MAX_WORKERS_PER_CORE) return undefined;
    const assigned = relayOf.get(id);
    if (assigned !== undefined) return assigned;
    const peer = choosePeer(domain);
    if (peer === undefined) return undefined;
    const relay = relays.get(peer.instance) ?? openRelay(peer);
    relay.workers.add(id);
    relayOf.set(id, relay);
    return relay;
  }

  function forget(id: types.ids.WorkerId): void {
    workers.delete(id);
    relayOf.get(id)?.workers.delete(id);
    relayOf.delete(id);
  }

  return {
    connect(worker) {
      const direct = options.connect(worker);
      workers.add(worker.id);

      /** A call that no peer has made is made by this process. */
      async function callBy<Answer extends workerChannel.WorkerAnswer>(
        call: workerChannel.WorkerCall,
        callDirectly: () => ports.Answer<Answer>,
      ): Promise<Awaited<ports.Answer<Answer>>> {
        const relay = findRelay(worker);
        if (relay === undefined) return callDirectly();
        const answer = await relay.channel.call(worker, call);
        if (result.isErr(answer) && answer.error.effect === 'not_run')
          return callDirectly();
        // The answer to a call has the type of the call.
        return answer as Awaited<ports.Answer<Answer>>;
      }

      return {
        start: (call) =>
          callBy({type: 'start', call}, () => direct.start(call)),
        stop: (call) => callBy({type: 'stop', call}, () => direct.stop(call)),
        poll: (call) => callBy({type: 'poll', call}, () => direct.poll(call)),
        close() {
          forget(worker.id);
          direct.close();
        },
      };
    },
    relayed: () => relayOf.size,
    close() {
      isClosed = true;
      for (const {channel} of [...relays.values()]) channel.close();
    },
  };
}

function leastLoaded(
  peers: readonly RelayPeer[],
  loadOf: (peer: RelayPeer) => number,
): RelayPeer | undefined {
  let least: RelayPeer | undefined;
  for (const peer of peers) {
    if (least === undefined || loadOf(peer) < loadOf(least)) least = peer;
  }
  return least;
}
