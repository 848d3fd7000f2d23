/**
 * Retries of one team as a share of its first tries (a token bucket). When
 * upstreams fail, retries would multiply the load just then; with a budget
 * they add at most that share to it.
 */

/** The bucket of one team. */
export interface RetryBudget {
  /** A first try was sent; it earns `share` of a retry. */
  earn(share: number): void;
  /** Takes one retry; false when there is none left. */
  take(): boolean;
}

/** A team with few requests may retry its first ones, too. */
const FIRST_TOKENS = 3;
/** A long quiet time saves up no more than this. */
const MOST_TOKENS = 10;
/** Ten times a tenth is a little less than one in floating point. */
const WHOLE_TOKEN = 1 - 1e-9;

/** Makes a bucket with a few tokens in it. */
export function createRetryBudget(): RetryBudget {
  let tokens = FIRST_TOKENS;
  return {
    earn: (share) => {
      tokens = Math.min(MOST_TOKENS, tokens + share);
    },
    take: () => {
      if (tokens < WHOLE_TOKEN) return false;
      tokens -= 1;
      return true;
    },
  };
}
