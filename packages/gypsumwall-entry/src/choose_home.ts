/**
 * The home of a job that its caller gave a key.
 *
 * Failure: a caller repeats a submission, and the balancer sends it to an
 * entry of another failure domain. Symptom: two homes each accept the key,
 * and a plan runs twice. The key itself names the home, the same at every
 * entry, so that one stream of the log decides on all repetitions.
 */
import * as crypto from 'node:crypto';
import * as types from '@gypsumwall/types';

/**
 * Rendezvous hashing: with a domain more or less, only keys of that domain
 * change their home. Undefined where there are no domains.
 */
export function chooseHome(
  team: types.ids.TeamId,
  key: types.ids.IdempotencyKey,
  domains: readonly string[],
): types.ids.FailureDomain | undefined {
  const ranked = domains
    .map((domain) => ({domain, rank: rankOf(team, key, domain)}))
    .sort((left, right) => (left.rank < right.rank ? 1 : -1));
  const first = ranked[0]?.domain;
  return first === undefined
    ? undefined
    : types.ids.brand<types.ids.FailureDomain>(first);
}

/** Hexadecimal digits of a job's suffix: enough that no two keys meet. */
const SUFFIX_LENGTH = 24;

/**
 * The suffix of the id of the job that a key stands for. All repetitions get
 * one id, so that a record may be appended by an entry that can't read its
 * stream back: whichever record comes first, the id that was told is right.
 */
export function suffixOfKey(
  team: types.ids.TeamId,
  key: types.ids.IdempotencyKey,
): string {
  return crypto
    .createHash('sha256')
    .update(JSON.stringify([team, key]))
    .digest('hex')
    .slice(0, SUFFIX_LENGTH);
}

function rankOf(
  team: types.ids.TeamId,
  key: types.ids.IdempotencyKey,
  domain: string,
): string {
  return crypto
    .createHash('sha256')
    .update(JSON.stringify([team, key, domain]))
    .digest('hex');
}
