/**
 * Whether one upstream can be relied on, from what became of its requests. A
 * suspect upstream gets a probe now and then, and all of its share again
 * after the first answer in time.
 */
import * as types from '@gypsumwall/types';

/** What speaks against an upstream. */
export type UpstreamFault =
  /** Its address takes no connection. */
  | 'unreachable'
  /** It answers that it did not run the request. */
  | 'refusing'
  /** It breaks off, mixes up, or is silent or far too slow. */
  | 'failing';

/** What may be sent to an upstream now. */
export type UpstreamMode =
  | 'open'
  /** Suspect, and due for one request that shows how it is. */
  | 'probe'
  /** Suspect; to be used when most others are no better. */
  | 'suspect'
  /** Takes no connection; nothing is sent but probes. */
  | 'dead';

/** The health of one upstream. */
export interface UpstreamHealth {
  mode(now: types.clock.MonotonicMs): UpstreamMode;
  /** An answer came, after this multiple of the time to expect. */
  answered(slowness: number, now: types.clock.MonotonicMs): void;
  failed(fault: UpstreamFault, now: types.clock.MonotonicMs): void;
  /** Whether a failed probe most likely proves that it did not run. */
  probeIsSafe(): boolean;
  /** A probe is on its way; the next one is due later. */
  probing(now: types.clock.MonotonicMs): void;
  /** When the next probe is due; undefined while it isn't suspect. */
  probeAt(): types.clock.MonotonicMs | undefined;
}

/**
 * One silent connection is no silent upstream: each request that it swallows
 * is one fault, and the next goes over a new connection. A share has one or
 * two connections to an upstream, so that a third fault in a row means more.
 */
const FAULTS_TO_SUSPECT = 3;
/**
 * Answers that take so much longer than expected on average make an upstream
 * suspect. Times have long tails, so that a single one says little.
 */
const SUSPECT_SLOWNESS = 4;
const SLOWNESS_GAIN = 1 / 8;
const LARGEST_SLOWNESS = 20;
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 5_000;
/** Without a probe for so long (too few may be repeated), it is trusted. */
const FORGET_AFTER_MS = 30_000;

/** Makes the health of an upstream that nothing speaks against. */
export function createUpstreamHealth(
  random: types.random.Random,
): UpstreamHealth {
  let faults = 0;
  let fault: UpstreamFault | undefined;
  let meanSlowness = 1;
  let pauseMs = FIRST_PAUSE_MS;
  let nextProbeAt: types.clock.MonotonicMs | undefined;

  const pause = (now: types.clock.MonotonicMs) => {
    // Entries that saw it fail together must not all come back together.
    const jitter = 0.5 + random.next();
    nextProbeAt = types.clock.after(now, pauseMs * jitter);
    pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
  };
  const suspect = (why: UpstreamFault, now: types.clock.MonotonicMs) => {
    fault = why;
    // Requests that were under way together count as one failed probe.
    if (nextProbeAt === undefined || now >= nextProbeAt) pause(now);
  };
  return {
    mode: (now) => {
      if (nextProbeAt === undefined) return 'open';
      if (now >= nextProbeAt + FORGET_AFTER_MS) return 'open';
      if (now >= nextProbeAt) return 'probe';
      return fault === 'unreachable' ? 'dead' : 'suspect';
    },
    answered: (sample, now) => {
      const wasSuspect = nextProbeAt !== undefined;
      faults = 0;
      fault = undefined;
      // One answer in the expected time clears a suspect upstream.
      meanSlowness = wasSuspect
        ? sample
        : meanSlowness +
          SLOWNESS_GAIN * (Math.min(sample, LARGEST_SLOWNESS) - meanSlowness);
      if (meanSlowness >= SUSPECT_SLOWNESS) {
        suspect('failing', now);
        return;
      }
      pauseMs = FIRST_PAUSE_MS;
      nextProbeAt = undefined;
    },
    failed: (latest, now) => {
      faults += 1;
      const certain = latest === 'unreachable' || nextProbeAt !== undefined;
      if (certain || faults >= FAULTS_TO_SUSPECT) suspect(latest, now);
    },
    probeIsSafe: () => fault === 'unreachable' || fault === 'refusing',
    probing: (now) => pause(now),
    probeAt: () => nextProbeAt,
  };
}
