/**
 * Limits the retries of a team to a share of its first attempts, with a token
 * bucket. Without a limit, retries would multiply the load just when upstreams
 * fail. With it they add at most that share.
 */

/** The retry budget of one team. */
export interface RetryBudget {
  /** Adds `share` of a retry; to be called for each first attempt. */
  refill(share: number): void;
  /** Takes one retry; returns false if the budget is exhausted. */
  tryTake(): boolean;
}

/** The initial tokens, so that a team with few requests can retry too. */
const INITIAL_TOKENS = 3;
/** The budget never grows above this. */
const MAX_TOKENS = 10;
/** In floating point, adding 0.1 ten times yields a little less than 1. */
const ONE_TOKEN = 1 - 1e-9;

/** Creates a budget with a few initial tokens. */
export function createRetryBudget(): RetryBudget {
  let tokens = INITIAL_TOKENS;
  return {
    refill: (share) => {
      tokens = Math.min(MAX_TOKENS, tokens + share);
    },
    tryTake: () => {
      if (tokens < ONE_TOKEN) return false;
      tokens -= 1;
      return true;
    },
  };
}
