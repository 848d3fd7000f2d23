/**
 * The health of one upstream, judged by the results of its requests. A suspect
 * upstream is sent a probe from time to time, and its full share is used again
 * after the first answer within the expected time.
 */
import * as types from '@gypsumwall/types';

/** The kinds of faults of an upstream. */
export type UpstreamFault =
  /** Its address accepts no connections. */
  | 'unreachable'
  /** It answers that it didn't run the request. */
  | 'refusing'
  /**
   * It truncates answers, gives invalid ones, doesn't answer or is far too
   * slow.
   */
  | 'failing';

/** Which requests may be sent to an upstream at present. */
export type UpstreamMode =
  | 'open'
  /** Suspect; one request is due as a probe. */
  | 'probe'
  /** Suspect; used only if at least half of the upstreams are suspect. */
  | 'suspect'
  /** Accepts no connections; only probes are sent. */
  | 'dead';

/** The health of one upstream. */
export interface UpstreamHealth {
  mode(now: types.clock.MonotonicMs): UpstreamMode;
  /**
   * Records an answer. `slowness` is the ratio of the time it took to the
   * expected time.
   */
  recordAnswer(slowness: number, now: types.clock.MonotonicMs): void;
  recordFault(fault: UpstreamFault, now: types.clock.MonotonicMs): void;
  /** Whether a failed probe most likely proves that its request didn't run. */
  isProbeSafe(): boolean;
  /** Called when a probe was sent; the next one is due after a delay. */
  onProbeSent(now: types.clock.MonotonicMs): void;
  /** When the next probe is due; undefined while the upstream isn't suspect. */
  nextProbeAt(): types.clock.MonotonicMs | undefined;
}

/**
 * A dead connection doesn't mean a dead upstream: its request fails, and the
 * next one uses a new connection. A share has 1 or 2 connections to an
 * upstream, so a third fault in a row isn't explained by dead connections.
 */
const MIN_FAULTS_TO_SUSPECT = 3;
/**
 * An upstream is suspect if its answers take this many times the expected time
 * on average. Service times have long tails, so a single answer says little.
 */
const MIN_SLOWNESS_TO_SUSPECT = 4;
const SLOWNESS_GAIN = 1 / 8;
const MAX_SLOWNESS = 20;
const MIN_PROBE_DELAY_MS = 100;
const MAX_PROBE_DELAY_MS = 5_000;
/**
 * If no probe was sent for this time after it was due, because too few requests
 * may be repeated, the upstream is trusted again.
 */
const TRUST_AFTER_MS = 30_000;

/** Creates the health of an upstream without faults. */
export function createUpstreamHealth(
  random: types.random.Random,
): UpstreamHealth {
  let faultsInARow = 0;
  let fault: UpstreamFault | undefined;
  let meanSlowness = 1;
  let probeDelayMs = MIN_PROBE_DELAY_MS;
  let nextProbeAt: types.clock.MonotonicMs | undefined;

  const scheduleProbe = (now: types.clock.MonotonicMs) => {
    // Entries that saw faults at the same time must not probe at the same time.
    const jitter = 0.5 + random.next();
    nextProbeAt = types.clock.after(now, probeDelayMs * jitter);
    probeDelayMs = Math.min(MAX_PROBE_DELAY_MS, probeDelayMs * 2);
  };
  const markSuspect = (cause: UpstreamFault, now: types.clock.MonotonicMs) => {
    fault = cause;
    // Requests that were in flight at the same time count as one failed probe.
    if (nextProbeAt === undefined || now >= nextProbeAt) scheduleProbe(now);
  };
  return {
    mode: (now) => {
      if (nextProbeAt === undefined) return 'open';
      if (now >= nextProbeAt + TRUST_AFTER_MS) return 'open';
      if (now >= nextProbeAt) return 'probe';
      return fault === 'unreachable' ? 'dead' : 'suspect';
    },
    recordAnswer: (sample, now) => {
      const wasSuspect = nextProbeAt !== undefined;
      faultsInARow = 0;
      fault = undefined;
      // One answer in the expected time clears a suspect upstream.
      meanSlowness = wasSuspect
        ? sample
        : meanSlowness +
          SLOWNESS_GAIN * (Math.min(sample, MAX_SLOWNESS) - meanSlowness);
      if (meanSlowness >= MIN_SLOWNESS_TO_SUSPECT) {
        markSuspect('failing', now);
        return;
      }
      probeDelayMs = MIN_PROBE_DELAY_MS;
      nextProbeAt = undefined;
    },
    recordFault: (latestFault, now) => {
      faultsInARow += 1;
      const isCertain =
        latestFault === 'unreachable' || nextProbeAt !== undefined;
      if (isCertain || faultsInARow >= MIN_FAULTS_TO_SUSPECT)
        markSuspect(latestFault, now);
    },
    isProbeSafe: () => fault === 'unreachable' || fault === 'refusing',
    onProbeSent: (now) => scheduleProbe(now),
    nextProbeAt: () => nextProbeAt,
  };
}
