/**
 * Sends an idempotent call again while the first is still open, and takes
 * whichever answer comes first. At a store that loses a third of its answers
 * a caller waits one hedging delay and not a whole timeout; at a store that is
 * sixty times slower than usual the first call still gets the time it needs.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';

/**
 * When the second and later calls are sent, in milliseconds after the one
 * before. The first is twenty times a usual answer; the last repeats.
 */
const DELAYS_MS = [120, 200, 400, 800];
/** Pause after an answer that refuses the call; milliseconds. */
const REFUSED_PAUSE_MS = 40;

/** How a hedged call is made. */
export interface HedgeOptions<Value> {
  readonly clock: types.clock.Clock;
  readonly call: () => ports.Answer<Value>;
  /** The last moment at which another call is sent. */
  readonly until: types.clock.MonotonicMs;
  readonly signal?: AbortSignal;
}

/**
 * The first answer, or the last error once time is up or the signal aborts.
 * If any call may have had an effect, the error says so.
 */
export async function hedged<Value>(
  options: HedgeOptions<Value>,
): ports.Answer<Value> {
  const {clock} = options;
  const answered = new AbortController();
  options.signal?.addEventListener('abort', () => answered.abort());
  let answer: Value | undefined;
  let lastError: types.stepError.StepError | undefined;
  let open = 0;
  let refusals = 0;
  let settled = false;
  let wake = new AbortController();

  async function send(): Promise<void> {
    open++;
    const got = await options.call();
    open--;
    if (result.isOk(got)) {
      answer ??= got.value;
      settled = true;
      answered.abort();
    } else {
      const worse = lastError?.effect === 'unknown';
      lastError = worse ? {...got.error, effect: 'unknown'} : got.error;
      refusals++;
    }
    wake.abort();
  }

  for (let nth = 0; !answered.signal.aborted; nth++) {
    void send();
    const delayMs = DELAYS_MS[Math.min(nth, DELAYS_MS.length - 1)]!;
    const nextAt = types.clock.after(clock.monotonic(), delayMs);
    const before = refusals;
    wake = new AbortController();
    await clock.sleepUntil(nextAt, wake.signal);
    if (settled || answered.signal.aborted) break;
    if (refusals > before) {
      const pausedAt = types.clock.after(clock.monotonic(), REFUSED_PAUSE_MS);
      await clock.sleepUntil(pausedAt, answered.signal);
    }
    if (clock.monotonic() >= options.until) break;
  }
  while (!settled && open > 0 && options.signal?.aborted !== true) {
    wake = new AbortController();
    await clock.sleepUntil(options.until, wake.signal);
    if (clock.monotonic() >= options.until) break;
  }
  if (settled) return result.ok(answer as Value);
  return result.err(lastErrorOf(lastError, open > 0));
}

/** A call that is still open may have had an effect. */
function lastErrorOf(
  err: types.stepError.StepError | undefined,
  open: boolean,
): types.stepError.StepError {
  const known = err ?? {
    kind: 'timeout',
    step: 'hedged call',
    peer: '',
    effect: 'unknown',
    message: 'no answer in time',
  };
  return open ? {...known, effect: 'unknown'} : known;
}
