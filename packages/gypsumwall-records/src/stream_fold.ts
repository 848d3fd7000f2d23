/**
 * A state made by applying a stream's records in log order. Every entry that
 * applies the same records holds the same state, so no entry has to ask
 * another what was decided.
 */
import type * as types from '@gypsumwall/types';

/** One stream's state. */
export interface StreamFold {
  /**
   * Applies one record. Must not throw on anything the log may hold, and
   * must depend on nothing but the records; `readAt` serves deadlines only.
   */
  apply(offset: number, record: unknown, readAt: types.clock.MonotonicMs): void;
  /** The whole state as JSON text. */
  snapshot(): string;
  /** Replaces the state. */
  restore(text: string, readAt: types.clock.MonotonicMs): void;
}
