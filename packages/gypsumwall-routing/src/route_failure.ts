/** Makes the final words on requests that get no answer. */
import type * as types from '@gypsumwall/types';
import type * as router from './router.js';

/** Nothing ran; `retryAfterMs` is left out where coming back is of no use. */
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
