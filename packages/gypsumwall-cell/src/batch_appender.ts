/**
 * Group commit for one log: what comes while an append is on its way goes
 * with the next one, so that a busy entry makes few calls and none waits long.
 */
import type * as ports from './ports.js';

/** The most records in one call. */
const MOST_RECORDS = 200;
/**
 * Appends on their way at a time. One would make a caller wait behind an
 * append whose answer was lost.
 */
const MOST_APPENDS = 6;

/** Appends single records. */
export interface BatchAppender {
  /** Resolves with the fate of the call that carried the record. */
  append(entry: ports.KeyedEntry): ports.Answer<ports.AppendOutcome>;
}

interface Waiting {
  readonly entry: ports.KeyedEntry;
  readonly resolve: (
    answer: Awaited<ports.Answer<ports.AppendOutcome>>,
  ) => void;
}

/** Creates an appender; `timeoutMs` bounds each call. */
export function createBatchAppender(
  log: ports.KeyedLog,
  timeoutMs: number,
): BatchAppender {
  const waiting: Waiting[] = [];
  let onTheirWay = 0;

  async function send(batch: readonly Waiting[]): Promise<void> {
    onTheirWay++;
    const entries = batch.map((one) => one.entry);
    const answer = await log.append(entries, {timeoutMs});
    onTheirWay--;
    for (const one of batch) one.resolve(answer);
    pump();
  }

  function pump(): void {
    if (waiting.length === 0 || onTheirWay >= MOST_APPENDS) return;
    void send(waiting.splice(0, MOST_RECORDS));
  }

  return {
    append(entry) {
      return new Promise((resolve) => {
        waiting.push({entry, resolve});
        // What the same turn of the event loop brings goes along.
        if (waiting.length === 1) setImmediate(pump);
      });
    },
  };
}
