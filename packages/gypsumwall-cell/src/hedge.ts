/**
 * Hedged calls: sends an idempotent call again while earlier ones are in
 * flight, and returns the first answer. With a store that loses a third of its
 * answers, a caller then waits a fraction of a second instead of a whole
 * timeout. With a slow store nothing is sent again: it handles the calls of a
 * log one by one, and repeated calls made a queue so long that it refused them
 * all. Reads don't wait in that queue, so quick reads alone don't show that the
 * answer to an append is lost: it must be overdue as well (`resend_timeout.ts`).
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';
import * as resendTimeouts from './resend_timeout.js';
import type * as storeHealth from './store_health.js';

/**
 * Minimum time until a call is sent again; an answer usually takes 10 ms;
 * milliseconds.
 */
const MIN_RESEND_MS = 120;
/**
 * Interval at which it is checked whether the store answers quickly;
 * milliseconds.
 */
const CHECK_INTERVAL_MS = 30;
/**
 * After this time a call is sent again even without a quick read; milliseconds.
 */
const MAX_RESEND_MS = 1_200;
/** Weight of the newest answer in the moving average of the latency. */
const NEWEST_LATENCY_WEIGHT = 0.5;
/** A measured latency is discarded after this time; milliseconds. */
const MAX_LATENCY_AGE_MS = 1_000;
/**
 * Pause after an answer that refuses the call, doubled after each further one up
 * to the maximum; milliseconds.
 */
const FIRST_REFUSAL_PAUSE_MS = 40;
const MAX_REFUSAL_PAUSE_MS = 160;

/** Options of one hedged call. */
export interface HedgeOptions<Value> {
  readonly call: () => ports.Answer<Value>;
  /** Deadline for sending another call. */
  readonly until: types.clock.MonotonicMs;
  /**
   * Whether to stop waiting because an immediate failure is more useful to the
   * caller than a late answer. Evaluated after a failed call, and once an answer
   * is overdue.
   */
  readonly shouldGiveUp?: () => boolean;
  /**
   * Whether a refusal is returned instead of retried, because the caller has an
   * alternative. Retries of all entries would keep an overloaded store busy.
   */
  readonly isRefusalFinal?: () => boolean;
  readonly signal?: AbortSignal;
}

/** Hedges the calls to one log. */
export interface Hedger {
  /**
   * Resolves with the first answer, or with the last error after the deadline
   * or an abort. The error's effect is unknown if any of the calls may have
   * taken effect.
   */
  hedge<Value>(options: HedgeOptions<Value>): ports.Answer<Value>;
  /** Recent latency in milliseconds; undefined without a recent answer. */
  latencyMs(): number | undefined;
}

/** Options of a hedger. */
export interface HedgerOptions {
  /**
   * Whether the log has a single writer with one call at a time; false by
   * default. Its calls wait behind none but their own repeats, and it must not
   * fall silent while answers are lost, so that the timeout isn't doubled.
   */
  readonly hasSingleWriter?: boolean;
}

/** Creates a hedger without a measured latency. */
export function createHedger(
  clock: types.clock.Clock,
  health: storeHealth.StoreHealth,
  {hasSingleWriter = false}: HedgerOptions = {},
): Hedger {
  let latency: number | undefined;
  let updatedAt = clock.monotonic();
  const resendTimeout = resendTimeouts.createResendTimeout(
    MIN_RESEND_MS,
    MAX_RESEND_MS,
  );

  function latencyMs(): number | undefined {
    if (clock.monotonic() - updatedAt > MAX_LATENCY_AGE_MS) latency = undefined;
    return latency;
  }

  function recordLatency(tookMs: number): void {
    const before = latencyMs() ?? 0;
    latency = before + (tookMs - before) * NEWEST_LATENCY_WEIGHT;
    updatedAt = clock.monotonic();
    resendTimeout.recordAnswer(tookMs);
  }

  /**
   * Calls and records the latency. An answer that comes when another call has
   * been answered tells nothing of the next one (Karn's algorithm).
   */
  async function timed<Value>(
    call: () => ports.Answer<Value>,
    isSettled: () => boolean,
  ): Promise<Awaited<ports.Answer<Value>>> {
    const sentAt = clock.monotonic();
    const answer = await call();
    if (result.isOk(answer) && !isSettled())
      recordLatency(clock.monotonic() - sentAt);
    return answer;
  }

  /**
   * Waits for an answer, or for a reason to assume that the answer is lost;
   * true if a call was answered or failed.
   */
  async function waitToResend(
    race: Race<unknown>,
    sentAt: types.clock.MonotonicMs,
    {
      until,
      shouldGiveUp,
    }: Pick<HedgeOptions<unknown>, 'until' | 'shouldGiveUp'>,
  ): Promise<boolean> {
    const resendAt = earlier(types.clock.after(sentAt, MAX_RESEND_MS), until);
    const overdueAt = types.clock.after(sentAt, resendTimeout.currentMs());
    const recovery = health.nextRecovery();
    let checkAt = earlier(types.clock.after(sentAt, MIN_RESEND_MS), until);
    for (;;) {
      const change = race.change();
      await clock.sleepUntil(checkAt, change);
      if (change.aborted) return true;
      const now = clock.monotonic();
      if (now >= resendAt || shouldGiveUp?.() === true) return false;
      if (recovery.aborted) {
        // What was sent during the outage is lost, and waits in no queue.
        resendTimeout.reset();
        return false;
      }
      if (now >= overdueAt && health.hasQuickReadSince(sentAt)) {
        if (!hasSingleWriter) resendTimeout.recordResend();
        return false;
      }
      checkAt = earlier(
        types.clock.after(clock.monotonic(), CHECK_INTERVAL_MS),
        until,
      );
    }
  }

  return {
    latencyMs,
    async hedge<Value>({
      call,
      until,
      shouldGiveUp,
      isRefusalFinal,
      signal,
    }: HedgeOptions<Value>) {
      const race: Race<Value> = createRace(() =>
        timed(call, () => race.isSettled()),
      );
      const giveUp = () => race.giveUp();
      signal?.addEventListener('abort', giveUp);
      const isOver = () => race.isSettled() || clock.monotonic() >= until;
      let pauseMs = FIRST_REFUSAL_PAUSE_MS;
      do {
        const sentAt = clock.monotonic();
        race.send();
        const limits = {until, shouldGiveUp};
        const hasChanged = await waitToResend(race, sentAt, limits);
        if (isOver() || shouldGiveUp?.() === true) break;
        if (!hasChanged) continue;
        if (
          race.open() === 0 &&
          race.isRefused() &&
          isRefusalFinal?.() === true
        )
          break;
        await types.clock.sleepFor(clock, pauseMs, race.change());
        pauseMs = Math.min(MAX_REFUSAL_PAUSE_MS, pauseMs * 2);
      } while (!isOver());
      signal?.removeEventListener('abort', giveUp);
      return race.outcome();
    },
  };
}

function earlier(
  left: types.clock.MonotonicMs,
  right: types.clock.MonotonicMs,
): types.clock.MonotonicMs {
  return left < right ? left : right;
}

interface Race<Value> {
  send(): void;
  /** Returns a signal that aborts at the next answer of any call. */
  change(): AbortSignal;
  open(): number;
  isSettled(): boolean;
  /** Whether every answered call had no effect. */
  isRefused(): boolean;
  giveUp(): void;
  outcome(): Awaited<ports.Answer<Value>>;
}

function createRace<Value>(call: () => ports.Answer<Value>): Race<Value> {
  let answer: {readonly value: Value} | undefined;
  let lastError: types.stepError.StepError | undefined;
  let open = 0;
  let settled = false;
  let changed = new AbortController();

  async function run(): Promise<void> {
    const received = await call();
    open--;
    if (result.isOk(received)) {
      answer ??= {value: received.value};
      settled = true;
    } else {
      const wasUnknown = lastError?.effect === 'unknown';
      lastError = wasUnknown
        ? {...received.error, effect: 'unknown'}
        : received.error;
    }
    changed.abort(types.clock.WAIT_ENDED);
  }

  return {
    send() {
      open++;
      void run();
    },
    change() {
      changed = new AbortController();
      if (settled) changed.abort(types.clock.WAIT_ENDED);
      return changed.signal;
    },
    open: () => open,
    isSettled: () => settled,
    isRefused: () => lastError?.effect === 'not_run',
    giveUp() {
      settled = true;
      changed.abort(types.clock.WAIT_ENDED);
    },
    outcome() {
      if (answer !== undefined) return result.ok(answer.value);
      const err = lastError ?? NO_ANSWER;
      // A call that is still open may yet take effect.
      return result.err(open > 0 ? {...err, effect: 'unknown'} : err);
    },
  };
}

const NO_ANSWER: types.stepError.StepError = {
  kind: 'timeout',
  step: 'hedged call',
  peer: '',
  effect: 'unknown',
  message: 'no answer in time',
};
