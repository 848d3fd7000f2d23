/**
 * The holder's part: it renews its claim through the log and, when the log
 * doesn't answer, by the promises of every peer named on the claim.
 */
import type * as records from '@gypsumwall/records';
import * as types from '@gypsumwall/types';
import type * as claimFold from './claim_fold.js';
import type * as claimKeeperOptions from './claim_keeper_options.js';
import * as claimTiming from './claim_timing.js';
import type * as domainView from './domain_view.js';
import type * as claimPeers from './claim_peers.js';
import type * as loopTrigger from './loop_trigger.js';

/** Most peers named on a claim; each one can block a renewal by silence. */
export const MAX_NAMED_PEERS = 4;

/** Keeps this entry's claim alive. */
export interface ClaimHolder {
  /** Until when the claim is surely this entry's; undefined if it isn't. */
  deadline(newest: claimFold.NewestClaim): types.clock.MonotonicMs | undefined;
  /** Appends a claim; it's held once the log has been read up to it. */
  claim(
    replaced: claimFold.NewestClaim | undefined,
    witness: records.domainRecords.Witness,
  ): Promise<void>;
  /** Renews once. Ends within the patience for log and peers. */
  renew(newest: claimFold.NewestClaim): Promise<void>;
  /** To be called whenever the newest claim changed. */
  onNewestClaim(newest: claimFold.NewestClaim): void;
}

/** A renewal sent through the log of which it isn't known if it counts. */
interface UnconfirmedRenewal {
  readonly seen: number;
  readonly peers: readonly claimPeers.NamedPeer[];
}

/** Makes the holder's part of a keeper. */
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
   * Named peers that ended before they could let anyone take the claim. One
   * found gone after the deadline may have taken the claim itself before it
   * ended, and this process, cut off from the log, would hold beside the next.
   */
  const endedPeers = new Set<types.ids.EntryId>();
  let held: {epoch: number; deadline: types.clock.MonotonicMs} | undefined;
  /**
   * Named peers can't stop a taker whose witness is `all_gone`: to it this
   * process and they have long been off the list, though they are only cut
   * off. So a holder goes on by promises only as long as the log or the list
   * keeps proving that the platform sees it.
   */
  let unconfirmedUntil: types.clock.MonotonicMs | undefined;
  let unconfirmedRenewals: UnconfirmedRenewal[] = [];
  let isAppending = false;

  function extendDeadline(epoch: number, deadline: types.clock.MonotonicMs) {
    if (held?.epoch === epoch && held.deadline >= deadline) return;
    held = {epoch, deadline};
    loop.trigger();
  }

  /**
   * An append's answer only tells the offset. Whether the record counts is
   * known once the log has been read up to it: a taker's claim may stand
   * before it, and a holder that trusted the answer would hold beside it.
   */
  function onNewestClaim(newest: claimFold.NewestClaim) {
    unconfirmedRenewals = unconfirmedRenewals.filter(
      (renewal) => renewal.seen === newest.head,
    );
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

  /** Returns whether the record is in the log or may still appear there. */
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
    // From here on a taker may have read this renewal and go by its names,
    // so they are asked too until the log shows whether it counts.
    const doubt = {seen: newest.head, peers};
    unconfirmedRenewals.push(doubt);
    isAppending = true;
    const mayAppear = await append({
      type: 'renew',
      epoch: newest.epoch,
      seen: newest.head,
      ...termsFor(peers),
    });
    isAppending = false;
    if (!mayAppear)
      unconfirmedRenewals = unconfirmedRenewals.filter(
        (other) => other !== doubt,
      );
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

  /** Whether the deadline already counts from `since` or later. */
  function isRenewedSince(epoch: number, since: types.clock.MonotonicMs) {
    const requiredDeadline = claimTiming.holderDeadline(since, ttlMs);
    return held?.epoch === epoch && held.deadline >= requiredDeadline;
  }

  async function renewByPromises(newest: claimFold.NewestClaim) {
    const sentAt = clock.monotonic();
    const asked = [
      ...resolveNamedPeers(newest, options.view()),
      ...unconfirmedRenewals.flatMap((doubt) => doubt.peers),
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
      asked.map(async (peer) => {
        const reply = await options.peers.promise(peer, req, callTimeoutMs);
        if (reply.type === 'gone' && isHeld(newest.epoch)) {
          endedPeers.add(peer.entryId);
        }
        return reply.type === 'promised' || endedPeers.has(peer.entryId);
      }),
    );
    const now = fold.newest();
    if (now?.epoch !== newest.epoch || now.released) return;
    if (!confirmations.every((safe) => safe)) {
      logger.warn('claim_promise_missing', {
        epoch: newest.epoch,
        asked: asked.length,
        missing: confirmations.filter((safe) => !safe).length,
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

  /** Takes the list into account; returns when promises end to suffice. */
  function promiseRenewalLimit(newest: claimFold.NewestClaim) {
    const {selfListedAt} = options.view();
    if (unconfirmedUntil === undefined || selfListedAt === undefined) {
      return unconfirmedUntil;
    }
    const until = claimTiming.unconfirmedDeadline(
      selfListedAt,
      newest.allGoneMs,
      options.listLagMs,
    );
    // A gap in the proofs can't be mended by a later list: in the gap a taker
    // may have sent its claim, which may reach the log at any later moment.
    if (selfListedAt >= unconfirmedUntil) return unconfirmedUntil;
    if (until > unconfirmedUntil) unconfirmedUntil = until;
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

/** The peers that a claim names, with their addresses. */
export function resolveNamedPeers(
  newest: claimFold.NewestClaim,
  view: domainView.DomainView,
): readonly claimPeers.NamedPeer[] {
  return newest.named.map((entryId) => resolvePeer(newest, entryId, view));
}

/**
 * The holder or a named peer of a claim. Where it was heard comes before what
 * the claim says: addresses may be translated on the way.
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
