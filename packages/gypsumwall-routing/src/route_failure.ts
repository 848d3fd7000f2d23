/** Creates the outcomes of requests that get no answer. */
import type * as types from '@gypsumwall/types';
import type * as router from './router.js';

/** The request didn't run. `retryAfterMs` is omitted if a retry is no use. */
export function notRun(
  reason: types.outcome.RefusalReason,
  message: string,
  retryAfterMs?: number,
): router.RouteFailure {
  return {type: 'not_run', reason, message, retryAfterMs};
}

/** The request may have run. */
export function unknown(message: string): router.RouteFailure {
  return {type: 'unknown', message};
}
