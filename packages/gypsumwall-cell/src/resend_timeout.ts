/**
 * The time after which an unanswered call is sent again, as TCP computes its
 * retransmission timeout (RFC 6298). It follows the latency of answers and its
 * variation, and doubles with each call that is sent again until an answer
 * arrives. A fixed time keeps a queue full: each call that waits longer in it is
 * added to it once more.
 */

/** Weights of the newest answer in the latency and in its variation. */
const LATENCY_WEIGHT = 1 / 8;
const VARIATION_WEIGHT = 1 / 4;
/** Multiple of the variation that is added to the latency. */
const VARIATION_FACTOR = 4;
const BACKOFF_FACTOR = 2;

/** Time after which an unanswered call is sent again. */
export interface ResendTimeout {
  /** The current time in milliseconds. */
  currentMs(): number;
  /** Records the latency of a call that was answered; milliseconds. */
  recordAnswer(tookMs: number): void;
  /**
   * Records that a call was sent again though the store answers. One that was
   * sent into an outage waits in no queue, and says nothing about the latency.
   */
  recordResend(): void;
  /** Takes back what calls that were sent again have added. */
  reset(): void;
}

/** Creates the time, which is `minMs` before the first answer. */
export function createResendTimeout(
  minMs: number,
  maxMs: number,
): ResendTimeout {
  let latencyMs: number | undefined;
  let variationMs = 0;
  let currentMs = minMs;

  function reset(): void {
    const expectedMs = (latencyMs ?? 0) + VARIATION_FACTOR * variationMs;
    currentMs = Math.min(maxMs, Math.max(minMs, expectedMs));
  }

  return {
    currentMs: () => currentMs,
    recordAnswer(tookMs) {
      if (latencyMs === undefined) {
        latencyMs = tookMs;
        variationMs = tookMs / 2;
      } else {
        const deviationMs = Math.abs(tookMs - latencyMs);
        variationMs += (deviationMs - variationMs) * VARIATION_WEIGHT;
        latencyMs += (tookMs - latencyMs) * LATENCY_WEIGHT;
      }
      reset();
    },
    recordResend() {
      currentMs = Math.min(maxMs, currentMs * BACKOFF_FACTOR);
    },
    reset,
  };
}
