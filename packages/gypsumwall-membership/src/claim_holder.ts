/**
 * The holder's part of the claim protocol. The holder renews its claim through
 * the log or, while the log doesn't answer, by promises of all peers named on
 * the claim.
 */
import type * as records from '@gypsumwall/records';
import * as types from '@gypsumwall/types';
import type * as claimFold from './claim_fold.js';
import type * as claimKeeperOptions from './claim_keeper_options.js';
import * as claimTiming from './claim_timing.js';
import type * as domainView from './domain_view.js';
import type * as claimPeers from './claim_peers.js';
import type * as loopTrigger from './loop_trigger.js';

/** Each named peer that doesn't answer blocks a renewal by promises. */
export const MAX_NAMED_PEERS = 4;

/** Appends and renews this entry's claim. */
export interface ClaimHolder {
  /** Until when this entry holds the claim; undefined if it doesn't hold it. */
  deadline(newest: claimFold.NewestClaim): types.clock.MonotonicMs | undefined;
  /** Appends a claim, which is held once it was read back from the log. */
  claim(
    replaced: claimFold.NewestClaim | undefined,
    witness: records.domainRecords.Witness,
  ): Promise<void>;
  /** Renews once; ends within the timeouts of the log and of the peers. */
  renew(newest: claimFold.NewestClaim): Promise<void>;
  /** Must be called after each change of the newest claim. */
  onNewestClaim(newest: claimFold.NewestClaim): void;
}

/** A renewal that was sent to the log and may or may not be valid there. */
interface PendingRenewal {
  readonly seen: number;
  readonly peers: readonly claimPeers.NamedPeer[];
}

/** Creates the holder's part of a keeper. */
export function createClaimHolder(
  options: claimKeeperOptions.ClaimKeeperOptions,
  fold: claimFold.ClaimFold,
  loop: loopTrigger.LoopTrigger,
): ClaimHolder {
  const {clock, self, logger, ttlMs} = options;
  const callTimeoutMs = ttlMs / claimTiming.CALL_TIMEOUTS_PER_TTL;
  const allGoneMs =
    options.allGoneMs ?? ttlMs * claimTiming.DEFAULT_ALL_GONE_TTLS;
  const sentAtByOffset = new Map<number, types.clock.MonotonicMs>();
  /**
   * Named peers whose processes ended before they could release the claim to a
   * taker. Only peers found ended before the deadline are added: one that is
   * found later may have taken over the claim before it ended. This process,
   * cut off from the log, would then hold the claim at the same time as the
   * next holder.
   */
  const endedPeers = new Set<types.ids.EntryId>();
  let held: {epoch: number; deadline: types.clock.MonotonicMs} | undefined;
  /**
   * Named peers can't stop a taker whose witness is `all_gone`: that taker has
   * not seen this process and the named peers on the list for a long time,
   * although they may only be cut off from the platform. A holder therefore
   * renews by promises only while the log or the list proves that the platform
   * sees it.
   */
  let unconfirmedUntil: types.clock.MonotonicMs | undefined;
  let pending: PendingRenewal[] = [];
  let isAppending = false;

  function extendDeadline(epoch: number, deadline: types.clock.MonotonicMs) {
    if (held?.epoch === epoch && held.deadline >= deadline) return;
    held = {epoch, deadline};
    loop.trigger();
  }

  /**
   * The answer to an append contains only the offset. Whether the record is
   * valid is known once the log was read up to it: a taker's claim may precede
   * it, and a holder that relied on the answer would hold the claim at the same
   * time as that taker.
   */
  function onNewestClaim(newest: claimFold.NewestClaim) {
    pending = pending.filter((renewal) => renewal.seen === newest.head);
    if (newest.holder !== self) return;
    const sentAt = sentAtByOffset.get(newest.head);
    if (sentAt === undefined) return;
    unconfirmedUntil = claimTiming.unconfirmedDeadline(
      sentAt,
      newest.allGoneMs,
      options.listLagMs,
    );
    for (const offset of sentAtByOffset.keys()) {
      if (offset < newest.head) sentAtByOffset.delete(offset);
    }
    extendDeadline(
      newest.epoch,
      claimTiming.holderDeadline(sentAt, newest.ttlMs),
    );
  }

  /** Returns whether the record is in the log or may still appear in it. */
  async function append(record: records.domainRecords.DomainRecord) {
    const sentAt = clock.monotonic();
    const answer = await options.appendRecord(record);
    if (answer.isErr) {
      logger.warn('claim_append_failed', {
        record: record.type,
        error: types.stepError.describeError(answer.error),
      });
      return answer.error.effect !== 'not_run';
    }
    sentAtByOffset.set(answer.value.offset, sentAt);
    const newest = fold.newest();
    if (newest !== undefined) onNewestClaim(newest);
    return true;
  }

  function selectPeersToName(): readonly claimPeers.NamedPeer[] {
    return options
      .view()
      .peers.filter(
        (peer) =>
          peer.failureDomain === options.failureDomain &&
          peer.state === 'live' &&
          peer.entryId !== '' &&
          peer.entryId !== self,
      )
      .map(({entryId, address}) => ({entryId, address}))
      .sort((left, right) => (left.entryId < right.entryId ? -1 : 1))
      .slice(0, MAX_NAMED_PEERS);
  }

  async function renewByLog(newest: claimFold.NewestClaim) {
    const peers = selectPeersToName();
    // From now on a taker may read this renewal and call the peers that it
    // names. Promises of these peers are therefore required too, until the log
    // shows whether the renewal is valid.
    const renewal = {seen: newest.head, peers};
    pending.push(renewal);
    isAppending = true;
    const mayAppear = await append({
      type: 'renew',
      epoch: newest.epoch,
      seen: newest.head,
      ...termsFor(peers),
    });
    isAppending = false;
    if (!mayAppear) pending = pending.filter((other) => other !== renewal);
  }

  function termsFor(peers: readonly claimPeers.NamedPeer[]) {
    const own = {entryId: self, address: options.address};
    const addresses: Record<types.ids.EntryId, string> = {};
    for (const peer of [own, ...peers]) addresses[peer.entryId] = peer.address;
    const named = peers.map((peer) => peer.entryId);
    return {holder: self, named, addresses, ttlMs, allGoneMs};
  }

  function isHeld(epoch: number): boolean {
    return held?.epoch === epoch && clock.monotonic() < held.deadline;
  }

  /** Whether the deadline results from a renewal sent at `since` or later. */
  function isRenewedSince(epoch: number, since: types.clock.MonotonicMs) {
    const requiredDeadline = claimTiming.holderDeadline(since, ttlMs);
    return held?.epoch === epoch && held.deadline >= requiredDeadline;
  }

  async function renewByPromises(newest: claimFold.NewestClaim) {
    const sentAt = clock.monotonic();
    const requiredPeers = [
      ...resolveNamedPeers(newest, options.view()),
      ...pending.flatMap((renewal) => renewal.peers),
    ].filter(
      (peer, index, all) =>
        !endedPeers.has(peer.entryId) &&
        all.findIndex((other) => other.entryId === peer.entryId) === index,
    );
    const req = {
      holder: self,
      epoch: newest.epoch,
      seen: newest.head,
      promiseMs: newest.ttlMs,
    };
    const confirmations = await Promise.all(
      requiredPeers.map(async (peer) => {
        const reply = await options.peers.requestPromise(
          peer,
          req,
          callTimeoutMs,
        );
        if (reply.type === 'gone' && isHeld(newest.epoch)) {
          endedPeers.add(peer.entryId);
        }
        return reply.type === 'promised' || endedPeers.has(peer.entryId);
      }),
    );
    const current = fold.newest();
    if (current?.epoch !== newest.epoch || current.released) return;
    if (!confirmations.every((isConfirmed) => isConfirmed)) {
      logger.warn('claim_promise_missing', {
        epoch: newest.epoch,
        asked: requiredPeers.length,
        missing: confirmations.filter((isConfirmed) => !isConfirmed).length,
      });
      return;
    }
    const promisedDeadline = claimTiming.holderDeadline(sentAt, newest.ttlMs);
    const limit = promiseRenewalLimit(newest);
    if (limit === undefined) return;
    extendDeadline(
      newest.epoch,
      promisedDeadline < limit ? promisedDeadline : limit,
    );
  }

  /**
   * Until when promises suffice for a renewal. Extends that moment if the list
   * has shown this process in time.
   */
  function promiseRenewalLimit(newest: claimFold.NewestClaim) {
    const {selfListedAt} = options.view();
    if (unconfirmedUntil === undefined || selfListedAt === undefined) {
      return unconfirmedUntil;
    }
    const confirmedUntil = claimTiming.unconfirmedDeadline(
      selfListedAt,
      newest.allGoneMs,
      options.listLagMs,
    );
    // A later list can't close a gap between two proofs: during the gap a taker
    // may have sent its claim, which can reach the log at any later moment.
    if (selfListedAt >= unconfirmedUntil) return unconfirmedUntil;
    if (confirmedUntil > unconfirmedUntil) unconfirmedUntil = confirmedUntil;
    return unconfirmedUntil;
  }

  return {
    onNewestClaim,
    claim: async (replaced, witness) => {
      await append({
        type: 'claim',
        replaces: replaced?.epoch ?? null,
        seen: replaced?.head ?? null,
        witness,
        ...termsFor(selectPeersToName()),
      });
    },
    deadline: (newest) =>
      held?.epoch === newest.epoch ? held.deadline : undefined,
    renew: async (newest) => {
      const startedAt = clock.monotonic();
      if (!isAppending) void renewByLog(newest);
      await loop.waitUntil(types.clock.after(startedAt, callTimeoutMs), () =>
        isRenewedSince(newest.epoch, startedAt),
      );
      if (isRenewedSince(newest.epoch, startedAt)) return;
      await renewByPromises(newest);
    },
  };
}

/** The peers named on a claim, with their addresses. */
export function resolveNamedPeers(
  newest: claimFold.NewestClaim,
  view: domainView.DomainView,
): readonly claimPeers.NamedPeer[] {
  return newest.named.map((entryId) => resolvePeer(newest, entryId, view));
}

/**
 * The holder or a named peer of a claim. The address at which this process
 * reaches it takes precedence over the one on the claim, since addresses may be
 * translated between the two.
 */
export function resolvePeer(
  newest: claimFold.NewestClaim,
  entryId: types.ids.EntryId,
  view: domainView.DomainView,
): claimPeers.NamedPeer {
  const knownPeer = view.peers.find((peer) => peer.entryId === entryId);
  const address = knownPeer?.address ?? newest.addresses[entryId] ?? '';
  return {entryId, address};
}
