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
  slowdown(): number;
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
  noteListed(state: 'live' | 'leaving'): void;
  /** Silent though it was called; false before the first answer is due. */
  isUnanswered(): boolean;
}

const HEARTBEATS_IN_SILENCE = 3;

/** Makes a link that has not heard its peer yet. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const {address, failureDomain, client, clock} = options;
  // Short enough that a silent connection is replaced, and the next heartbeat
  // answered on a new one, before the peer itself counts as silent.
  const timeoutMs = options.silenceMs / HEARTBEATS_IN_SILENCE;
  let entryId = types.ids.brand<types.ids.EntryId>('');
  let configOffset = 0;
  let leaving = false;
  let listedLeavingUntil: types.clock.MonotonicMs | undefined;
  let heardAt: types.clock.MonotonicMs | undefined;
  let wasCalled = false;
  let told = '';

  function state(): domainView.PeerEntry['state'] {
    if (leaving || isListedLeaving()) return 'leaving';
    if (heardAt === undefined) return 'silent';
    const silenceMs = options.silenceMs * options.slowdown();
    const silentAt = types.clock.after(heardAt, silenceMs);
    return clock.monotonic() < silentAt ? 'live' : 'silent';
  }

  /** A list that lags may say so of the process before this one. */
  function isListedLeaving(): boolean {
    if (listedLeavingUntil === undefined) return false;
    return clock.monotonic() < listedLeavingUntil;
  }

  function announce() {
    const now = `${entryId} ${state()}`;
    if (now === told) return;
    told = now;
    options.onChange();
  }

  function noteAnswer(res: protocol.peer.HeartbeatResponse) {
    // Another id at the same address is a new process: nothing that was said
    // of the old one holds for it.
    if (res.entryId !== entryId) leaving = false;
    entryId = types.ids.brand(res.entryId);
    configOffset = Number(res.configOffset);
    leaving ||= res.leaving;
    heardAt = clock.monotonic();
    options.onLeavingInstances(res.leavingInstances);
  }

  async function beat() {
    const req = options.ownHeartbeat();
    const answer = await client.heartbeat(req, timeoutMs);
    wasCalled = true;
    if (answer.isOk) {
      noteAnswer(answer.value);
    } else if (answer.error.effect === 'unknown') {
      client.replaceConnection();
    } else {
      // Refused: the process is gone, and silent from now on.
      heardAt = undefined;
    }
    announce();
  }

  return {
    isUnanswered: () => wasCalled && state() === 'silent',
    peer: () => ({
      entryId,
      failureDomain,
      address,
      state: state(),
      configOffset,
    }),
    noteListed: (listed) => {
      if (listed === 'leaving') {
        const now = clock.monotonic();
        listedLeavingUntil = types.clock.after(now, options.listLagMs);
      }
      announce();
    },
    run: async (signal) => {
      while (!signal.aborted) {
        const sentAt = clock.monotonic();
        await beat();
        const spanMs = options.heartbeatMs * options.slowdown();
        const nextAt = types.clock.after(sentAt, spanMs);
        await clock.sleepUntil(nextAt, signal);
      }
    },
  };
}
