/**
 * State of the claim on a failure domain. The one holder of the claim places
 * the domain's tasks. docs/design/001-decisions.md describes the protocol and
 * the failures that it tolerates.
 */
import type * as types from '@gypsumwall/types';

/** State of the claim on this entry's domain, as this entry knows it. */
export type ClaimState =
  | {readonly type: 'none'}
  | {
      readonly type: 'held_by_other';
      readonly epoch: number;
      readonly holder: types.ids.EntryId;
    }
  /** This entry's own claim after its deadline; it may start no tasks. */
  | {readonly type: 'lapsed'; readonly epoch: number}
  | {
      readonly type: 'held';
      readonly epoch: number;
      /** The holder may start no effect after this moment. */
      readonly deadline: types.clock.MonotonicMs;
    };
