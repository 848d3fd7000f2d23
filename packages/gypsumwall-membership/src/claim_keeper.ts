/**
 * Keeps an entry's part in the claim on its failure domain: holds it, or
 * waits to take it, and answers as a peer named on it.
 */
import * as result from 'true-myth/result';
import type * as records from '@gypsumwall/records';
import * as types from '@gypsumwall/types';
import * as claimFold from './claim_fold.js';
import * as claimHolder from './claim_holder.js';
import type * as claimKeeperOptions from './claim_keeper_options.js';
import type * as claimPeers from './claim_peers.js';
import * as claimPromises from './claim_promises.js';
import * as claimTaker from './claim_taker.js';
import * as claimTiming from './claim_timing.js';
import type * as claimState from './claim_state.js';
import * as wakeUp from './wake_up.js';

/** An entry's part in its domain's claim. */
export interface ClaimKeeper {
  /** The one loop: renews or waits to take, until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
  /** Takes a record of the domain's stream; see `ClaimFold.apply`. */
  apply(
    offset: number,
    record: records.domainRecords.DomainRecord,
    readAt: types.clock.MonotonicMs,
  ): void;
  /** For a snapshot of the stream. */
  newest(): claimFold.NewestClaim | undefined;
  /** Takes a snapshot's claim; see `ClaimFold.restore`. */
  restore(
    newest: claimFold.NewestClaim | undefined,
    readAt: types.clock.MonotonicMs,
  ): void;
  /** Looks at the clock: a process that was paused finds its claim lapsed. */
  state(): claimState.ClaimState;
  /**
   * Gives the claim up for good and lets the next entry claim at once. Call
   * it when every start has been answered or its `startBy` has passed: a
   * start still on its way would reach its worker beside the next holder's.
   * And call it before the peer service closes: a closed port is the proof
   * that this process holds nothing.
   */
  release(): Promise<result.Result<void, types.stepError.StepError>>;
  answerPromise(ask: claimPeers.PromiseAsk): claimPeers.PromiseReply;
  answerWitness(ask: claimPeers.WitnessAsk): claimPeers.WitnessReply;
}

/** Makes a keeper; nothing happens before `run`. */
export function createClaimKeeper(
  options: claimKeeperOptions.ClaimKeeperOptions,
): ClaimKeeper {
  const {clock, self, logger, ttlMs} = options;
  const patienceMs = ttlMs / claimTiming.PATIENCE_PER_TTL;
  const fold = claimFold.createClaimFold();
  const wake = wakeUp.createWakeUp(clock);
  const promises = claimPromises.createClaimPromises(clock);
  const holder = claimHolder.createClaimHolder(options, fold, wake);
  const taker = claimTaker.createClaimTaker(options, fold, promises);
  let givenUp = false;
  let announced = 'none';

  function state(): claimState.ClaimState {
    const newest = fold.newest();
    if (newest === undefined || newest.released) return {type: 'none'};
    const {epoch} = newest;
    if (newest.holder !== self) {
      return {type: 'held_by_other', epoch, holder: newest.holder};
    }
    const deadline = holder.deadline(newest);
    if (givenUp || deadline === undefined || clock.monotonic() >= deadline) {
      return {type: 'lapsed', epoch};
    }
    return {type: 'held', epoch, deadline};
  }

  function announce() {
    const now = state();
    const text = now.type === 'none' ? 'none' : `${now.type} ${now.epoch}`;
    if (text === announced) return;
    logger.info('claim_changed', {from: announced, to: text});
    announced = text;
    options.onChange?.(now);
  }

  function noteNewest() {
    const newest = fold.newest();
    if (newest !== undefined) {
      promises.forgetBefore(newest.epoch);
      holder.noteNewest(newest);
    }
    wake.wake();
    announce();
  }

  /** Returns when to look again. */
  async function holdOn(
    newest: claimFold.NewestClaim,
  ): Promise<types.clock.MonotonicMs> {
    const startedAt = clock.monotonic();
    await holder.renew(newest);
    return types.clock.after(startedAt, ttlMs / claimTiming.RENEWALS_PER_TTL);
  }

  /** Returns when to look again. */
  async function tryToTake(): Promise<types.clock.MonotonicMs> {
    const turnAt = taker.turnAt();
    const lookAgainAt = types.clock.after(clock.monotonic(), patienceMs);
    if (clock.monotonic() < turnAt) {
      return turnAt < lookAgainAt ? turnAt : lookAgainAt;
    }
    if (!options.isCaughtUp()) return lookAgainAt;
    const before = fold.newest();
    const witness = await taker.findWitness();
    // Asking took time: the holder's renewal may have come in meanwhile.
    if (witness === undefined || fold.newest() !== before) return lookAgainAt;
    if (givenUp) return lookAgainAt;
    await holder.claim(before, witness);
    const spreadMs = patienceMs * options.random.next();
    return types.clock.after(clock.monotonic(), spreadMs);
  }

  async function run(signal: AbortSignal) {
    signal.addEventListener('abort', () => wake.wake(), {once: true});
    while (!signal.aborted && !givenUp) {
      taker.lookAtList();
      const newest = fold.newest();
      const isOwn = newest?.holder === self && !newest.released;
      const nextAt = isOwn ? await holdOn(newest) : await tryToTake();
      announce();
      const seen = fold.newest();
      await wake.waitUntil(
        nextAt,
        () => signal.aborted || givenUp || fold.newest() !== seen,
      );
    }
    announce();
  }

  async function release() {
    // First of all, so that no renewal under way can bring the claim back.
    givenUp = true;
    wake.wake();
    announce();
    const newest = fold.newest();
    if (newest?.holder !== self || newest.released) {
      return result.ok<void, types.stepError.StepError>(undefined);
    }
    const answer = await options.appendRecord({
      type: 'release',
      epoch: newest.epoch,
      holder: self,
    });
    return answer.map(() => undefined);
  }

  return {
    run,
    state,
    release,
    newest: () => fold.newest(),
    answerPromise: (ask) => promises.answerPromise(ask),
    answerWitness: (ask) => promises.answerWitness(ask),
    apply: (offset, record, readAt) => {
      if (fold.apply(offset, record, readAt)) noteNewest();
    },
    restore: (newest, readAt) => {
      fold.restore(newest, readAt);
      noteNewest();
    },
  };
}
