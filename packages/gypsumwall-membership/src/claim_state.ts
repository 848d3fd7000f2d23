/**
 * The claim on a failure domain: its one holder places the domain's tasks.
 * See docs/design/001-decisions.md for the protocol and what it survives.
 */
import type * as types from '@gypsumwall/types';

/** What this entry believes about the claim on its domain. */
export type ClaimState =
  | {readonly type: 'none'}
  | {
      readonly type: 'held_by_other';
      readonly epoch: number;
      readonly holder: types.ids.EntryId;
    }
  /** This entry's own claim, past its deadline: it may start nothing. */
  | {readonly type: 'lapsed'; readonly epoch: number}
  | {
      readonly type: 'held';
      readonly epoch: number;
      /** No effect may be started after it. */
      readonly deadline: types.clock.MonotonicMs;
    };
