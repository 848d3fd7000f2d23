/**
 * Entries of the worker list that name no worker to use. Another program may
 * rewrite thousands of them every second, so each key is logged once until its
 * entry can be used again.
 */
import type * as telemetry from '@gypsumwall/telemetry';

/** Number of keys that are logged; further ones are only counted. */
const MAX_LOGGED_KEYS = 1_000;

/** The entries that can't be used. */
export interface ListFaults {
  report(key: string, error: string): void;
  /** The entry of this key can be used, or was removed. */
  clear(key: string): void;
  /** Forgets all keys but these, which are all that the list has. */
  retain(listed: ReadonlySet<string>): void;
  /** Number of keys whose entry can't be used. */
  count(): number;
}

/** Creates an empty set of entries. */
export function createListFaults(logger: telemetry.logger.Logger): ListFaults {
  const keys = new Set<string>();
  return {
    report(key, error) {
      if (keys.has(key)) return;
      keys.add(key);
      if (keys.size < MAX_LOGGED_KEYS) {
        logger.warn('worker_unreadable', {key, error});
      } else if (keys.size === MAX_LOGGED_KEYS) {
        logger.warn('workers_unreadable', {keys: keys.size, key, error});
      }
    },
    clear: (key) => void keys.delete(key),
    retain(listed) {
      for (const key of keys) if (!listed.has(key)) keys.delete(key);
    },
    count: () => keys.size,
  };
}
