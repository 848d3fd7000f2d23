/** Serves a stream's state to a peer that can't read it from the log. */
import type * as protocol from '@gypsumwall/protocol';
import type * as types from '@gypsumwall/types';
import type * as entryStream from './entry_stream.js';

/** Returned for a stream that this entry has not read to its end itself. */
export const UNKNOWN_OFFSET = -1n;

/** Returns the requested stream's state if it is newer than the peer's. */
export function readState(
  self: types.ids.EntryId,
  streams: readonly entryStream.EntryStream[],
  req: protocol.peer.ReadStateRequest,
): {entryId: string; nextOffset: bigint; snapshot?: Uint8Array} {
  const found = streams.find((stream) => stream.name === req.stream);
  if (found?.follower.isCaughtUp() !== true) {
    return {entryId: self, nextOffset: UNKNOWN_OFFSET};
  }
  const next = found.follower.nextOffset();
  if (next <= Number(req.above)) {
    return {entryId: self, nextOffset: BigInt(next)};
  }
  const snapshot = found.follower.snapshot();
  return {
    entryId: self,
    nextOffset: BigInt(snapshot.nextOffset),
    snapshot: Buffer.from(snapshot.text),
  };
}
