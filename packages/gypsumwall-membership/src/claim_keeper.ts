/**
 * Runs an entry's part of the claim protocol of its failure domain. The entry
 * holds the claim or waits to take it over and, as a peer that a claim names,
 * answers the claim's holder and the entries that want to take the claim over.
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
import * as loopTrigger from './loop_trigger.js';

/** An entry's part of the claim protocol of its domain. */
export interface ClaimKeeper {
  /** Renews the claim or waits to take it over, until `signal` aborts. */
  run(signal: AbortSignal): Promise<void>;
  /** Applies a record of the domain's stream; see `ClaimFold.apply`. */
  apply(
    offset: number,
    record: records.domainRecords.DomainRecord,
    readAt: types.clock.MonotonicMs,
  ): void;
  /** The newest claim, to be stored in a snapshot of the stream. */
  newest(): claimFold.NewestClaim | undefined;
  /** Restores a snapshot's claim; see `ClaimFold.restore`. */
  restore(
    newest: claimFold.NewestClaim | undefined,
    readAt: types.clock.MonotonicMs,
  ): void;
  /**
   * Returns the claim's state now. Each call reads the clock, so that a process
   * that was paused finds its claim lapsed.
   */
  state(): claimState.ClaimState;
  /**
   * Releases the claim for the rest of this process's life, so that the next
   * entry can claim at once. Call this only after every start of a task was
   * answered or the start's `startBy` has passed: a start still in flight could
   * reach its worker together with a start of the next holder. Call this before
   * the peer service closes: peers take a closed port as proof that this
   * process holds no claim.
   */
  release(): Promise<result.Result<void, types.stepError.StepError>>;
  answerPromise(req: claimPeers.PromiseRequest): claimPeers.PromiseReply;
  answerWitness(req: claimPeers.WitnessRequest): claimPeers.WitnessReply;
}

/** Creates a keeper; it does nothing before `run`. */
export function createClaimKeeper(
  options: claimKeeperOptions.ClaimKeeperOptions,
): ClaimKeeper {
  const {clock, self, logger, ttlMs} = options;
  const callTimeoutMs = ttlMs / claimTiming.CALL_TIMEOUTS_PER_TTL;
  const fold = claimFold.createClaimFold();
  const loop = loopTrigger.createLoopTrigger(clock);
  const promises = claimPromises.createClaimPromises(clock);
  const holder = claimHolder.createClaimHolder(options, fold, loop);
  const taker = claimTaker.createClaimTaker(options, fold, promises);
  let hasReleased = false;
  let reportedState = 'none';

  function state(): claimState.ClaimState {
    const newest = fold.newest();
    if (newest === undefined || newest.released) return {type: 'none'};
    const {epoch} = newest;
    if (newest.holder !== self) {
      return {type: 'held_by_other', epoch, holder: newest.holder};
    }
    const deadline = holder.deadline(newest);
    if (
      hasReleased ||
      deadline === undefined ||
      clock.monotonic() >= deadline
    ) {
      return {type: 'lapsed', epoch};
    }
    return {type: 'held', epoch, deadline};
  }

  function reportState() {
    const current = state();
    const stateText =
      current.type === 'none' ? 'none' : `${current.type} ${current.epoch}`;
    if (stateText === reportedState) return;
    logger.info('claim_changed', {from: reportedState, to: stateText});
    reportedState = stateText;
    options.onChange?.(current);
  }

  function onNewestClaim() {
    const newest = fold.newest();
    if (newest !== undefined) {
      promises.forgetBefore(newest.epoch);
      holder.onNewestClaim(newest);
    }
    loop.trigger();
    reportState();
  }

  /** Renews the claim once; returns when the next iteration of `run` is due. */
  async function renewClaim(
    newest: claimFold.NewestClaim,
  ): Promise<types.clock.MonotonicMs> {
    const startedAt = clock.monotonic();
    await holder.renew(newest);
    return types.clock.after(startedAt, ttlMs / claimTiming.RENEWALS_PER_TTL);
  }

  /**
   * Appends a claim if this entry's turn has come and a witness shows that
   * nobody holds the present one. Returns when the next iteration of `run` is
   * due.
   */
  async function tryTakeover(): Promise<types.clock.MonotonicMs> {
    const turnAt = taker.turnAt();
    const nextCheckAt = types.clock.after(clock.monotonic(), callTimeoutMs);
    if (clock.monotonic() < turnAt) {
      return turnAt < nextCheckAt ? turnAt : nextCheckAt;
    }
    if (!options.isCaughtUp()) return nextCheckAt;
    const previous = fold.newest();
    const witness = await taker.findWitness();
    // The holder's renewal may have arrived during the calls to the peers.
    if (witness === undefined || fold.newest() !== previous) return nextCheckAt;
    if (hasReleased) return nextCheckAt;
    await holder.claim(previous, witness);
    const spreadMs = callTimeoutMs * options.random.next();
    return types.clock.after(clock.monotonic(), spreadMs);
  }

  async function run(signal: AbortSignal) {
    signal.addEventListener('abort', () => loop.trigger(), {once: true});
    while (!signal.aborted && !hasReleased) {
      taker.checkList();
      const newest = fold.newest();
      const isOwn = newest?.holder === self && !newest.released;
      const nextAt = isOwn ? await renewClaim(newest) : await tryTakeover();
      reportState();
      const newestSeen = fold.newest();
      await loop.waitUntil(
        nextAt,
        () => signal.aborted || hasReleased || fold.newest() !== newestSeen,
      );
    }
    reportState();
  }

  async function release() {
    // Set before anything else, so that a renewal in flight can't restore the
    // claim.
    hasReleased = true;
    loop.trigger();
    reportState();
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
    answerPromise: (req) => promises.answerPromise(req),
    answerWitness: (req) => promises.answerWitness(req),
    apply: (offset, record, readAt) => {
      if (fold.apply(offset, record, readAt)) onNewestClaim();
    },
    restore: (newest, readAt) => {
      fold.restore(newest, readAt);
      onNewestClaim();
    },
  };
}
