/**
 * Compares the jobs that an organisation sends with the rate that it is
 * entitled to while the cell is full.
 */
import * as types from '@gypsumwall/types';
import type * as organisation from './organisation.js';

const MS_PER_S = 1_000;
/** Length of the time over which the rate may be exceeded; seconds. */
const BURST_S = 1;

/** Counts the arrivals of each organisation. */
export interface ArrivalMeter {
  /** Applies the organisations of a configuration. */
  setOrganisations(organisations: organisation.Organisations): void;
  /** Counts a job; returns whether it exceeds the rate of its organisation. */
  exceedsRate(
    id: types.ids.OrganisationId | undefined,
    arrivedAt: types.clock.MonotonicMs,
  ): boolean;
  /** Whether a job would exceed the rate; counts nothing. */
  wouldExceedRate(
    id: types.ids.OrganisationId | undefined,
    arrivesAt: types.clock.MonotonicMs,
  ): boolean;
}

/** A token bucket; each job takes a token. */
interface Bucket {
  readonly tokens: number;
  readonly filledAt: types.clock.MonotonicMs;
}

/** Creates a meter without organisations; no job exceeds a rate. */
export function createArrivalMeter(): ArrivalMeter {
  let organisations: organisation.Organisations = new Map();
  const buckets = new Map<types.ids.OrganisationId, Bucket>();

  /** The bucket at a moment; undefined if no rate is set. */
  function bucketAt(
    id: types.ids.OrganisationId | undefined,
    now: types.clock.MonotonicMs,
  ): Bucket | undefined {
    const weight = id && organisations.get(id)?.weight;
    if (id === undefined || weight === undefined) return undefined;
    // An organisation with a weight below 1 may send single jobs too.
    const full = Math.max(1, weight * BURST_S);
    const {tokens, filledAt} = buckets.get(id) ?? {tokens: full, filledAt: now};
    const passedMs = Math.max(0, now - filledAt);
    return {
      tokens: Math.min(full, tokens + (weight * passedMs) / MS_PER_S),
      filledAt: types.clock.after(filledAt, passedMs),
    };
  }

  return {
    setOrganisations(next) {
      organisations = next;
      for (const id of buckets.keys()) if (!next.has(id)) buckets.delete(id);
    },
    exceedsRate(id, arrivedAt) {
      const bucket = bucketAt(id, arrivedAt);
      if (id === undefined || bucket === undefined) return false;
      const isExceeded = bucket.tokens < 1;
      const tokens = isExceeded ? bucket.tokens : bucket.tokens - 1;
      buckets.set(id, {...bucket, tokens});
      return isExceeded;
    },
    wouldExceedRate(id, arrivesAt) {
      const bucket = bucketAt(id, arrivesAt);
      return bucket !== undefined && bucket.tokens < 1;
    },
  };
}
