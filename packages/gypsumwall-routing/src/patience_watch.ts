/**
 * Ends a try that stays silent for too long, so that a connection which has
 * gone silent for good costs a delay and not the answer.
 */
import type * as types from '@gypsumwall/types';
import type * as alarms from './alarms.js';
import type * as router from './router.js';

/** Watches one try for too long a silence. */
export interface PatienceWatch {
  /** Ends the try: given up, or its caller left. */
  readonly signal: AbortSignal | undefined;
  /** Whether the patience has ended, given up or not. */
  isOver(): boolean;
  /** Whether the try was given up for another one. */
  gaveUp(): boolean;
  stop(): void;
}

const SILENT = 'silent for too long';

/** Starts to watch; `mayGiveUp` is asked once, when the patience ends. */
export function watchPatience(
  ringing: alarms.Alarms,
  req: router.RoutedRequest,
  giveUpAt: types.clock.MonotonicMs,
  mayGiveUp: () => boolean,
): PatienceWatch {
  // One that may not be repeated is never given up: it could only be lost.
  const send = req.idempotent ? new AbortController() : undefined;
  let over = false;
  let gaveUp = false;
  if (send !== undefined) {
    const leave = () => send.abort(req.signal?.reason);
    req.signal?.addEventListener('abort', leave, {once: true});
  }
  const alarm =
    giveUpAt === Infinity
      ? undefined
      : ringing.set(giveUpAt, () => {
          over = true;
          gaveUp = mayGiveUp();
          if (gaveUp) send?.abort(new DOMException(SILENT, 'TimeoutError'));
        });
  return {
    signal: send?.signal ?? req.signal,
    isOver: () => over,
    gaveUp: () => gaveUp,
    stop: () => alarm?.cancel(),
  };
}
