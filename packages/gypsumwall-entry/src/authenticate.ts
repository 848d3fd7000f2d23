/**
 * Authenticates callers by token, as a team or an operator. Only hashes of
 * tokens are stored, and they are compared in constant time.
 */
import * as crypto from 'node:crypto';
import type * as records from '@gypsumwall/records';
import * as types from '@gypsumwall/types';

/** An authenticated caller. */
export type Identity =
  | {readonly type: 'team'; readonly team: types.ids.TeamId}
  | {
      readonly type: 'operator';
      readonly name: string;
      /** Subtrees the operator may publish; `*` is the whole tree. */
      readonly subtrees: readonly string[];
    };

/** Returns whose token the header carries; undefined if it is unknown. */
export type Authenticate = (
  authorization: string | undefined,
) => Identity | undefined;

const BEARER_PATTERN = /^Bearer +(\S+)$/i;
const ROOT_OPERATOR = 'root';
/** The cache avoids comparing each call's token with all hashes. */
const MAX_CACHED_IDENTITIES = 10_000;

/** Creates the check against the current settings tree. */
export function createAuthenticator(
  config: records.configFold.ConfigFold,
  rootOperatorTokenHash: string,
): {readonly authenticate: Authenticate; readonly clearCache: () => void} {
  const cache = new Map<string, Identity>();

  function findIdentity(hash: string): Identity | undefined {
    if (sameHash(hash, rootOperatorTokenHash)) {
      return {type: 'operator', name: ROOT_OPERATOR, subtrees: ['*']};
    }
    const operators = Object.entries(config.cell()?.operators ?? {});
    for (const [name, operator] of operators) {
      if (sameHash(hash, operator.tokenHash)) {
        return {type: 'operator', name, subtrees: operator.subtrees};
      }
    }
    for (const [id, team] of config.teams()) {
      if (team.tokenHashes.some((allowed) => sameHash(hash, allowed))) {
        return {type: 'team', team: types.ids.brand<types.ids.TeamId>(id)};
      }
    }
    return undefined;
  }

  return {
    // Call this when the settings change, as that may revoke a token.
    clearCache: () => cache.clear(),
    authenticate: (authorization) => {
      const token = BEARER_PATTERN.exec(authorization ?? '')?.[1];
      if (token === undefined) return undefined;
      const hash = sha256(token);
      const cached = cache.get(hash);
      if (cached !== undefined) return cached;
      const identity = findIdentity(hash);
      if (identity !== undefined && cache.size < MAX_CACHED_IDENTITIES) {
        cache.set(hash, identity);
      }
      return identity;
    },
  };
}

/** Returns the SHA-256 hash in hexadecimal. */
export function sha256(data: string | Uint8Array): string {
  return crypto.createHash('sha256').update(data).digest('hex');
}

function sameHash(left: string, right: string): boolean {
  return (
    left.length === right.length &&
    crypto.timingSafeEqual(Buffer.from(left), Buffer.from(right))
  );
}

/** Whether an operator may publish a subtree. */
export function mayPublish(identity: Identity, path: string): boolean {
  if (identity.type !== 'operator') return false;
  return identity.subtrees.some(
    (allowed) =>
      allowed === '*' || allowed === path || path.startsWith(`${allowed}/`),
  );
}
