/** Who holds the cell, appends for an entry, and stands by to take over. */
import type * as types from '@gypsumwall/types';
import type * as cellStates from './cell_state.js';
import * as chooseAppender from './choose_appender.js';
import type * as peerDirectory from './peer_directory.js';
import type * as rateMeter from './rate_meter.js';
import * as standbyChoice from './standby_choice.js';
import type * as storeHealth from './store_health.js';

const MS_PER_SECOND = 1_000;

/** Dependencies of the roles. */
export interface EntryRolesParts {
  readonly self: {
    readonly instance: string;
    readonly domain: types.ids.FailureDomain;
    readonly cores: number;
  };
  readonly state: Pick<cellStates.CellState, 'claim'>;
  readonly peers: Pick<
    peerDirectory.PeerDirectory,
    'standbyCandidates' | 'maxCores'
  >;
  /** Whether the records of the peers were read. */
  readonly arePeersKnown: () => boolean;
  readonly storeHealth: storeHealth.StoreHealth;
  /** Rate of submissions to the whole cell. */
  readonly submissions: rateMeter.RateMeter;
}

/** The roles as one entry sees them now. */
export interface EntryRoles {
  /** Instance that holds the cell; undefined if it is this one or none. */
  remoteHolder(): string | undefined;
  /** Processor capacity of the holder; that of this entry if it isn't known. */
  holderCores(): number;
  /** Instance that appends for this entry; undefined if it is this one. */
  appender(): string | undefined;
  /** The same while the holder takes no calls of this entry. */
  substituteAppender(): string | undefined;
  /** Whether this entry is a standby; none is before it knows its peers. */
  isStandby(): boolean;
  /** Whether a peer has more processor capacity, or the peers aren't known. */
  isOutranked(): boolean;
}

/** Creates the roles of one entry. */
export function createEntryRoles(parts: EntryRolesParts): EntryRoles {
  const {self, state, peers, arePeersKnown} = parts;

  function appender(): string | undefined {
    return chooseAppender.chooseAppender({
      self,
      peers: peers.standbyCandidates(),
      holder: state.claim()?.instance,
      isStoreQuick: parts.storeHealth.isQuick(),
      submissionsPerSecond: parts.submissions.perMs() * MS_PER_SECOND,
    });
  }

  return {
    remoteHolder() {
      const instance = state.claim()?.instance;
      return instance === self.instance ? undefined : instance;
    },
    holderCores() {
      const instance = state.claim()?.instance;
      if (instance === undefined || instance === self.instance)
        return self.cores;
      for (const peer of peers.standbyCandidates())
        if (peer.instance === instance && peer.cores > 0) return peer.cores;
      return self.cores;
    },
    appender,
    substituteAppender() {
      const holder = state.claim()?.instance;
      if (holder === undefined || appender() !== holder) return undefined;
      const candidates = peers.standbyCandidates();
      return chooseAppender.chooseSubstitute(self, candidates, holder);
    },
    isStandby: () =>
      arePeersKnown() &&
      standbyChoice.isStandby(self, peers.standbyCandidates()),
    isOutranked: () => !arePeersKnown() || peers.maxCores() > self.cores,
  };
}
