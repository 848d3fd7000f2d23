/** Which tokens a subtree knows, by their hashes. */
import type * as checkSubtree from './check_subtree.js';

/** Hashes of the operators' tokens in `cell`, or of a team's. */
export function tokenHashesOf(
  subtree: checkSubtree.CheckedSubtree,
): readonly string[] {
  switch (subtree.type) {
    case 'cell':
      return Object.values(subtree.policy.operators).map(
        (operator) => operator.tokenHash,
      );
    case 'team':
      return subtree.policy.tokenHashes;
  }
}

/** The first of the others in which a hash of `subtree` stands too. */
export function findSharedTokenOwner(
  subtree: checkSubtree.CheckedSubtree,
  others: readonly checkSubtree.CheckedSubtree[],
): checkSubtree.CheckedSubtree | undefined {
  const hashes = new Set(tokenHashesOf(subtree));
  return others
    .filter((other) => other.path !== subtree.path)
    .find((other) => tokenHashesOf(other).some((hash) => hashes.has(hash)));
}
