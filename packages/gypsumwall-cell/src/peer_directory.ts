/**
 * The entries of the cell, as they registered themselves in the jobs' log, and
 * the adviser as reached through each of them. A peer that doesn't answer is
 * avoided for a while.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as httpClient from './http_client.js';
import * as peerProtocol from './peer_protocol.js';
import type * as ports from './ports.js';
import type * as standbyChoice from './standby_choice.js';
import type * as storeRecords from './store_records.js';
import type * as trafficMeter from './traffic_meter.js';
import * as usablePeerList from './usable_peers.js';
import type * as workerRoutes from './worker_routes.js';

/**
 * How long a peer that didn't answer is avoided, doubled each time up to the
 * maximum: each call to a peer that is lost for good costs a job the wait for
 * an answer. A peer that restarts registers again and is used at once;
 * milliseconds.
 */
const FIRST_BACKOFF_MS = 2_000;
const MAX_BACKOFF_MS = 30_000;
/** Timeout of a ping; a live peer answers within 10 ms; milliseconds. */
const PING_TIMEOUT_MS = 120;
/**
 * How long a call waits for a peer's answer before the peer is pinged, and the
 * pause between two pings; milliseconds.
 */
const LIVENESS_CHECK_AFTER_MS = 80;
const LIVENESS_CHECK_INTERVAL_MS = 250;
/**
 * Timeout of such a ping, and the number of successive ones that must fail: a
 * peer that has just received many calls answers none for a quarter of a
 * second; milliseconds.
 */
const LIVENESS_PING_TIMEOUT_MS = 250;
const MAX_FAILED_PINGS = 2;
/**
 * How long a peer that failed them gets no calls of this kind; milliseconds.
 */
const UNRESPONSIVE_PAUSE_MS = 500;
/**
 * The same for a peer that said that it is busy, doubled each time up to the
 * maximum: the refusals themselves take a part of its processor; milliseconds.
 */
const FIRST_BUSY_PAUSE_MS = 1_000;
const MAX_BUSY_PAUSE_MS = 4_000;
/**
 * Connections to one peer. Calls that wait for a slow store occupy them
 * meanwhile.
 */
const MAX_CONNECTIONS = 16;

/** Limits of a forwarded call. */
export interface RelayLimits {
  /** The instance that is asked first. */
  readonly preferred: string | undefined;
  /**
   * Timeouts for one peer's answer and for all peers together; milliseconds.
   */
  readonly peerTimeoutMs: number;
  readonly totalTimeoutMs: number;
}

/** Outcome of a forwarded call. */
export type RelayOutcome =
  | {
      readonly type: 'answered';
      readonly res: peerProtocol.RelayRes;
      /** Whether a peer that was asked before may have applied the call. */
      readonly maybeApplied: boolean;
    }
  /** No peer gave a definite answer. */
  | {
      readonly type: 'unanswered';
      /** Whether a peer may have applied the call all the same. */
      readonly maybeApplied: boolean;
      /** Whether a peer received the call, is alive, and needs more time. */
      readonly isSlow: boolean;
    };

interface Peer {
  readonly instance: string;
  readonly record: storeRecords.EntryRecord;
  readonly client: httpClient.HttpClient;
  readonly adviser: ports.Adviser;
  readonly candidate: standbyChoice.StandbyCandidate;
  /** A ping in progress, shared by all calls that wait. */
  ping: Promise<boolean> | undefined;
  /** Until then, `relayTo` does not call it. */
  relaysPausedUntil: types.clock.MonotonicMs;
  /** The next such pause if it says that it is busy. */
  nextBusyPauseMs: number;
  backoffUntil: types.clock.MonotonicMs;
  nextBackoffMs: number;
}

/** The peers of one entry. */
export interface PeerDirectory {
  /** Applies the record of an entry; that of this entry is ignored. */
  apply(instance: string, record: storeRecords.EntryRecord | undefined): void;
  /** Advisers by instance, of the peers that aren't avoided. */
  advisers(): Map<string, ports.Adviser>;
  /** Forwards a caller's call to peers until one gives a definite answer. */
  relay(req: peerProtocol.RelayReq, limits: RelayLimits): Promise<RelayOutcome>;
  /**
   * Forwards a call to one peer. Waits for the answer for as long as the peer
   * is alive, up to the timeout in milliseconds.
   */
  relayTo(
    instance: string,
    req: peerProtocol.RelayReq,
    timeoutMs: number,
  ): Promise<RelayOutcome>;
  /**
   * Whether a peer answers in time; true for an unknown peer, which isn't
   * called.
   */
  ping(instance: string, timeoutMs: number): Promise<boolean>;
  /** Avoids a peer that was found to be lost by other means than a call. */
  markLost(instance: string): void;
  /** Whether the builds of all peers read ranges of finished occurrences. */
  allReadRanges(): boolean;
  /** Cores of the largest peer that isn't avoided; 0 without peers. */
  maxCores(): number;
  /** Peers through which workers can be called: those that aren't avoided. */
  relayPeers(): Iterable<workerRoutes.RelayPeer>;
  /** Peers that can be standbys: those that aren't avoided. */
  standbyCandidates(): Iterable<standbyChoice.StandbyCandidate>;
  close(): void;
}

/** Options of a peer directory. */
export interface PeerDirectoryOptions {
  /** This entry's instance, which is no peer. */
  readonly self: string;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  /** Opens the connections to a peer; over HTTP by default. */
  readonly openClient?: typeof httpClient.createHttpClient;
  /** Counts the calls to peers. */
  readonly meter?: trafficMeter.TrafficMeter;
}

/** Creates an empty directory. */
export function createPeerDirectory({
  self,
  clock,
  logger,
  openClient = httpClient.createHttpClient,
  meter,
}: PeerDirectoryOptions): PeerDirectory {
  const peers = new Map<string, Peer>();
  const usable = usablePeerList.createUsablePeers(peers, clock);

  function createPeer(
    instance: string,
    record: storeRecords.EntryRecord,
    client: httpClient.HttpClient,
  ): Peer {
    const direct = peerProtocol.createPeerAdviser(client);
    const {domain, cores = 0} = record;
    const peer: Peer = {
      instance,
      record,
      client,
      candidate: {instance, domain, cores},
      ping: undefined,
      relaysPausedUntil: clock.monotonic(),
      nextBusyPauseMs: FIRST_BUSY_PAUSE_MS,
      backoffUntil: clock.monotonic(),
      nextBackoffMs: FIRST_BACKOFF_MS,
      adviser: {
        async ask(stepRunId, workers, timeoutMs) {
          const answer = await direct.ask(stepRunId, workers, timeoutMs);
          recordAnswer(peer, answer);
          return answer;
        },
      },
    };
    return peer;
  }

  /**
   * Keeps the client of an address: the record may be read seconds after the
   * new process was first called. Idle connections may lead to the old one.
   */
  function clientOf(
    address: string,
    known: httpClient.HttpClient | undefined,
  ): httpClient.HttpClient {
    if (known?.address === address) {
      known.closeIdle();
      return known;
    }
    known?.close();
    return openClient(address, MAX_CONNECTIONS, meter);
  }

  /**
   * If the adviser behind a peer refuses a call, the peer itself has answered.
   */
  function recordAnswer(
    peer: Peer,
    answer: result.Result<unknown, types.stepError.StepError>,
  ): void {
    if (result.isOk(answer)) peer.nextBackoffMs = FIRST_BACKOFF_MS;
    else if (answer.error.kind !== 'refused') backOff(peer);
  }

  /**
   * Checks a peer that didn't answer a forwarded call in time; true if it is
   * alive. With a slow store a peer waits for its own append. When peers were
   * avoided for that, the holder got no more calls to combine, and 45 entries
   * each sent their own appends.
   */
  async function checkUnanswered(
    peer: Peer,
    err: types.stepError.StepError,
  ): Promise<boolean> {
    if (err.kind === 'refused') return false;
    const isAlive =
      (err.kind === 'timeout' || err.kind === 'closed') &&
      (await peerProtocol.ping(peer.client, PING_TIMEOUT_MS));
    if (!isAlive) backOff(peer);
    return isAlive;
  }

  function backOff(peer: Peer): void {
    const now = clock.monotonic();
    // Calls that were open together fail together and count once.
    if (peer.backoffUntil > now) return;
    peer.backoffUntil = types.clock.after(now, peer.nextBackoffMs);
    usable.onChanged();
    const doubled = peer.nextBackoffMs * 2;
    peer.nextBackoffMs = Math.min(MAX_BACKOFF_MS, doubled);
  }

  function markUnresponsive(peer: Peer): void {
    backOff(peer);
    pauseRelays(peer, UNRESPONSIVE_PAUSE_MS);
  }

  function pauseRelays(peer: Peer, spanMs: number): void {
    peer.relaysPausedUntil = types.clock.after(clock.monotonic(), spanMs);
  }

  /** Pauses the calls to a busy peer; those that were open together count once. */
  function pauseBusy(peer: Peer): void {
    if (peer.relaysPausedUntil > clock.monotonic()) return;
    pauseRelays(peer, peer.nextBusyPauseMs);
    const doubled = peer.nextBusyPauseMs * 2;
    peer.nextBusyPauseMs = Math.min(MAX_BUSY_PAUSE_MS, doubled);
  }

  /** Resolves once the peer fails to answer pings, or the signal aborts. */
  async function untilLost(peer: Peer, signal: AbortSignal): Promise<void> {
    await types.clock.sleepFor(clock, LIVENESS_CHECK_AFTER_MS, signal);
    let failed = 0;
    while (!signal.aborted && failed < MAX_FAILED_PINGS) {
      peer.ping ??= peerProtocol
        .ping(peer.client, LIVENESS_PING_TIMEOUT_MS)
        .finally(() => (peer.ping = undefined));
      failed = (await peer.ping) ? 0 : failed + 1;
      if (failed > 0) continue;
      await types.clock.sleepFor(clock, LIVENESS_CHECK_INTERVAL_MS, signal);
    }
  }

  /** The answer, or undefined if the peer was lost first. */
  async function relayWhileAlive(
    peer: Peer,
    req: peerProtocol.RelayReq,
    timeoutMs: number,
  ): Promise<Awaited<ReturnType<typeof peerProtocol.relay>> | undefined> {
    const answered = new AbortController();
    const answer = peerProtocol
      .relay(peer.client, req, timeoutMs)
      .finally(() => answered.abort(types.clock.WAIT_ENDED));
    const lost = untilLost(peer, answered.signal);
    await Promise.race([answer, lost]);
    return answered.signal.aborted ? answer : undefined;
  }

  function logFailedRelay(
    peer: Peer,
    req: peerProtocol.RelayReq,
    err: types.stepError.StepError,
  ): void {
    logger.info('relay_failed', {
      job: req.type === 'pending' ? undefined : req.id,
      call: req.type,
      peer: peer.instance,
      error: types.stepError.describeError(err),
    });
  }

  function usablePeers({preferred}: RelayLimits): Peer[] {
    const now = clock.monotonic();
    const first = preferred === undefined ? undefined : peers.get(preferred);
    const others = [...peers.values()].filter((peer) => peer !== first);
    const ordered = first === undefined ? others : [first, ...others];
    return ordered.filter((peer) => peer.backoffUntil <= now);
  }

  return {
    async relay(req, limits) {
      const until = types.clock.after(clock.monotonic(), limits.totalTimeoutMs);
      let maybeApplied = false;
      let isSlow = false;
      for (const peer of usablePeers(limits)) {
        const leftMs = until - clock.monotonic();
        if (leftMs <= 0) break;
        const timeoutMs = Math.min(limits.peerTimeoutMs, leftMs);
        const answer = await peerProtocol.relay(peer.client, req, timeoutMs);
        if (result.isErr(answer)) {
          logFailedRelay(peer, req, answer.error);
          if (answer.error.effect === 'unknown') maybeApplied = true;
          isSlow = (await checkUnanswered(peer, answer.error)) || isSlow;
          continue;
        }
        recordAnswer(peer, answer);
        if (isFinal(answer.value) || isShed(answer.value)) {
          return {type: 'answered', res: answer.value, maybeApplied};
        } else if (answer.value.type === 'unknown') {
          maybeApplied = true;
        }
      }
      return {type: 'unanswered', maybeApplied, isSlow};
    },
    async relayTo(instance, req, timeoutMs) {
      const unsent = {
        type: 'unanswered',
        maybeApplied: false,
        isSlow: false,
      } as const;
      const peer = peers.get(instance);
      if (peer === undefined || peer.relaysPausedUntil > clock.monotonic())
        return unsent;
      const until = types.clock.after(clock.monotonic(), timeoutMs);
      const answer = await relayWhileAlive(peer, req, timeoutMs);
      if (answer === undefined) {
        markUnresponsive(peer);
        return {...unsent, maybeApplied: true};
      }
      if (result.isErr(answer)) {
        logFailedRelay(peer, req, answer.error);
        const isSlow = clock.monotonic() >= until;
        if (!isSlow) markUnresponsive(peer);
        const maybeApplied = answer.error.effect === 'unknown';
        return {...unsent, maybeApplied, isSlow};
      }
      recordAnswer(peer, answer);
      const {value} = answer;
      if (isBusy(value)) {
        pauseBusy(peer);
        return unsent;
      }
      peer.nextBusyPauseMs = FIRST_BUSY_PAUSE_MS;
      if (isFinal(value) || isOverloaded(value) || isShed(value)) {
        return {type: 'answered', res: answer.value, maybeApplied: false};
      }
      return {...unsent, maybeApplied: answer.value.type === 'unknown'};
    },
    apply(instance, record) {
      if (instance === self) return;
      const known = peers.get(instance)?.client;
      if (record === undefined) {
        known?.close();
        peers.delete(instance);
        usable.onChanged();
        return;
      }
      const client = clientOf(record.address, known);
      peers.set(instance, createPeer(instance, record, client));
      usable.onChanged();
    },
    advisers() {
      const now = clock.monotonic();
      const found = new Map<string, ports.Adviser>();
      for (const [instance, peer] of peers) {
        if (peer.backoffUntil <= now) found.set(instance, peer.adviser);
      }
      return found;
    },
    ping(instance, timeoutMs) {
      const peer = peers.get(instance);
      if (peer === undefined) return Promise.resolve(true);
      return peerProtocol.ping(peer.client, timeoutMs);
    },
    markLost(instance) {
      const peer = peers.get(instance);
      if (peer !== undefined) backOff(peer);
    },
    allReadRanges() {
      for (const {record} of peers.values())
        if (record.readsRanges !== true) return false;
      return true;
    },
    maxCores: () =>
      usable.list().reduce((max, {cores}) => Math.max(max, cores), 0),
    *relayPeers() {
      const now = clock.monotonic();
      for (const [instance, {record, backoffUntil}] of peers) {
        if (backoffUntil > now) continue;
        const {domain, address, cores = 0} = record;
        yield {instance, domain, address, cores};
      }
    },
    standbyCandidates: () => usable.list(),
    close() {
      for (const peer of peers.values()) peer.client.close();
    },
  };
}

/** Whether no other peer could give a better answer. */
function isFinal(res: peerProtocol.RelayRes): boolean {
  switch (res.type) {
    case 'ok':
    case 'absent':
    case 'invalid':
    case 'outdated_caller':
      return true;
    case 'not_run':
    case 'unknown':
      return false;
  }
}

/** Whether the peer reaches a store that accepts no more appends. */
function isOverloaded(res: peerProtocol.RelayRes): boolean {
  return res.type === 'not_run' && res.isStoreOverloaded === true;
}

/** Whether the peer knows that the cell can't take the job on. */
function isShed(res: peerProtocol.RelayRes): boolean {
  return res.type === 'not_run' && res.isCellOverloaded === true;
}

function isBusy(res: peerProtocol.RelayRes): boolean {
  return res.type === 'not_run' && res.isPeerBusy === true;
}
