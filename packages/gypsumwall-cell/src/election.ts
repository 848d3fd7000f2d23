/**
 * Claims the cell when it is vacant. A claim is only appended if the log still
 * ends where the claimant has read it, so only one of several entries that
 * claim succeeds.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as claimView from './claim_view.js';
import type * as logFollower from './log_follower.js';
import type * as ports from './ports.js';
import * as storeRecords from './store_records.js';
import * as failoverPolicy from './failover_policy.js';

/**
 * Interval at which a standby checks whether the cell is vacant; milliseconds.
 */
const ELECTION_CHECK_INTERVAL_MS = 50;
/** The same for entries that are not standbys; milliseconds. */
const OBSERVER_CHECK_INTERVAL_MS = 250;
/**
 * How long an entry that is not a standby waits before it claims a vacant cell,
 * so that the standbys come first. They claim it within 0.36 s; milliseconds.
 */
const OBSERVER_DELAY_MS = 600;
/**
 * Maximum random delay before a claim, so that entries don't claim at the same
 * time; milliseconds.
 */
const ELECTION_JITTER_MS = 120;
/**
 * How long an entry waits before it claims if a peer has more processor
 * capacity. The holder of 246 workers used 0.39 of a core on average on a quiet
 * day, and the small instances of that deployment have 0.32 of a core, so calls
 * would queue up. The delay is twice the jitter, so that each stronger entry
 * has tried before. If all stronger entries are lost, a takeover is delayed by
 * this time; milliseconds.
 */
const OUTRANKED_DELAY_MS = 240;
/**
 * Delay of the first claim of a new cell, when no entry has read which others
 * take part. Entries register within this time; milliseconds.
 */
const FIRST_CLAIM_DELAY_MS = 400;
/** Timeout of the append of a claim; milliseconds. */
const CLAIM_TIMEOUT_MS = 600;

/** Dependencies of an election. */
export interface ElectionParts {
  readonly self: failoverPolicy.FailoverView['self'];
  readonly cellLog: ports.KeyedLog;
  readonly follower: logFollower.LogFollower;
  readonly claim: () => claimView.CellClaim | undefined;
  /** When a record of the cell's log was last read. */
  readonly lastRecordAt: () => types.clock.MonotonicMs;
  /** Whether the holder probe considers the holder lost. */
  readonly isHolderLost: () => boolean;
  readonly takeovers: () => readonly types.clock.MonotonicMs[];
  /** Longest pause between two recent records of the holder; milliseconds. */
  readonly longestPauseMs: () => number;
  readonly isHolder: () => boolean;
  readonly isLeaving: () => boolean;
  /** Whether this entry is a standby of its failure domain. */
  readonly isStandby: () => boolean;
  /**
   * Whether a peer has more processor capacity, or the peers aren't known yet.
   */
  readonly isOutranked: () => boolean;
  /** Called before a claim is sent. */
  readonly onClaimSent: (at: types.clock.MonotonicMs) => void;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
}

/** Takes part in elections until the signal aborts. */
export async function runElections(
  parts: ElectionParts,
  signal: AbortSignal,
): Promise<void> {
  const {self, follower, clock, logger} = parts;

  const pause = (spanMs: number) => types.clock.sleepFor(clock, spanMs, signal);

  function findVacancy(): failoverPolicy.Vacancy | undefined {
    if (parts.isHolder()) return undefined;
    return failoverPolicy.vacancyOf({
      claim: parts.claim(),
      self,
      lastRecordAt: parts.lastRecordAt(),
      reachableSince: follower.reachableSince(),
      isHolderLost: parts.isHolderLost(),
      takeovers: parts.takeovers(),
      longestPauseMs: parts.longestPauseMs(),
      isLeaving: parts.isLeaving(),
      now: clock.monotonic(),
    });
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      await pause(
        parts.isStandby()
          ? ELECTION_CHECK_INTERVAL_MS
          : OBSERVER_CHECK_INTERVAL_MS,
      );
      const found = findVacancy();
      if (found === undefined) continue;
      if (found !== 'own_predecessor' && !parts.isStandby()) {
        await pause(OBSERVER_DELAY_MS);
      }
      await pause(parts.random.next() * ELECTION_JITTER_MS);
      if (findVacancy() === 'never_held') await pause(FIRST_CLAIM_DELAY_MS);
      if (parts.isOutranked()) await pause(OUTRANKED_DELAY_MS);
      // A read in flight may contain the holder's next record: a slow read
      // looks like silence, and every claim because of that failed.
      if (findVacancy() === undefined || !(await follower.catchUp())) continue;
      const reason = findVacancy();
      if (reason !== undefined) await claimCell(reason);
    }
  }

  async function claimCell(reason: failoverPolicy.Vacancy): Promise<void> {
    const position = follower.position();
    if (position === undefined) return;
    const before = parts.claim();
    const generation = before === undefined ? 0 : before.generation + 1;
    const claim: storeRecords.ClaimRecord = {
      holder: self.entryId,
      instance: self.instance,
      generation,
      state: 'held',
      keepsBoundsSince: before?.keepsBoundsSince ?? generation,
    };
    const silentMs = clock.monotonic() - parts.lastRecordAt();
    parts.onClaimSent(clock.monotonic());
    const answer = await parts.cellLog.append(
      [storeRecords.encode({kind: 'claim', claim})],
      {
        expectedEndOffset: position,
        fence: {epoch: position + 1, sequence: 0},
        timeoutMs: CLAIM_TIMEOUT_MS,
      },
    );
    logger.info('claim_sent', {
      reason,
      at: position,
      silentMs: Math.round(silentMs),
      longestPauseMs: Math.round(parts.longestPauseMs()),
      outcome: result.isOk(answer)
        ? answer.value.type
        : types.stepError.describeError(answer.error),
    });
    // The log shows whether the claim was stored, even if the answer was lost.
    await follower.catchUp();
  }

  await run();
}
