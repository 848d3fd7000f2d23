/**
 * Pings the cell's holder when its log has been silent for longer than usual.
 * Silence alone must last 0.9 s before a takeover, since a store that is sixty
 * times slower than usual looks the same. If the holder doesn't answer its
 * peers either, half of that is enough. The probe only reports: a claim succeeds
 * only if the log still ends where the claimant has read it.
 */
import * as types from '@gypsumwall/types';
import * as failoverPolicy from './failover_policy.js';

/** Interval between two pings; milliseconds. */
const PROBE_INTERVAL_MS = 50;
/**
 * Interval at which an entry that is not a standby checks whether it has become
 * one; milliseconds.
 */
const OBSERVER_CHECK_INTERVAL_MS = 500;
/** Timeout of a ping; a healthy peer answers within 10 ms; milliseconds. */
const ANSWER_TIMEOUT_MS = 120;
/**
 * Number of successive pings that must fail, because a single one may get lost.
 */
const MIN_UNANSWERED_PINGS = 2;

/** Dependencies of a holder probe. */
export interface HolderProbeParts {
  /** The instance that holds the cell; undefined if it is this one or none. */
  readonly holder: () => string | undefined;
  /**
   * Since when the log has been silent although it is read; undefined while
   * reads fail.
   */
  readonly silentSince: () => types.clock.MonotonicMs | undefined;
  /** Longest pause between two recent records of the holder; milliseconds. */
  readonly longestPauseMs: () => number;
  readonly ping: (instance: string, timeoutMs: number) => Promise<boolean>;
  /**
   * Only standbys send pings; pings of all entries would overload a slow
   * holder.
   */
  readonly isStandby: () => boolean;
  readonly clock: types.clock.Clock;
}

/** Watches the holder. */
export interface HolderProbe {
  run(signal: AbortSignal): Promise<void>;
  /** Whether the holder is silent in the log and answers no pings. */
  isLost(): boolean;
}

/** Creates a probe; it sends nothing until `run` is called. */
export function createHolderProbe(parts: HolderProbeParts): HolderProbe {
  const {clock} = parts;
  let unanswered = 0;

  function silentHolder(): string | undefined {
    const since = parts.silentSince();
    if (since === undefined) return undefined;
    const usualMs = failoverPolicy.usualSilenceMs(parts.longestPauseMs());
    const probeAfterMs = Math.max(failoverPolicy.PROBE_AFTER_MS, usualMs);
    return clock.monotonic() - since < probeAfterMs
      ? undefined
      : parts.holder();
  }

  return {
    async run(signal) {
      while (!signal.aborted) {
        const pauseMs = parts.isStandby()
          ? PROBE_INTERVAL_MS
          : OBSERVER_CHECK_INTERVAL_MS;
        await types.clock.sleepFor(clock, pauseMs, signal);
        const instance = parts.isStandby() ? silentHolder() : undefined;
        if (instance === undefined) {
          unanswered = 0;
          continue;
        }
        const isAlive = await parts.ping(instance, ANSWER_TIMEOUT_MS);
        unanswered = isAlive ? 0 : unanswered + 1;
      }
    },
    isLost: () => unanswered >= MIN_UNANSWERED_PINGS,
  };
}
