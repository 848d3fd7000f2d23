/** Hashes of the tokens in a subtree. */
import type * as checkSubtree from './check_subtree.js';

/** Returns the hashes of the operators' tokens in `cell`, or of a team's. */
export function listTokenHashes(
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

/** Returns the first other subtree that shares a token hash with `subtree`. */
export function findSharedTokenOwner(
  subtree: checkSubtree.CheckedSubtree,
  others: readonly checkSubtree.CheckedSubtree[],
): checkSubtree.CheckedSubtree | undefined {
  const hashes = new Set(listTokenHashes(subtree));
  return others
    .filter((other) => other.path !== subtree.path)
    .find((other) => listTokenHashes(other).some((hash) => hashes.has(hash)));
}
