/**
 * What the reads of one entry show about the store. They distinguish a slow
 * store from one that loses answers: with a slow store, reads are slow as well;
 * with a store that loses answers, a read that was sent after an append returns
 * quickly while the append's answer doesn't arrive. It also notifies those that
 * wait for the store to recover.
 */
import type * as types from '@gypsumwall/types';

/** A read faster than this is quick; reads usually take 5 ms; milliseconds. */
const MAX_QUICK_READ_MS = 100;

/** A read that was answered. */
export interface AnsweredRead {
  readonly sentAt: types.clock.MonotonicMs;
  readonly answeredAt: types.clock.MonotonicMs;
  /** How long the store waited for a record at most; milliseconds. */
  readonly waitMs: number;
  /** Whether it brought no record, so that the store waited as long. */
  readonly isEmpty: boolean;
}

/** What the reads of one entry show about the store. */
export interface StoreHealth {
  recordRead(read: AnsweredRead): void;
  /** Whether a read that was sent after the moment was answered quickly. */
  hasQuickReadSince(moment: types.clock.MonotonicMs): boolean;
  /** Whether the newest read that shows the store's latency was quick. */
  isQuick(): boolean;
  /** Records that the store has recovered from an outage. */
  recordRecovery(): void;
  /** A signal that aborts at the store's next recovery. */
  nextRecovery(): AbortSignal;
}

/** Creates the state before the first read. */
export function createStoreHealth(): StoreHealth {
  let lastQuickSentAt = 0;
  let isQuick = true;
  let recovery: AbortController | undefined;
  return {
    recordRead({sentAt, answeredAt, waitMs, isEmpty}) {
      const tookMs = answeredAt - sentAt;
      // A record may have arrived at any moment of the wait.
      const minLatencyMs = Math.max(0, tookMs - waitMs);
      const maxLatencyMs = isEmpty ? minLatencyMs : tookMs;
      if (maxLatencyMs <= MAX_QUICK_READ_MS) {
        lastQuickSentAt = Math.max(lastQuickSentAt, sentAt);
        isQuick = true;
      } else if (minLatencyMs > MAX_QUICK_READ_MS) isQuick = false;
    },
    isQuick: () => isQuick,
    hasQuickReadSince: (moment) => lastQuickSentAt > moment,
    recordRecovery() {
      recovery?.abort();
      recovery = undefined;
    },
    nextRecovery() {
      recovery ??= new AbortController();
      return recovery.signal;
    },
  };
}
