/**
 * Records of one failure domain's stream, `domain.<name>`. Their order in the
 * log decides: who holds the domain's claim, which jobs were accepted, how
 * tasks ended.
 */
import type * as types from '@gypsumwall/types';

/** Offset of a claim's record: its epoch. Higher is newer. */
export type Epoch = number;

/** How a taker knows that nobody extended the claim before. */
export type Witness =
  /** There was no claim, or its holder released it. */
  | {readonly type: 'vacant'}
  /** A peer named on the claim, whose promise has run out. */
  | {readonly type: 'named_peer'; readonly entryId: types.ids.EntryId}
  /** The holder's process ended, a ttl ago or longer. */
  | {readonly type: 'holder_gone'}
  /** Neither holder nor any named peer is on the list any more. */
  | {readonly type: 'all_gone'};

/** Where the peer service of each process named in a record is. */
export type PeerAddresses = Readonly<Record<types.ids.EntryId, string>>;

/** What a claim and each of its renewals say alike. */
interface ClaimTerms {
  readonly holder: types.ids.EntryId;
  /** Peers whose promises together extend the claim without the log. */
  readonly named: readonly types.ids.EntryId[];
  /** Of the holder and of all named peers. */
  readonly addresses: PeerAddresses;
  /** How long it holds, from before the append. */
  readonly ttlMs: number;
  /** How long the list must lack holder and named before `all_gone`. */
  readonly allGoneMs: number;
  /**
   * Offset of the newest claim, renewal or release that counted when this was
   * written, null for none. The record counts only if that still is the
   * newest: a late duplicate, or a taker that missed a renewal, falls out.
   */
  readonly seen: number | null;
}

/** A record of the stream. */
export type DomainRecord =
  | (ClaimTerms & {
      readonly type: 'claim';
      /** The claim it replaces; it counts only if that is the newest. */
      readonly replaces: Epoch | null;
      readonly witness: Witness;
    })
  | (ClaimTerms & {readonly type: 'renew'; readonly epoch: Epoch})
  | {
      readonly type: 'release';
      readonly epoch: Epoch;
      readonly holder: types.ids.EntryId;
    }
  | {
      readonly type: 'job_accepted';
      readonly jobId: types.ids.JobId;
      /** The caller's key; a second record with it is no new job. */
      readonly key: types.ids.IdempotencyKey;
      readonly spec: types.job.JobSpec;
      readonly acceptedAt: types.clock.WallMs;
      /** W3C trace context of the submission. */
      readonly traceparent?: string;
    }
  | {
      readonly type: 'job_cancelled';
      readonly jobId: types.ids.JobId;
    }
  | {
      readonly type: 'job_given_up';
      readonly jobId: types.ids.JobId;
      readonly message: string;
    }
  | {
      readonly type: 'task_ended';
      readonly taskId: types.ids.TaskId;
      readonly attempt: types.ids.AttemptId;
      readonly end: types.job.TaskEnd;
    };

/** Name of a failure domain's stream. */
export function streamOf(failureDomain: types.ids.FailureDomain): string {
  return `domain.${failureDomain}`;
}
