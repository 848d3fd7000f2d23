/**
 * Sends an idempotent call again while the first is still open, and takes
 * whichever answer comes first. At a store that loses a third of its answers
 * a caller waits a fraction of a second and not a whole timeout. At a store
 * that is slow nothing is sent again: it handles the calls of a log one by
 * one, and calls sent in vain made a line at which it refused them all.
 */
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';

/** No call is sent again sooner; a usual answer takes 10 ms; milliseconds. */
const MIN_RESEND_MS = 120;
/** How often it is looked whether the store is sound; milliseconds. */
const CHECK_INTERVAL_MS = 30;
/** Then a call is sent again in any case; milliseconds. */
const MAX_RESEND_MS = 1_200;
/** Weight of the newest answer in what answers take. */
const NEWEST_LATENCY_WEIGHT = 0.5;
/** What an answer took says little after so long; milliseconds. */
const MAX_LATENCY_AGE_MS = 1_000;
/** Pause after an answer that refuses the call; milliseconds. */
const REFUSAL_PAUSE_MS = 40;

/** How one call is hedged. */
export interface HedgeOptions<Value> {
  readonly call: () => ports.Answer<Value>;
  /** The last moment at which another call is sent. */
  readonly until: types.clock.MonotonicMs;
  /**
   * Whether to wait no longer: the caller can do more with a word now than
   * with an answer later. Not asked before a usual answer is overdue.
   */
  readonly shouldGiveUp?: () => boolean;
  /**
   * Whether a refusal is the outcome, and not tried again: another way is
   * open, and tries of all entries keep an overloaded store from its work.
   */
  readonly isRefusalFinal?: () => boolean;
  readonly signal?: AbortSignal;
}

/** Hedges the calls to one log. */
export interface Hedger {
  /**
   * The first answer, or the last error once time is up or the signal aborts.
   * If any call may have had an effect, the error says so.
   */
  hedge<Value>(options: HedgeOptions<Value>): ports.Answer<Value>;
  /** What answers took lately, in milliseconds; undefined if there were none. */
  latencyMs(): number | undefined;
}

/** Creates a hedger that has seen no answer yet. */
export function createHedger(
  clock: types.clock.Clock,
  health: storeHealth.StoreHealth,
): Hedger {
  let latency: number | undefined;
  let measuredAt = clock.monotonic();

  function latencyMs(): number | undefined {
    if (clock.monotonic() - measuredAt > MAX_LATENCY_AGE_MS)
      latency = undefined;
    return latency;
  }

  function recordLatency(tookMs: number): void {
    const before = latencyMs() ?? 0;
    latency = before + (tookMs - before) * NEWEST_LATENCY_WEIGHT;
    measuredAt = clock.monotonic();
  }

  async function timed<Value>(
    call: () => ports.Answer<Value>,
  ): Promise<Awaited<ports.Answer<Value>>> {
    const sentAt = clock.monotonic();
    const answer = await call();
    if (result.isOk(answer)) recordLatency(clock.monotonic() - sentAt);
    return answer;
  }

  /** Waits for an answer, or for a reason to think that it is lost. */
  async function waitToResend(
    race: Race<unknown>,
    sentAt: types.clock.MonotonicMs,
    {
      until,
      shouldGiveUp: isHopeless,
    }: Pick<HedgeOptions<unknown>, 'until' | 'shouldGiveUp'>,
  ): Promise<void> {
    const resendAt = earlier(types.clock.after(sentAt, MAX_RESEND_MS), until);
    let checkAt = earlier(types.clock.after(sentAt, MIN_RESEND_MS), until);
    for (;;) {
      const change = race.change();
      await clock.sleepUntil(checkAt, change);
      if (change.aborted || clock.monotonic() >= resendAt) return;
      if (health.hasQuickReadSince(sentAt) || isHopeless?.() === true) return;
      checkAt = earlier(
        types.clock.after(clock.monotonic(), CHECK_INTERVAL_MS),
        until,
      );
    }
  }

  return {
    latencyMs,
    async hedge({
      call,
      until,
      shouldGiveUp: isHopeless,
      isRefusalFinal: endsOnRefusal,
      signal,
    }) {
      const race = createRace(() => timed(call));
      const giveUp = () => race.giveUp();
      signal?.addEventListener('abort', giveUp);
      for (;;) {
        const sentAt = clock.monotonic();
        race.send();
        await waitToResend(race, sentAt, {until, shouldGiveUp: isHopeless});
        if (race.isSettled() || clock.monotonic() >= until) break;
        if (isHopeless?.() === true) break;
        if (race.open() > 0) continue;
        if (race.isRefused() && endsOnRefusal?.() === true) break;
        await types.clock.pause(clock, REFUSAL_PAUSE_MS, signal);
      }
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
  /** Aborts at the next answer of any call. */
  change(): AbortSignal;
  open(): number;
  isSettled(): boolean;
  /** Whether every call that was answered did nothing. */
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
    changed.abort();
  }

  return {
    send() {
      open++;
      void run();
    },
    change() {
      changed = new AbortController();
      if (settled) changed.abort();
      return changed.signal;
    },
    open: () => open,
    isSettled: () => settled,
    isRefused: () => lastError?.effect === 'not_run',
    giveUp() {
      settled = true;
      changed.abort();
    },
    outcome() {
      if (answer !== undefined) return result.ok(answer.value);
      const err = lastError ?? NO_ANSWER;
      // A call that is still open may take effect yet.
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
