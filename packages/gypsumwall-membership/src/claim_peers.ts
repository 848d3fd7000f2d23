/** What holder, named peers and takers of a claim say to each other. */
import type * as types from '@gypsumwall/types';

/** A process named on a claim, and where it was when it was named. */
export interface NamedPeer {
  readonly entryId: types.ids.EntryId;
  readonly address: string;
}

/** A holder asks a named peer not to let its claim be taken for a while. */
export interface PromiseRequest {
  readonly holder: types.ids.EntryId;
  readonly epoch: number;
  /** Offset of the newest renewal that the holder knows. */
  readonly seen: number;
  readonly promiseMs: number;
}

/** A taker asks a named peer whether the claim may be taken. */
export interface WitnessRequest {
  readonly taker: types.ids.EntryId;
  readonly epoch: number;
  /** Offset of the newest renewal that the taker read. */
  readonly seen: number;
}

/** The named peer's own answer to a holder. */
export type PromiseReply =
  | {readonly type: 'promised'}
  | {readonly type: 'refused'; readonly reason: string};

/** The named peer's own answer to a taker. */
export type WitnessReply =
  | {readonly type: 'released'}
  | {readonly type: 'wait'; readonly waitMs: number};

/**
 * What became of asking a peer, beside its own answer.
 * - `gone`: the process has ended for sure: its address refuses connections,
 *   or another process answers there. Ids are never used twice.
 * - `silent`: anything else; the peer may live and may have acted.
 */
export type NoReply = {readonly type: 'gone'} | {readonly type: 'silent'};

/** Asks named peers. Neither call throws; both end within `timeoutMs`. */
export interface ClaimPeers {
  promise(
    peer: NamedPeer,
    ask: PromiseRequest,
    timeoutMs: number,
  ): Promise<PromiseReply | NoReply>;
  witness(
    peer: NamedPeer,
    ask: WitnessRequest,
    timeoutMs: number,
  ): Promise<WitnessReply | NoReply>;
}
