/**
 * The taker's part of the claim protocol: finds out whether the domain's claim
 * may be taken over, and which witness proves it. It appends nothing itself.
 */
import * as crypto from 'node:crypto';
import type * as records from '@gypsumwall/records';
import * as types from '@gypsumwall/types';
import type * as claimFold from './claim_fold.js';
import * as claimHolder from './claim_holder.js';
import type * as claimKeeperOptions from './claim_keeper_options.js';
import type * as claimPromises from './claim_promises.js';
import * as claimTiming from './claim_timing.js';
import type * as domainView from './domain_view.js';

/** Finds a witness for a takeover. */
export interface ClaimTaker {
  /** When this entry may try a takeover; the takers try one after another. */
  turnAt(): types.clock.MonotonicMs;
  /** The witness for a takeover; undefined while the claim may be held. */
  findWitness(): Promise<records.domainRecords.Witness | undefined>;
  /** Must be called regularly; observes whether all members left the list. */
  checkList(): void;
}

/** When this entry first observed a condition of the claim with an epoch. */
interface Observation {
  readonly epoch: number;
  readonly at: types.clock.MonotonicMs;
}

/** Creates the taker's part of a keeper. */
export function createClaimTaker(
  options: claimKeeperOptions.ClaimKeeperOptions,
  fold: claimFold.ClaimFold,
  promises: claimPromises.ClaimPromises,
): ClaimTaker {
  const {clock, self} = options;
  const callTimeoutMs = options.ttlMs / claimTiming.CALL_TIMEOUTS_PER_TTL;
  const startedAt = clock.monotonic();
  let allGoneObservation: Observation | undefined;
  let holderGoneObservation: Observation | undefined;

  function domainPeers(): readonly domainView.PeerEntry[] {
    return options
      .view()
      .peers.filter((peer) => peer.failureDomain === options.failureDomain);
  }

  function checkList() {
    const newest = fold.newest();
    if (newest === undefined || !areMembersUnlisted(newest)) {
      allGoneObservation = undefined;
    } else if (allGoneObservation?.epoch !== newest.epoch) {
      allGoneObservation = {epoch: newest.epoch, at: clock.monotonic()};
    }
  }

  /**
   * Whether the members of the claim left the list: the list is current, and
   * all entries of the domain in the view answer and are neither the holder nor
   * a named peer.
   */
  function areMembersUnlisted(newest: claimFold.NewestClaim): boolean {
    const fetchedAt = options.view().listFetchedAt;
    if (fetchedAt === undefined) return false;
    const staleAt = types.clock.after(fetchedAt, options.listLagMs);
    if (clock.monotonic() >= staleAt) return false;
    const members = new Set([newest.holder, ...newest.named]);
    return domainPeers().every(
      (peer) =>
        peer.entryId !== '' &&
        peer.state !== 'silent' &&
        !members.has(peer.entryId),
    );
  }

  /** Whether `allGoneMs` has passed since all members left the list. */
  function isAllGoneWaitOver(newest: claimFold.NewestClaim): boolean {
    if (allGoneObservation?.epoch !== newest.epoch) return false;
    const since = Math.max(
      allGoneObservation.at,
      fold.headReadAt(),
    ) as types.clock.MonotonicMs;
    return clock.monotonic() >= types.clock.after(since, newest.allGoneMs);
  }

  async function findWitness(): Promise<
    records.domainRecords.Witness | undefined
  > {
    const newest = fold.newest();
    if (newest === undefined || newest.released) return {type: 'vacant'};
    const req = {taker: self, epoch: newest.epoch, seen: newest.head};
    if (newest.named.includes(self)) {
      const reply = promises.answerWitness(req);
      if (reply.type === 'released') return {type: 'named_peer', entryId: self};
    }
    const view = options.view();
    const holder = claimHolder.resolvePeer(newest, newest.holder, view);
    const named = claimHolder
      .resolveNamedPeers(newest, view)
      .filter((peer) => peer.entryId !== self);
    const [holderReply, ...replies] = await Promise.all(
      [holder, ...named].map((peer) =>
        options.peers.requestWitness(peer, req, callTimeoutMs),
      ),
    );
    const witness = named.find(
      (_, index) => replies[index]?.type === 'released',
    );
    if (witness !== undefined) {
      return {type: 'named_peer', entryId: witness.entryId};
    }
    if (holderReply?.type === 'gone' && isHolderGoneWaitOver(newest)) {
      return {type: 'holder_gone'};
    }
    return isAllGoneWaitOver(newest) ? {type: 'all_gone'} : undefined;
  }

  /**
   * Whether a ttl has passed since the holder was first found ended. It may
   * have renewed by promises until its end, and its last starts may still be in
   * flight; workers accept none of them later than a ttl after the end.
   */
  function isHolderGoneWaitOver(newest: claimFold.NewestClaim): boolean {
    if (holderGoneObservation?.epoch !== newest.epoch) {
      holderGoneObservation = {epoch: newest.epoch, at: clock.monotonic()};
    }
    const acceptedUntil = types.clock.after(
      holderGoneObservation.at,
      newest.ttlMs,
    );
    return clock.monotonic() >= acceptedUntil;
  }

  return {
    findWitness,
    checkList,
    turnAt: () => {
      const newest = fold.newest();
      const takeoverPossibleAt =
        newest === undefined
          ? startedAt
          : newest.released
            ? fold.headReadAt()
            : types.clock.after(fold.headReadAt(), newest.ttlMs);
      const candidates = domainPeers()
        .filter((peer) => peer.state === 'live' && peer.entryId !== '')
        .map((peer) => peer.entryId)
        .filter((entryId) => entryId !== newest?.holder);
      const turn = takeoverTurn(self, candidates, `${newest?.head ?? 'none'}`);
      const stepMs = options.ttlMs / claimTiming.RENEWALS_PER_TTL;
      return types.clock.after(takeoverPossibleAt, turn * stepMs);
    },
  };
}

/** How many candidates come before this entry in rendezvous order. */
function takeoverTurn(
  self: types.ids.EntryId,
  candidates: readonly types.ids.EntryId[],
  key: string,
): number {
  const score = (entryId: string) =>
    crypto.createHash('sha256').update(`${key} ${entryId}`).digest('hex');
  const own = score(self);
  return candidates.filter(
    (entryId) => entryId !== self && score(entryId) > own,
  ).length;
}
