/**
 * Group commit for one log: what comes while an append is on its way goes
 * with the next one, so that a busy entry makes few calls and none waits long.
 */
import * as types from '@gypsumwall/types';
import * as hedge from './hedge.js';
import type * as ports from './ports.js';

/** The most records in one call. */
const MOST_RECORDS = 200;
/**
 * A batch that takes this long, or twice what is usual, isn't waited for: its
 * answer may be lost; milliseconds.
 */
const LOST_AFTER_MS = 30;
/** Time given to one call; others are sent meanwhile, see hedging. */
const CALL_TIMEOUT_MS = 2_000;

/** Appends single records. */
export interface BatchAppender {
  /** Resolves with the fate of the calls that carried the record. */
  append(
    entry: ports.KeyedEntry,
    until: types.clock.MonotonicMs,
  ): ports.Answer<ports.AppendOutcome>;
  /** What appends took lately, in milliseconds. */
  latencyMs(): number;
}

interface Waiting {
  readonly entry: ports.KeyedEntry;
  readonly until: types.clock.MonotonicMs;
  readonly resolve: (
    answer: Awaited<ports.Answer<ports.AppendOutcome>>,
  ) => void;
}

/** Creates the appender of a log. */
export function createBatchAppender(
  log: ports.KeyedLog,
  clock: types.clock.Clock,
): BatchAppender {
  const hedger = hedge.createHedger(clock);
  let waiting: Waiting[] = [];
  const sentAt = new Set<types.clock.MonotonicMs>();
  let pumpPlanned = false;

  async function send(batch: readonly Waiting[]): Promise<void> {
    const at = clock.monotonic();
    sentAt.add(at);
    const entries = batch.map((one) => one.entry);
    const until = Math.max(...batch.map((one) => one.until));
    const answer = await hedger.hedged({
      until: until as types.clock.MonotonicMs,
      call: () => log.append(entries, {timeoutMs: CALL_TIMEOUT_MS}),
    });
    sentAt.delete(at);
    for (const one of batch) one.resolve(answer);
    pump();
  }

  function mustWait(): boolean {
    const spanMs = Math.max(LOST_AFTER_MS, hedger.latencyMs() * 2);
    const newest = Math.max(0, ...sentAt);
    return newest > 0 && clock.monotonic() - newest < spanMs;
  }

  function pump(): void {
    pumpPlanned = false;
    if (waiting.length === 0) return;
    if (mustWait()) {
      plan(LOST_AFTER_MS);
      return;
    }
    const batch = waiting.slice(0, MOST_RECORDS);
    waiting = waiting.slice(MOST_RECORDS);
    void send(batch);
  }

  function plan(inMs: number): void {
    if (pumpPlanned) return;
    pumpPlanned = true;
    setTimeout(pump, inMs);
  }

  return {
    append(entry, until) {
      return new Promise((resolve) => {
        waiting.push({entry, until, resolve});
        // What the same turn of the event loop brings goes along.
        if (!mustWait()) plan(0);
        else plan(LOST_AFTER_MS);
      });
    },
    latencyMs: () => hedger.latencyMs(),
  };
}
