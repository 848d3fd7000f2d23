/**
 * The entries that take part in the cell, as they registered themselves in the
 * jobs' log, and the adviser as reached through each. One that doesn't answer
 * is passed over for a while.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as httpClient from './http_client.js';
import * as peerProtocol from './peer_protocol.js';
import type * as ports from './ports.js';
import type * as standbyChoice from './standby_choice.js';
import type * as storeRecords from './store_records.js';

/**
 * How long a peer that didn't answer is passed over, doubled each time up to
 * the longest: each try of a peer that is gone for good costs a job the wait
 * for an answer. One that starts anew registers and is tried at once; ms.
 */
const FIRST_BACKOFF_MS = 2_000;
const MAX_BACKOFF_MS = 30_000;
/** A peer that lives answers a ping within 10 ms; milliseconds. */
const PING_TIMEOUT_MS = 120;
/** Connections to one peer: calls wait on each other at the adviser anyway. */
const MAX_CONNECTIONS = 8;

/** How a call is handed on. */
export interface RelayLimits {
  /** Instance to be asked first. */
  readonly preferred: string | undefined;
  /** Whether only that one is asked. */
  readonly onlyPreferred: boolean;
  /** Time for one peer's answer, and for all of them; milliseconds. */
  readonly peerTimeoutMs: number;
  readonly totalTimeoutMs: number;
}

/** What handing a call on came to. */
export type RelayOutcome =
  | {readonly type: 'answered'; readonly res: peerProtocol.RelayRes}
  /** Nobody answered for certain; a peer may have done it all the same. */
  | {
      readonly type: 'unanswered';
      readonly maybeApplied: boolean;
      /** Whether a peer got the call, lives, and needs longer for it. */
      readonly isSlow: boolean;
    };

interface Peer {
  readonly record: storeRecords.EntryRecord;
  readonly client: httpClient.HttpClient;
  readonly adviser: ports.Adviser;
  backoffUntil: types.clock.MonotonicMs;
  nextBackoffMs: number;
}

/** The peers of one entry. */
export interface PeerDirectory {
  /** Folds a record of an entry; its own is left out. */
  apply(instance: string, record: storeRecords.EntryRecord | undefined): void;
  /** Peers that may be asked now, by instance. */
  advisers(): Map<string, ports.Adviser>;
  /** Hands a caller's call to peers until one answers for certain. */
  relay(req: peerProtocol.RelayReq, limits: RelayLimits): Promise<RelayOutcome>;
  /** Whether a peer answers in time; one that isn't known is left in peace. */
  ping(instance: string, timeoutMs: number): Promise<boolean>;
  /** A peer was found to be lost by other means than a call. */
  markLost(instance: string): void;
  /** Cores of the strongest peer that isn't passed over; 0 without peers. */
  maxCores(): number;
  /** Peers that may stand by for the cell: those that aren't passed over. */
  standbyCandidates(): Iterable<standbyChoice.StandbyCandidate>;
  close(): void;
}

/** Creates an empty directory. */
export function createPeerDirectory(
  self: string,
  clock: types.clock.Clock,
): PeerDirectory {
  const peers = new Map<string, Peer>();

  function createPeer(record: storeRecords.EntryRecord): Peer {
    const client = httpClient.createHttpClient(record.address, MAX_CONNECTIONS);
    const direct = peerProtocol.createPeerAdviser(client);
    const peer: Peer = {
      record,
      client,
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

  /** A refusal by the adviser behind a peer is an answer of the peer. */
  function recordAnswer(
    peer: Peer,
    answer: result.Result<unknown, types.stepError.StepError>,
  ): void {
    if (result.isOk(answer)) peer.nextBackoffMs = FIRST_BACKOFF_MS;
    else if (answer.error.kind !== 'refused') backOff(peer);
  }

  /**
   * A call that was handed on wasn't answered in time: true if the peer lives.
   * At a slow store it waits for its own append. Passed over for that, it got
   * no calls any more, and 45 entries appended one by one.
   */
  async function checkUnanswered(
    peer: Peer,
    err: types.stepError.StepError,
  ): Promise<boolean> {
    if (err.kind === 'refused') return false;
    const isAlive =
      err.kind === 'timeout' &&
      (await peerProtocol.ping(peer.client, PING_TIMEOUT_MS));
    if (!isAlive) backOff(peer);
    return isAlive;
  }

  function backOff(peer: Peer): void {
    const now = clock.monotonic();
    // Calls that were open together fail together, and count once.
    if (peer.backoffUntil > now) return;
    peer.backoffUntil = types.clock.after(now, peer.nextBackoffMs);
    const doubled = peer.nextBackoffMs * 2;
    peer.nextBackoffMs = Math.min(MAX_BACKOFF_MS, doubled);
  }

  function usablePeers({preferred, onlyPreferred}: RelayLimits): Peer[] {
    const now = clock.monotonic();
    const first = preferred === undefined ? undefined : peers.get(preferred);
    const others = onlyPreferred
      ? []
      : [...peers.values()].filter((peer) => peer !== first);
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
          if (answer.error.effect === 'unknown') maybeApplied = true;
          isSlow = (await checkUnanswered(peer, answer.error)) || isSlow;
          continue;
        }
        recordAnswer(peer, answer);
        if (isFinal(answer.value)) {
          return {type: 'answered', res: answer.value};
        } else if (answer.value.type === 'unknown') {
          maybeApplied = true;
        }
      }
      return {type: 'unanswered', maybeApplied, isSlow};
    },
    apply(instance, record) {
      if (instance === self) return;
      peers.get(instance)?.client.close();
      if (record === undefined) peers.delete(instance);
      else peers.set(instance, createPeer(record));
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
    maxCores() {
      const now = clock.monotonic();
      const cores = [...peers.values()]
        .filter((peer) => peer.backoffUntil <= now)
        .map((peer) => peer.record.cores ?? 0);
      return Math.max(0, ...cores);
    },
    *standbyCandidates() {
      const now = clock.monotonic();
      for (const [instance, {record, backoffUntil: passedOverUntil}] of peers) {
        if (passedOverUntil > now) continue;
        yield {instance, domain: record.domain, cores: record.cores ?? 0};
      }
    },
    close() {
      for (const peer of peers.values()) peer.client.close();
    },
  };
}

/** Whether another peer could do no better. */
function isFinal(res: peerProtocol.RelayRes): boolean {
  switch (res.type) {
    case 'ok':
    case 'absent':
    case 'invalid':
      return true;
    case 'not_run':
    case 'unknown':
      return false;
  }
}
