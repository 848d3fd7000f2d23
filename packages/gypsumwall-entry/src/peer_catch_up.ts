/**
 * Reads stream states from peers while the log can't supply them: an entry that
 * is new, or cut off from the log, adopts a peer's newer state.
 */
import type * as membership from '@gypsumwall/membership';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as entryStream from './entry_stream.js';
import * as readState from './read_state.js';

/** Options of `catchUpFromPeers`. */
export interface PeerCatchUpOptions {
  /** Streams, each with the peers that also follow it. */
  readonly streams: ReadonlyArray<{
    readonly stream: entryStream.EntryStream;
    readonly peers: () => readonly membership.domainView.PeerEntry[];
  }>;
  readonly clients: membership.peerClients.PeerClients;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
}

const POLL_INTERVAL_MS = 1_000;
/** After this time without an answer, the log counts as unreachable. */
const MAX_LOG_SILENCE_MS = 3_000;

/** Polls peers until the signal aborts. */
export async function catchUpFromPeers(
  options: PeerCatchUpOptions,
  signal: AbortSignal,
): Promise<void> {
  const {clock} = options;
  while (!signal.aborted) {
    const pollAt = types.clock.after(clock.monotonic(), POLL_INTERVAL_MS);
    await clock.sleepUntil(pollAt, signal);
    for (const {stream, peers} of options.streams) {
      if (signal.aborted) return;
      if (isLogSufficient(stream, clock)) continue;
      await readFromPeer(options, stream, peers());
    }
  }
}

/** Whether the log answered recently and the stream was read to its end. */
function isLogSufficient(
  stream: entryStream.EntryStream,
  clock: types.clock.Clock,
): boolean {
  const answeredAt = stream.follower.lastAnswerAt();
  if (answeredAt === undefined || !stream.follower.isCaughtUp()) return false;
  return clock.monotonic() < types.clock.after(answeredAt, MAX_LOG_SILENCE_MS);
}

async function readFromPeer(
  options: PeerCatchUpOptions,
  stream: entryStream.EntryStream,
  peers: readonly membership.domainView.PeerEntry[],
): Promise<void> {
  const reachable = peers.filter((peer) => peer.state !== 'silent');
  if (reachable.length === 0) return;
  const peer = reachable[options.random.integer(0, reachable.length - 1)];
  if (peer === undefined) return;
  const answer = await options.clients.clientFor(peer.address).readState({
    stream: stream.name,
    above: BigInt(stream.follower.adoptableAbove()),
  });
  if (answer.isErr || answer.value.nextOffset === readState.UNKNOWN_OFFSET)
    return;
  if (answer.value.snapshot.length === 0) {
    // The peer has no newer state. For an empty stream, which has no state to
    // adopt, this answer is what shows that this entry is caught up.
    stream.follower.confirmCaughtUp(Number(answer.value.nextOffset));
    return;
  }
  const isAdopted = stream.follower.adopt({
    nextOffset: Number(answer.value.nextOffset),
    text: Buffer.from(answer.value.snapshot).toString('utf8'),
  });
  if (!isAdopted) return;
  options.logger.info('state_from_peer', {
    stream: stream.name,
    peer: peer.address,
    next_offset: Number(answer.value.nextOffset),
  });
}
