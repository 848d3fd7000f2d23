/**
 * Records of the stream `requests`: the one run of each request that may not
 * be repeated. The first intent for a key, in log order, is the only one
 * that may run.
 */
import type * as types from '@gypsumwall/types';

/** A record of the stream. */
export type RequestRecord =
  | {
      readonly type: 'intent';
      readonly team: types.ids.TeamId;
      readonly key: types.ids.IdempotencyKey;
      readonly requestId: string;
      readonly entryId: types.ids.EntryId;
      readonly operation: string;
      /** SHA-256 of the body: a key may not be used for another request. */
      readonly bodyHash: string;
      /** The run ends within this time from the append, or is `unknown`. */
      readonly windowMs: number;
      readonly acceptedAt: types.clock.WallMs;
    }
  | {
      readonly type: 'outcome';
      readonly team: types.ids.TeamId;
      readonly key: types.ids.IdempotencyKey;
      readonly requestId: string;
      readonly outcome: types.outcome.Outcome;
      /** The answer of a `done` request, base64. */
      readonly answer?: string;
      readonly contentType?: string;
    };
