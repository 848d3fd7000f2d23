/**
 * A state built by applying a stream's records in log order. Every entry that
 * applies the same records gets the same state, so entries need not ask each
 * other what was decided.
 */
import type * as types from '@gypsumwall/types';

/** The state of one stream. */
export interface StreamFold {
  /**
   * Applies one record. Must not throw for anything that the log may contain,
   * and must depend on the records alone; `readAt` is for deadlines only.
   */
  apply(offset: number, record: unknown, readAt: types.clock.MonotonicMs): void;
  /** Returns the whole state as JSON text. */
  snapshot(): string;
  /** Replaces the state with that of a snapshot. */
  restore(text: string, readAt: types.clock.MonotonicMs): void;
}
