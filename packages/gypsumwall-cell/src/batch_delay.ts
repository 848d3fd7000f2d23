/**
 * Decides how long work is collected before it is done together. Under load a
 * longer delay means fewer wake-ups, as interrupt moderation does for network
 * devices: each of them then handles more, and more is done in all.
 */

/** Busy share of the event loop from which on the delay grows. */
const LOADED_UTILIZATION = 0.6;
/** Delay at full load; milliseconds. */
const MAX_DELAY_MS = 50;

/**
 * Returns the delay in milliseconds for a busy share of the event loop, at
 * least `minMs`.
 */
export function batchDelayMs(minMs: number, utilization: number): number {
  const load = (utilization - LOADED_UTILIZATION) / (1 - LOADED_UTILIZATION);
  return Math.max(minMs, MAX_DELAY_MS * Math.min(1, load));
}
