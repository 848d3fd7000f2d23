/**
 * Records of the stream `requests`: intents and outcomes of requests that may
 * not be repeated. Only the first intent for a key, in log order, may run. The
 * records are stored as JSON, so the field names must stay.
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
      /** SHA-256 of the body, to detect a key that is reused with another. */
      readonly bodyHash: string;
      /** Without an outcome this long after the append, it is `unknown`. */
      readonly windowMs: number;
      readonly acceptedAt: types.clock.WallMs;
    }
  | {
      readonly type: 'outcome';
      readonly team: types.ids.TeamId;
      readonly key: types.ids.IdempotencyKey;
      readonly requestId: string;
      readonly outcome: types.outcome.Outcome;
      /** The answer of a `done` request in base64. */
      readonly answer?: string;
      readonly contentType?: string;
    };
