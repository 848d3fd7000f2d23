/**
 * Tries to take the cell whenever it may be taken. The claim is appended only
 * where the log ends, so one of several entries that try gets it.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as claimView from './claim_view.js';
import type * as logFollower from './log_follower.js';
import type * as ports from './ports.js';
import * as storeRecords from './store_records.js';
import * as failoverPolicy from './failover_policy.js';

/** How often it is looked whether the cell may be taken; milliseconds. */
const ELECTION_TICK_MS = 50;
/** The same for entries that don't stand by; milliseconds. */
const OBSERVER_TICK_MS = 250;
/**
 * Entries that don't stand by leave the cell to those that do for so long:
 * these claim it within 0.36 s of finding it free; milliseconds.
 */
const STANDBYS_FIRST_MS = 600;
/** Entries try to take the cell this far apart, by chance; milliseconds. */
const ELECTION_SPREAD_MS = 120;
/**
 * An entry leaves the cell to stronger ones for so long. The holder of 246
 * workers took 0.39 of a core on the mean of a quiet day, and the small
 * instances there have 0.32: the calls would wait in line. Twice the spread,
 * so that each of the stronger ones has tried; if all of them are gone, a
 * takeover is that much later; milliseconds.
 */
const STRONGER_FIRST_MS = 240;
/**
 * At a cell's very first start nobody has read who else takes part; entries
 * register within this time; milliseconds.
 */
const FIRST_CLAIM_AFTER_MS = 400;
/** Time given to the append of a claim; milliseconds. */
const CLAIM_TIMEOUT_MS = 600;

/** What an election looks at. */
export interface ElectionParts {
  readonly self: failoverPolicy.FailoverView['self'];
  readonly cellLog: ports.KeyedLog;
  readonly follower: logFollower.LogFollower;
  readonly claim: () => claimView.CellClaim | undefined;
  /** When a record of the cell's log was last read. */
  readonly lastRecordAt: () => types.clock.MonotonicMs;
  /** See the probe of the holder. */
  readonly isHolderLost: () => boolean;
  readonly takeovers: () => readonly types.clock.MonotonicMs[];
  readonly isHolder: () => boolean;
  readonly isLeaving: () => boolean;
  /** See the choice of standbys. */
  readonly isStandby: () => boolean;
  /** Whether a peer has more processor, or the peers aren't known yet. */
  readonly isOutranked: () => boolean;
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

  function vacancy(): failoverPolicy.Vacancy | undefined {
    if (parts.isHolder()) return undefined;
    return failoverPolicy.vacancyOf({
      claim: parts.claim(),
      self,
      lastRecordAt: parts.lastRecordAt(),
      reachableSince: follower.reachableSince(),
      holderLost: parts.isHolderLost(),
      takeovers: parts.takeovers(),
      leaving: parts.isLeaving(),
      now: clock.monotonic(),
    });
  }

  async function run(): Promise<void> {
    while (!signal.aborted) {
      await pause(parts.isStandby() ? ELECTION_TICK_MS : OBSERVER_TICK_MS);
      const found = vacancy();
      if (found === undefined) continue;
      if (found !== 'own_predecessor' && !parts.isStandby()) {
        await pause(STANDBYS_FIRST_MS);
      }
      await pause(parts.random.next() * ELECTION_SPREAD_MS);
      if (vacancy() === 'never_held') await pause(FIRST_CLAIM_AFTER_MS);
      if (parts.isOutranked()) await pause(STRONGER_FIRST_MS);
      // What is on its way may bring the holder's next record: a read that
      // takes long to arrive looks like silence, and each claim for that was a
      // write in vain.
      if (vacancy() === undefined || !(await follower.catchUp())) continue;
      const reason = vacancy();
      if (reason !== undefined) await claimCell(reason);
    }
  }

  async function claimCell(reason: failoverPolicy.Vacancy): Promise<void> {
    const position = follower.position();
    if (position === undefined) return;
    const before = parts.claim();
    const claim: storeRecords.ClaimRecord = {
      holder: self.entryId,
      instance: self.instance,
      generation: before === undefined ? 0 : before.generation + 1,
      state: 'held',
    };
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
      outcome: result.isOk(answer)
        ? answer.value.type
        : types.stepError.describeError(answer.error),
    });
    // Whether it stands is read from the log, also if the answer was lost.
    await follower.catchUp();
  }

  await run();
}
