/**
 * Chooses the home domain of a job whose caller gave an idempotency key.
 *
 * Failure: a caller repeats a submission, and the balancer sends it to an
 * entry of another failure domain. Symptom: two homes each accept the key,
 * and the job runs twice. The home is therefore computed from the key, with
 * the same result at every entry, so that one stream of the log decides on all
 * repetitions.
 */
import * as crypto from 'node:crypto';
import * as types from '@gypsumwall/types';

/**
 * Chooses the home by rendezvous hashing: if a domain is added or removed, only
 * the keys of that domain change their home. Undefined if there is no domain.
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

/** Hexadecimal digits of a job's suffix; enough to avoid collisions of keys. */
const SUFFIX_LENGTH = 24;

/**
 * Returns the suffix of the id of a key's job. All repetitions of a submission
 * get the same id, so an entry may append the job's record to a stream that it
 * can't read back: whichever record is first, the id given to the caller is
 * right.
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
