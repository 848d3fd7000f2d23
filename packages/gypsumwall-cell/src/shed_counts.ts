/**
 * Counts the connections that were shed, and logs them in sums: a line for each
 * would let its clients fill the log.
 */
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as connectionLedger from './connection_ledger.js';

/** Numbers of connections by reason. */
export type CountsByReason = Readonly<
  Record<connectionLedger.ShedReason, number>
>;

/** The counts of one server. */
export interface ShedCounts {
  add(reason: connectionLedger.ShedReason): void;
  /** Since the start of the process. */
  counts(): CountsByReason;
}

/** Dependencies of the counts. */
export interface ShedCountsParts {
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
}

const LOG_INTERVAL_MS = 5_000;

/** Creates counts of 0. */
export function createShedCounts({clock, logger}: ShedCountsParts): ShedCounts {
  const counts = {
    too_many_requests: 0,
    answers_unread: 0,
    timed_out: 0,
    too_much_held: 0,
    slot_needed: 0,
    no_slot: 0,
  };
  let nextLogAt = clock.monotonic();
  return {
    add(reason) {
      counts[reason]++;
      if (clock.monotonic() < nextLogAt) return;
      nextLogAt = types.clock.after(clock.monotonic(), LOG_INTERVAL_MS);
      logger.warn('connections_shed', counts);
    },
    counts: () => ({...counts}),
  };
}
