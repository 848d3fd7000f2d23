/**
 * Identifies callers by their API keys, and recognises callers that another
 * entry has identified by keys that have changed since.
 */
import type * as types from '@gypsumwall/types';
import * as apiKey from './api_key.js';
import type * as organisation from './organisation.js';

/** An identified caller. */
export interface Caller {
  readonly organisation: types.ids.OrganisationId;
  /** Version of the configuration that contains its key. */
  readonly configVersion: number;
}

/** The keys of the newest configuration. */
export interface KeyDirectory {
  /** Applies a newer configuration. */
  apply(version: number, organisations: organisation.Organisations): void;
  /** Returns the caller that a key belongs to; undefined if it is unknown. */
  find(key: string): Caller | undefined;
  /**
   * Whether the keys of the caller's organisation may have changed since the
   * version by which another entry identified it. Entries don't send keys to
   * each other, so the caller can't be identified again here.
   */
  isOutdated(caller: Caller): boolean;
}

/** Creates a directory without keys. */
export function createKeyDirectory(): KeyDirectory {
  let version = -1;
  let firstVersion = Infinity;
  let organisations: organisation.Organisations = new Map();
  let owners = new Map<apiKey.KeyHash, types.ids.OrganisationId>();
  /** Versions in which the keys of organisations changed after the first. */
  const changedIn = new Map<types.ids.OrganisationId, number>();

  function recordChanges(
    next: organisation.Organisations,
    nextVersion: number,
  ): void {
    for (const id of new Set([...organisations.keys(), ...next.keys()])) {
      if (fingerprint(organisations.get(id)) === fingerprint(next.get(id)))
        continue;
      changedIn.set(id, nextVersion);
    }
  }

  return {
    apply(nextVersion, next) {
      if (firstVersion === Infinity) firstVersion = nextVersion;
      else recordChanges(next, nextVersion);
      version = nextVersion;
      organisations = next;
      owners = new Map();
      for (const {id, keyHashes} of next.values()) {
        for (const hash of keyHashes) owners.set(hash, id);
      }
    },
    find(key) {
      const id = owners.get(apiKey.hashKey(key));
      if (id === undefined) return undefined;
      return {organisation: id, configVersion: version};
    },
    isOutdated({organisation: id, configVersion}) {
      if (configVersion >= version) return false;
      if (configVersion < firstVersion) return true;
      return (changedIn.get(id) ?? firstVersion) > configVersion;
    },
  };
}

/** Equal for organisations with the same keys. */
function fingerprint(one: organisation.Organisation | undefined): string {
  return one === undefined ? 'absent' : [...one.keyHashes].sort().join();
}
