/** Counts the jobs that an entry has refused, by reason and organisation. */
import type * as types from '@gypsumwall/types';
import type * as loadShedder from './load_shedder.js';

/** Maximum number of counted pairs; further ones count without organisation. */
const MAX_COUNTS = 200;

/** Refusals for one reason. */
export interface RefusalCount {
  readonly reason: loadShedder.RefusalReason;
  /** Absent for callers without one, and beyond the maximum of counts. */
  readonly organisation: types.ids.OrganisationId | undefined;
  readonly count: number;
}

/** The counts of one entry. */
export interface RefusalCounts {
  add(
    reason: loadShedder.RefusalReason,
    organisation: types.ids.OrganisationId | undefined,
  ): void;
  all(): RefusalCount[];
}

/** Creates counts of zero. */
export function createRefusalCounts(): RefusalCounts {
  const counts = new Map<string, RefusalCount>();

  function addTo(counted: Omit<RefusalCount, 'count'>): void {
    const key = `${counted.reason} ${counted.organisation ?? ''}`;
    const count = (counts.get(key)?.count ?? 0) + 1;
    counts.set(key, {...counted, count});
  }

  return {
    add(reason, organisation) {
      const isKnown = counts.has(`${reason} ${organisation ?? ''}`);
      const isNamed = isKnown || counts.size < MAX_COUNTS;
      addTo({reason, organisation: isNamed ? organisation : undefined});
    },
    all: () => [...counts.values()],
  };
}
