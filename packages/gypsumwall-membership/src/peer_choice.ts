/**
 * Which entries this one sends heartbeats to. Claims and slot shares need
 * every entry of the own domain; of each other domain a few suffice, to hand
 * calls to and to learn settings from. A mesh of all entries would cost each
 * of them processor time in proportion to their number.
 */
import * as crypto from 'node:crypto';
import type * as types from '@gypsumwall/types';

/** Entries of another domain that are kept in touch with, if so many live. */
export const REPRESENTATIVES_PER_DOMAIN = 2;

/**
 * Peers of other domains that are called at the full rate; with more of them,
 * each is called more seldom, so that their cost stays the same.
 */
export const MAX_FULL_RATE_PEERS = 8;

/** How many times as long a heartbeat to another domain takes its turn. */
export function slowdownFactor(peersOfOtherDomains: number): number {
  return Math.max(1, Math.ceil(peersOfOtherDomains / MAX_FULL_RATE_PEERS));
}

/** An entry that could be kept in touch with. */
export interface Candidate {
  readonly address: string;
  readonly failureDomain: types.ids.FailureDomain;
  /** Heartbeats to it have gone unanswered; false if none was sent. */
  readonly isSilent: boolean;
}

/** Whose point of view it is. */
export interface Chooser {
  readonly address: string;
  readonly failureDomain: types.ids.FailureDomain;
}

/**
 * The addresses to keep in touch with. Each entry ranks another domain's
 * entries in an order of its own, so that they are chosen evenly. A silent
 * one stays chosen, so that its return is noticed, and another is added.
 */
export function choosePeers(
  chooser: Chooser,
  candidates: readonly Candidate[],
): ReadonlySet<string> {
  const chosen = new Set<string>();
  const others = new Map<types.ids.FailureDomain, Candidate[]>();
  for (const candidate of candidates) {
    if (candidate.failureDomain === chooser.failureDomain) {
      chosen.add(candidate.address);
      continue;
    }
    const known = others.get(candidate.failureDomain) ?? [];
    others.set(candidate.failureDomain, [...known, candidate]);
  }
  for (const domain of others.values()) {
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
