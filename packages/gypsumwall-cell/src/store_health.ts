/**
 * What the reads of one entry say of the store. It tells a slow store from one that loses answers: at the first, reads are slow
 * as well; at the second, a read that was sent after an append comes back at
 * once while the append's answer doesn't. And it wakes whoever waits for the
 * store to answer again.
 */
import type * as types from '@gypsumwall/types';

/** A read below this is quick; a usual one takes 5 ms; milliseconds. */
const MAX_QUICK_READ_MS = 100;

/** What the reads of one entry say of the store. */
export interface StoreHealth {
  recordRead(
    sentAt: types.clock.MonotonicMs,
    answeredAt: types.clock.MonotonicMs,
  ): void;
  /** Whether a read that was sent after the moment came back at once. */
  hasQuickReadSince(moment: types.clock.MonotonicMs): boolean;
  /** The store has come back from an outage. */
  recordRecovery(): void;
  /** Aborts at the store's next return. */
  nextRecovery(): AbortSignal;
}

/** Creates a pulse that has felt nothing yet. */
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
