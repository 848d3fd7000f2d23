/**
 * Estimates by when the answer to a poll is due. A busy holder that calls its
 * workers through peers collects calls and answers and reads them late, so that
 * the usual delay is several times that of an idle one. The estimate is the
 * smoothed delay plus four times its mean deviation (RFC 6298).
 */

/** Lower bound; beyond its wait, a poll usually takes 5 ms; milliseconds. */
const MIN_OVERDUE_MS = 120;
/** Upper bound: a poll fails 500 ms after its wait; milliseconds. */
const MAX_OVERDUE_MS = 380;
const DELAY_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATIONS = 4;

/** The delay of answers to polls in addition to the workers' waits. */
export interface PollDelay {
  /** Records the delay of an answer, in milliseconds. */
  record(delayMs: number): void;
  /** Delay from which on an answer is overdue; milliseconds. */
  overdueMs(): number;
}

/** Creates an estimate without answers. */
export function createPollDelay(): PollDelay {
  let meanMs = 0;
  let deviationMs = 0;
  return {
    record(delayMs) {
      const error = delayMs - meanMs;
      meanMs += DELAY_WEIGHT * error;
      deviationMs += DEVIATION_WEIGHT * (Math.abs(error) - deviationMs);
    },
    overdueMs: () =>
      Math.min(
        MAX_OVERDUE_MS,
        Math.max(MIN_OVERDUE_MS, meanMs + DEVIATIONS * deviationMs),
      ),
  };
}
