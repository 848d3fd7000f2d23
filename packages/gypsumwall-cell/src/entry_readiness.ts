/** How current an entry's replicas are, and whether it can serve callers. */
import type * as types from '@gypsumwall/types';
import type * as configKeeper from './config_keeper.js';
import type * as logFollower from './log_follower.js';
import type * as pauseDetector from './pause_detector.js';

/**
 * An entry that reaches neither the store nor a peer reports itself as not
 * ready after this time; milliseconds.
 */
const UNREADY_AFTER_MS = 400;
/**
 * Maximum age of a configuration by which an unknown key or queue is refused
 * for good; milliseconds. A read of the log waits for a change for 1 s.
 */
const MAX_CONFIG_AGE_MS = 1_500;

/** Dependencies of the readiness. */
export interface EntryReadinessParts {
  readonly configs: Pick<configKeeper.ConfigKeeper, 'config'>;
  readonly followers: {
    readonly config: logFollower.LogFollower;
    readonly jobs: logFollower.LogFollower;
    readonly cell: logFollower.LogFollower;
  };
  readonly detector: pauseDetector.PauseDetector;
  readonly isLeaving: () => boolean;
  /** Whether a peer has stored a record for this entry recently. */
  readonly hasRelayedRecently: () => boolean;
  readonly clock: types.clock.Clock;
}

/** What an entry knows of its own state. */
export interface EntryReadiness {
  /**
   * An entry that can't accept jobs reports that it isn't ready, so that the
   * balancer sends new callers to others. If no entry reaches the store, none
   * is ready, and the balancer then uses all of them.
   */
  isReady(): boolean;
  /**
   * Whether the configuration was read recently. Otherwise a newer version may
   * contain a key or queue that is unknown here.
   */
  isConfigCurrent(): boolean;
  /**
   * Age of this entry's replica: jobs are accepted in one log and their
   * progress is stored in another, so the older log decides. Records read
   * before a suspension of the process count as infinitely old, because the
   * monotonic clock doesn't show how long the suspension lasted.
   */
  replicaAgeMs(): number;
}

/** Creates the readiness of one entry. */
export function createEntryReadiness({
  configs,
  followers,
  detector,
  isLeaving,
  hasRelayedRecently,
  clock,
}: EntryReadinessParts): EntryReadiness {
  let reachableAt = clock.monotonic();
  return {
    isReady() {
      if (isLeaving() || configs.config() === undefined) return false;
      if (followers.jobs.position() === undefined) return false;
      const now = clock.monotonic();
      if (followers.jobs.reachableSince() !== undefined) reachableAt = now;
      return now - reachableAt < UNREADY_AFTER_MS || hasRelayedRecently();
    },
    isConfigCurrent() {
      const completeUntil = followers.config.completeUntil();
      if (completeUntil === undefined) return false;
      if (completeUntil <= detector.lastDetectedAt()) return false;
      return clock.monotonic() - completeUntil <= MAX_CONFIG_AGE_MS;
    },
    replicaAgeMs() {
      const completeUntil = Math.min(
        followers.jobs.completeUntil() ?? -Infinity,
        followers.cell.completeUntil() ?? -Infinity,
      );
      if (completeUntil <= detector.lastDetectedAt()) return Infinity;
      return clock.monotonic() - completeUntil;
    },
  };
}
