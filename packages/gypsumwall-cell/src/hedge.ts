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
const SOONEST_MS = 120;
/** How often it is looked whether the store is sound; milliseconds. */
const CHECK_MS = 30;
/** Then a call is sent again in any case; milliseconds. */
const LATEST_MS = 1_200;
/** Weight of the newest answer in what answers take. */
const NEWEST_WEIGHT = 0.5;
/** What an answer took says little after so long; milliseconds. */
const FORGET_AFTER_MS = 1_000;
/** Pause after an answer that refuses the call; milliseconds. */
const REFUSED_PAUSE_MS = 40;

/** How one call is hedged. */
export interface HedgeOptions<Value> {
  readonly call: () => ports.Answer<Value>;
  /** The last moment at which another call is sent. */
  readonly until: types.clock.MonotonicMs;
  /**
   * Whether to wait no longer: the caller can do more with a word now than
   * with an answer later. Not asked before a usual answer is overdue.
   */
  readonly isHopeless?: () => boolean;
  /**
   * Whether a refusal is the outcome, and not tried again: another way is
   * open, and tries of all entries keep an overloaded store from its work.
   */
  readonly endsOnRefusal?: () => boolean;
  readonly signal?: AbortSignal;
}

/** Hedges the calls to one log. */
export interface Hedger {
  /**
   * The first answer, or the last error once time is up or the signal aborts.
   * If any call may have had an effect, the error says so.
   */
  hedged<Value>(options: HedgeOptions<Value>): ports.Answer<Value>;
  /** What answers took lately, in milliseconds; undefined if there were none. */
  latencyMs(): number | undefined;
}

/** Creates a hedger that has seen no answer yet. */
export function createHedger(
  clock: types.clock.Clock,
  pulse: storeHealth.StoreHealth,
): Hedger {
  let latency: number | undefined;
  let notedAt = clock.monotonic();

  function latencyMs(): number | undefined {
    if (clock.monotonic() - notedAt > FORGET_AFTER_MS) latency = undefined;
    return latency;
  }

  function note(tookMs: number): void {
    const before = latencyMs() ?? 0;
    latency = before + (tookMs - before) * NEWEST_WEIGHT;
    notedAt = clock.monotonic();
  }

  async function timed<Value>(
    call: () => ports.Answer<Value>,
  ): Promise<Awaited<ports.Answer<Value>>> {
    const sentAt = clock.monotonic();
    const answer = await call();
    if (result.isOk(answer)) note(clock.monotonic() - sentAt);
    return answer;
  }

  /** Waits for an answer, or for a reason to think that it is lost. */
  async function waitForDoubt(
    race: Race<unknown>,
    sentAt: types.clock.MonotonicMs,
    {until, isHopeless}: Pick<HedgeOptions<unknown>, 'until' | 'isHopeless'>,
  ): Promise<void> {
    const latest = earlier(types.clock.after(sentAt, LATEST_MS), until);
    let checkAt = earlier(types.clock.after(sentAt, SOONEST_MS), until);
    for (;;) {
      const change = race.change();
      await clock.sleepUntil(checkAt, change);
      if (change.aborted || clock.monotonic() >= latest) return;
      if (pulse.quickSince(sentAt) || isHopeless?.() === true) return;
      checkAt = earlier(types.clock.after(clock.monotonic(), CHECK_MS), until);
    }
  }

  return {
    latencyMs,
    async hedged({call, until, isHopeless, endsOnRefusal, signal}) {
      const race = createRace(() => timed(call));
      const giveUp = () => race.giveUp();
      signal?.addEventListener('abort', giveUp);
      for (;;) {
        const sentAt = clock.monotonic();
        race.send();
        await waitForDoubt(race, sentAt, {until, isHopeless});
        if (race.isOver() || clock.monotonic() >= until) break;
        if (isHopeless?.() === true) break;
        if (race.open() > 0) continue;
        if (race.isRefused() && endsOnRefusal?.() === true) break;
        await types.clock.sleepFor(clock, REFUSED_PAUSE_MS, signal);
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
  isOver(): boolean;
  /** Whether every call that was answered did nothing. */
  isRefused(): boolean;
  giveUp(): void;
  outcome(): Awaited<ports.Answer<Value>>;
}

function createRace<Value>(call: () => ports.Answer<Value>): Race<Value> {
  let answer: {readonly value: Value} | undefined;
  let lastError: types.stepError.StepError | undefined;
  let open = 0;
  let over = false;
  let changed = new AbortController();

  async function run(): Promise<void> {
    const got = await call();
    open--;
    if (result.isOk(got)) {
      answer ??= {value: got.value};
      over = true;
    } else {
      const worse = lastError?.effect === 'unknown';
      lastError = worse ? {...got.error, effect: 'unknown'} : got.error;
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
      if (over) changed.abort();
      return changed.signal;
    },
    open: () => open,
    isOver: () => over,
    isRefused: () => lastError?.effect === 'not_run',
    giveUp() {
      over = true;
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
