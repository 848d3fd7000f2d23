/**
 * Chooses the entries that this entry sends heartbeats to. Claims and slot
 * shares need every entry of the own domain. Of each other domain a few entries
 * suffice, to forward calls to and to get settings from. In a full mesh the
 * processor time of each entry would grow with the number of entries.
 */
import * as crypto from 'node:crypto';
import type * as types from '@gypsumwall/types';

/** How many answering entries are chosen of each other domain, if it has them. */
export const REPRESENTATIVES_PER_DOMAIN = 2;

/**
 * Up to this many peers of other domains get heartbeats at the full rate. With
 * more peers the interval grows, so that the total cost stays the same.
 */
export const MAX_FULL_RATE_PEERS = 8;

/** Factor on the heartbeat interval for peers of other domains; 1 or more. */
export function slowdownFactor(peersOfOtherDomains: number): number {
  return Math.max(1, Math.ceil(peersOfOtherDomains / MAX_FULL_RATE_PEERS));
}

/** An entry that can be chosen. */
export interface Candidate {
  readonly address: string;
  readonly failureDomain: types.ids.FailureDomain;
  /** Whether its heartbeats are unanswered; false if none was sent yet. */
  readonly isSilent: boolean;
}

/** The entry that chooses its peers. */
export interface Chooser {
  readonly address: string;
  readonly failureDomain: types.ids.FailureDomain;
}

/**
 * The addresses of the chosen peers. Each entry ranks the entries of another
 * domain in its own order, so that they are chosen evenly. A silent peer stays
 * chosen, so that its return is detected, and another peer is added.
 */
export function choosePeers(
  chooser: Chooser,
  candidates: readonly Candidate[],
): ReadonlySet<string> {
  const chosen = new Set<string>();
  const candidatesByDomain = new Map<types.ids.FailureDomain, Candidate[]>();
  for (const candidate of candidates) {
    if (candidate.failureDomain === chooser.failureDomain) {
      chosen.add(candidate.address);
      continue;
    }
    const sameDomain = candidatesByDomain.get(candidate.failureDomain) ?? [];
    candidatesByDomain.set(candidate.failureDomain, [...sameDomain, candidate]);
  }
  for (const domain of candidatesByDomain.values()) {
    for (const {address} of chooseRepresentatives(chooser, domain)) {
      chosen.add(address);
    }
  }
  return chosen;
}

function chooseRepresentatives(
  chooser: Chooser,
  domain: readonly Candidate[],
): readonly Candidate[] {
  const ranked = domain
    .map((candidate) => ({candidate, rank: rankOf(chooser, candidate)}))
    .sort((left, right) => (left.rank < right.rank ? -1 : 1))
    .map(({candidate}) => candidate);
  const chosen: Candidate[] = [];
  let answeringCount = 0;
  for (const candidate of ranked) {
    if (answeringCount === REPRESENTATIVES_PER_DOMAIN) break;
    chosen.push(candidate);
    if (!candidate.isSilent) answeringCount++;
  }
  return chosen;
}

function rankOf(chooser: Chooser, candidate: Candidate): string {
  return crypto
    .createHash('sha256')
    .update(`${chooser.address} ${candidate.address}`)
    .digest('hex');
}
