/**
 * Asks the cell's holder directly whether it lives, once its log is silent for
 * longer than it should be. Silence alone has to last 0.9 s before it counts,
 * since a store that is sixty times slower than usual looks the same; with a
 * holder that doesn't answer its peers either, half of that is enough. It
 * decides nothing by itself: a claim stands only at the end of the log.
 */
import * as types from '@gypsumwall/types';
import * as failoverPolicy from './failover_policy.js';

/** Between two questions; milliseconds. */
const PAUSE_MS = 50;
/** Between two looks whether this entry stands by; milliseconds. */
const OBSERVER_PAUSE_MS = 500;
/** A sound peer answers within 10 ms; milliseconds. */
const ANSWER_TIMEOUT_MS = 120;
/** Questions in a row without an answer: one may be lost on its way. */
const UNANSWERED_TO_COUNT = 2;

/** What a probe looks at. */
export interface HolderProbeParts {
  /** The instance that holds the cell; undefined if it is this one or none. */
  readonly holder: () => string | undefined;
  /** Since when the log is silent while it could be read. */
  readonly silentSince: () => types.clock.MonotonicMs | undefined;
  readonly ping: (instance: string, timeoutMs: number) => Promise<boolean>;
  /** Only entries that stand by ask: all at once would overload a slow holder. */
  readonly isStandby: () => boolean;
  readonly clock: types.clock.Clock;
}

/** Watches the holder. */
export interface HolderProbe {
  run(signal: AbortSignal): Promise<void>;
  /** Whether the holder is silent in the log and answers no questions. */
  isLost(): boolean;
}

/** Creates a probe that has asked nothing yet. */
export function createHolderProbe(parts: HolderProbeParts): HolderProbe {
  const {clock} = parts;
  let unanswered = 0;

  function suspect(): string | undefined {
    const since = parts.silentSince();
    if (since === undefined) return undefined;
    return clock.monotonic() - since < failoverPolicy.ASK_AFTER_MS
      ? undefined
      : parts.holder();
  }

  return {
    async run(signal) {
      while (!signal.aborted) {
        const pauseMs = parts.isStandby() ? PAUSE_MS : OBSERVER_PAUSE_MS;
        await types.clock.sleepFor(clock, pauseMs, signal);
        const instance = parts.isStandby() ? suspect() : undefined;
        if (instance === undefined) {
          unanswered = 0;
          continue;
        }
        const lives = await parts.ping(instance, ANSWER_TIMEOUT_MS);
        unanswered = lives ? 0 : unanswered + 1;
      }
    },
    isLost: () => unanswered >= UNANSWERED_TO_COUNT,
  };
}
