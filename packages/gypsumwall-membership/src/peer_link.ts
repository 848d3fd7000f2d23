/**
 * One peer and the heartbeat loop to it. The peer's own answers take precedence
 * over the list.
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
  /** Current factor on the heartbeat interval and on `silenceMs`; 1 or more. */
  slowdownFactor(): number;
  /** The heartbeat request that describes this process. */
  ownHeartbeat(): Parameters<peerClient.PeerClient['heartbeat']>[0];
  onChange(): void;
  /** Called with the instances that the peer's list shows as leaving. */
  onLeavingInstances(ids: readonly string[]): void;
}

/** A peer and its state. */
export interface PeerLink {
  /** Sends heartbeats until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
  peer(): domainView.PeerEntry;
  /** Must be called with each list that shows the peer; `leaving` overrides live. */
  onListed(state: 'live' | 'leaving'): void;
  /** Whether it is silent; false before the end of the first heartbeat. */
  isUnanswered(): boolean;
}

const HEARTBEAT_TIMEOUTS_PER_SILENCE = 3;

/** Creates a link to a peer that has not answered yet. */
export function createPeerLink(options: PeerLinkOptions): PeerLink {
  const {address, failureDomain, client, clock} = options;
  // Short enough to replace a silent connection and to get the next heartbeat
  // answered on the new one before the peer counts as silent.
  const timeoutMs = options.silenceMs / HEARTBEAT_TIMEOUTS_PER_SILENCE;
  let entryId = types.ids.brand<types.ids.EntryId>('');
  let configOffset = 0;
  let isLeaving = false;
  let listedLeavingUntil: types.clock.MonotonicMs | undefined;
  let lastAnswerAt: types.clock.MonotonicMs | undefined;
  let hasBeenCalled = false;
  let reportedState = '';

  function state(): domainView.PeerEntry['state'] {
    if (isLeaving || isListedLeaving()) return 'leaving';
    if (lastAnswerAt === undefined) return 'silent';
    const silenceMs = options.silenceMs * options.slowdownFactor();
    const silentAt = types.clock.after(lastAnswerAt, silenceMs);
    return clock.monotonic() < silentAt ? 'live' : 'silent';
  }

  /**
   * Whether the list shows the peer as leaving. This expires after one list
   * lag, since the list may mean the former process at the address.
   */
  function isListedLeaving(): boolean {
    if (listedLeavingUntil === undefined) return false;
    return clock.monotonic() < listedLeavingUntil;
  }

  function reportState() {
    const currentState = `${entryId} ${state()}`;
    if (currentState === reportedState) return;
    reportedState = currentState;
    options.onChange();
  }

  function applyAnswer(res: protocol.peer.HeartbeatResponse) {
    // Another id at the same address is a new process; the state of the former
    // one doesn't apply to it.
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
      // The connection was refused, so the process has ended and is silent from
      // now on.
      lastAnswerAt = undefined;
    }
    reportState();
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
      reportState();
    },
    run: async (signal) => {
      while (!signal.aborted) {
        const sentAt = clock.monotonic();
        await sendHeartbeat();
        const intervalMs = options.heartbeatMs * options.slowdownFactor();
        const nextAt = types.clock.after(sentAt, intervalMs);
        await clock.sleepUntil(nextAt, signal);
      }
    },
  };
}
