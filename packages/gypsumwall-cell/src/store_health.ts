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

/** What the reads of one entry show about the store. */
export interface StoreHealth {
  recordRead(
    sentAt: types.clock.MonotonicMs,
    answeredAt: types.clock.MonotonicMs,
  ): void;
  /** Whether a read that was sent after the moment was answered quickly. */
  hasQuickReadSince(moment: types.clock.MonotonicMs): boolean;
  /** Records that the store has recovered from an outage. */
  recordRecovery(): void;
  /** A signal that aborts at the store's next recovery. */
  nextRecovery(): AbortSignal;
}

/** Creates the state before the first read. */
export function createStoreHealth(): StoreHealth {
  let lastQuickSentAt = 0;
  let recovery: AbortController | undefined;
  return {
    recordRead(sentAt, answeredAt) {
      if (answeredAt - sentAt > MAX_QUICK_READ_MS) return;
      lastQuickSentAt = Math.max(lastQuickSentAt, sentAt);
    },
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
