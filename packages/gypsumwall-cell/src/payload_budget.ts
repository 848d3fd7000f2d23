/**
 * Bounds the share of the link that payloads take. The payload of a job goes to
 * each peer that starts tasks of it; on a narrow link these copies keep all
 * other calls waiting, while every entry reads the job's record anyway.
 */
import type * as types from '@gypsumwall/types';

/** Share of the link that payloads may take. */
const LINK_SHARE = 0.1;
/** Bytes a millisecond of a link of 1 Mbit/s. */
const BYTES_PER_MS = 125;
/** Time whose unused share is kept; milliseconds. */
const BURST_MS = 500;

/** Options of a budget. */
export interface PayloadBudgetOptions {
  readonly linkMbps: number;
  readonly clock: types.clock.Clock;
}

/** Takes bytes from the budget; false if too few are left. */
export type TakeBytes = (bytes: number) => boolean;

/** Creates a full budget. */
export function createPayloadBudget({
  linkMbps,
  clock,
}: PayloadBudgetOptions): TakeBytes {
  if (!Number.isFinite(linkMbps)) return () => true;
  const bytesPerMs = linkMbps * BYTES_PER_MS * LINK_SHARE;
  const maxBytes = bytesPerMs * BURST_MS;
  let left = maxBytes;
  let updatedAt = clock.monotonic();
  return (bytes) => {
    const now = clock.monotonic();
    left = Math.min(maxBytes, left + (now - updatedAt) * bytesPerMs);
    updatedAt = now;
    if (bytes > left) return false;
    left -= bytes;
    return true;
  };
}
