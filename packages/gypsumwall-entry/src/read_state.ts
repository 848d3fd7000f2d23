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
  const requested = streams.find((stream) => stream.name === req.stream);
  if (requested?.follower.isCaughtUp() !== true) {
    return {entryId: self, nextOffset: UNKNOWN_OFFSET};
  }
  const nextOffset = requested.follower.nextOffset();
  if (nextOffset <= Number(req.above)) {
    return {entryId: self, nextOffset: BigInt(nextOffset)};
  }
  const snapshot = requested.follower.snapshot();
  return {
    entryId: self,
    nextOffset: BigInt(snapshot.nextOffset),
    snapshot: Buffer.from(snapshot.text),
  };
}
