/**
 * One peer and the loop of heartbeats to it. What the peer itself says beats
 * what the list says about it.
 */
import type * as protocol from '@gypsumwall/protocol';
import * as types from '@gypsumwall/types';
import type * as domainView from './domain_view.js';
import type * as peerClient from './peer_client.js';

/** Options of `createPeerLink`. */
export interface PeerLinkOptions {
  readonly address: string;
  readonly failureDomain: types.ids.FailureDomain;
  readonly client: peerClient.PeerClient;
  readonly clock: types.clock.Clock;
  readonly heartbeatMs: number;
  readonly silenceMs: number;
  readonly listLagMs: number;
  /** Factor on both spans now; 1 or more. */
  slowdownFactor(): number;
  /** What this process says of itself. */
  ownHeartbeat(): Parameters<peerClient.PeerClient['heartbeat']>[0];
  onChange(): void;
  /** Instances that the peer's list shows as leaving. */
  onLeavingInstances(ids: readonly string[]): void;
}

/** A peer, as it was last heard. */
export interface PeerLink {
  /** Sends heartbeats until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
  peer(): domainView.PeerEntry;
  /** The list's word, to be repeated with each list; leaving beats live. */
  onListed(state: 'live' | 'leaving'): void;
  /** Silent though it was called; false before the first answer is due. */
  isUnanswered(): boolean;
}

const HEARTBEAT_TIMEOUTS_PER_SILENCE = 3;

/** Makes a link that has not heard its peer yet. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const {address, failureDomain, client, clock} = options;
  // Short enough that a silent connection is replaced, and the next heartbeat
  // answered on a new one, before the peer itself counts as silent.
  const timeoutMs = options.silenceMs / HEARTBEAT_TIMEOUTS_PER_SILENCE;
  let entryId = types.ids.brand<types.ids.EntryId>('');
  let configOffset = 0;
  let isLeaving = false;
  let listedLeavingUntil: types.clock.MonotonicMs | undefined;
  let lastAnswerAt: types.clock.MonotonicMs | undefined;
  let hasBeenCalled = false;
  let announcedState = '';

  function state(): domainView.PeerEntry['state'] {
    if (isLeaving || isListedLeaving()) return 'leaving';
    if (lastAnswerAt === undefined) return 'silent';
    const silenceMs = options.silenceMs * options.slowdownFactor();
    const silentAt = types.clock.after(lastAnswerAt, silenceMs);
    return clock.monotonic() < silentAt ? 'live' : 'silent';
  }

  /** A list that lags may say so of the process before this one. */
  function isListedLeaving(): boolean {
    if (listedLeavingUntil === undefined) return false;
    return clock.monotonic() < listedLeavingUntil;
  }

  function announceState() {
    const now = `${entryId} ${state()}`;
    if (now === announcedState) return;
    announcedState = now;
    options.onChange();
  }

  function applyAnswer(res: protocol.peer.HeartbeatResponse) {
    // Another id at the same address is a new process: nothing that was said
    // of the old one holds for it.
    if (res.entryId !== entryId) isLeaving = false;
    entryId = types.ids.brand(res.entryId);
    configOffset = Number(res.configOffset);
    isLeaving ||= res.leaving;
    lastAnswerAt = clock.monotonic();
    options.onLeavingInstances(res.leavingInstances);
  }

  async function sendHeartbeat() {
    const req = options.ownHeartbeat();
    const answer = await client.heartbeat(req, timeoutMs);
    hasBeenCalled = true;
    if (answer.isOk) {
      applyAnswer(answer.value);
    } else if (answer.error.effect === 'unknown') {
      client.replaceConnection();
    } else {
      // Refused: the process is gone, and silent from now on.
      lastAnswerAt = undefined;
    }
    announceState();
  }

  return {
    isUnanswered: () => hasBeenCalled && state() === 'silent',
    peer: () => ({
      entryId,
      failureDomain,
      address,
      state: state(),
      configOffset,
    }),
    onListed: (listed) => {
      if (listed === 'leaving') {
        const now = clock.monotonic();
        listedLeavingUntil = types.clock.after(now, options.listLagMs);
      }
      announceState();
    },
    run: async (signal) => {
      while (!signal.aborted) {
        const sentAt = clock.monotonic();
        await sendHeartbeat();
        const spanMs = options.heartbeatMs * options.slowdownFactor();
        const nextAt = types.clock.after(sentAt, spanMs);
        await clock.sleepUntil(nextAt, signal);
      }
    },
  };
}
