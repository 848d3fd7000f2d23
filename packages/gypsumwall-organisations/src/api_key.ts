/** API keys. Only their hashes are kept; neither leaves the process. */
import * as crypto from 'node:crypto';
import type * as types from '@gypsumwall/types';

/** SHA-256 of an API key. */
export type KeyHash = types.ids.Brand<'KeyHash'>;

/** Returns the hash of a key. */
export function hashKey(key: string): KeyHash {
  return crypto.createHash('sha256').update(key).digest('base64') as KeyHash;
}
