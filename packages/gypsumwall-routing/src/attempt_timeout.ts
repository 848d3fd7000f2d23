/**
 * Abandons an attempt without an answer after a timeout, so that a dead
 * connection delays the answer but doesn't lose it.
 */
import type * as types from '@gypsumwall/types';
import type * as sharedTimers from './shared_timers.js';
import type * as router from './router.js';

/** The timeout of one attempt. */
export interface AttemptTimeout {
  /** Aborts the attempt when it is abandoned or its caller cancels. */
  readonly signal: AbortSignal | undefined;
  /** Whether the timeout has expired, even if the attempt goes on. */
  hasExpired(): boolean;
  /** Whether the attempt was abandoned so that it can be retried. */
  isAbandoned(): boolean;
  stop(): void;
}

const TIMEOUT_MESSAGE = 'the upstream did not answer in time';

/** Starts the timeout. `mayAbandon` is called once, when it expires. */
export function startAttemptTimeout(
  timers: sharedTimers.SharedTimers,
  req: router.RoutedRequest,
  timeoutAt: types.clock.MonotonicMs,
  mayAbandon: () => boolean,
): AttemptTimeout {
  // A request that isn't idempotent can't be retried, so abandoning it would
  // only lose its answer.
  const controller = req.idempotent ? new AbortController() : undefined;
  let hasExpired = false;
  let isAbandoned = false;
  if (controller !== undefined) {
    const onCallerAbort = () => controller.abort(req.signal?.reason);
    req.signal?.addEventListener('abort', onCallerAbort, {once: true});
  }
  const timer =
    timeoutAt === Infinity
      ? undefined
      : timers.set(timeoutAt, () => {
          hasExpired = true;
          isAbandoned = mayAbandon();
          if (isAbandoned)
            controller?.abort(
              new DOMException(TIMEOUT_MESSAGE, 'TimeoutError'),
            );
        });
  return {
    signal: controller?.signal ?? req.signal,
    hasExpired: () => hasExpired,
    isAbandoned: () => isAbandoned,
    stop: () => timer?.cancel(),
  };
}
