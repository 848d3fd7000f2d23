/** Requests and replies between holder, named peers and takers of a claim. */
import type * as types from '@gypsumwall/types';

/** A process named on a claim, and its address. */
export interface NamedPeer {
  readonly entryId: types.ids.EntryId;
  readonly address: string;
}

/** Asks a named peer to block takeovers of the holder's claim for some time. */
export interface PromiseRequest {
  readonly holder: types.ids.EntryId;
  readonly epoch: number;
  /** Offset of the newest renewal that the holder has read. */
  readonly seen: number;
  readonly promiseMs: number;
}

/** Asks a named peer whether a taker may take over the claim. */
export interface WitnessRequest {
  readonly taker: types.ids.EntryId;
  readonly epoch: number;
  /** Offset of the newest renewal that the taker has read. */
  readonly seen: number;
}

/** A named peer's reply to a holder. */
export type PromiseReply =
  | {readonly type: 'promised'}
  | {readonly type: 'refused'; readonly reason: string};

/** A named peer's reply to a taker. */
export type WitnessReply =
  | {readonly type: 'released'}
  | {readonly type: 'wait'; readonly waitMs: number};

/**
 * The outcome of a call that the peer didn't answer.
 * - `gone`: the process has certainly ended, because its address refuses
 *   connections or another process answers there. Ids are never reused.
 * - `silent`: any other failure. The peer may be alive and may have acted.
 */
export type NoReply = {readonly type: 'gone'} | {readonly type: 'silent'};

/** Calls to named peers. They never reject, and end within `timeoutMs`. */
export interface ClaimPeers {
  requestPromise(
    peer: NamedPeer,
    req: PromiseRequest,
    timeoutMs: number,
  ): Promise<PromiseReply | NoReply>;
  requestWitness(
    peer: NamedPeer,
    req: WitnessRequest,
    timeoutMs: number,
  ): Promise<WitnessReply | NoReply>;
}
