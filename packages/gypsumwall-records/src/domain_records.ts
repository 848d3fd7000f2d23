/**
 * Records of one failure domain's stream, `domain.<name>`. Their order in the
 * log decides who holds the domain's claim, which jobs are accepted and how
 * tasks ended. They are stored as JSON, so the field names must stay.
 */
import type * as types from '@gypsumwall/types';

/** A claim's epoch: the offset of its record. Newer claims have higher ones. */
export type Epoch = number;

/** How a taker knows that the previous claim was not extended. */
export type Witness =
  /** There was no claim, or its holder released it. */
  | {readonly type: 'vacant'}
  /** A peer named on the claim, whose promise has expired. */
  | {readonly type: 'named_peer'; readonly entryId: types.ids.EntryId}
  /** The holder's process ended at least one `ttlMs` ago. */
  | {readonly type: 'holder_gone'}
  /** Neither the holder nor any named peer is on the list any more. */
  | {readonly type: 'all_gone'};

/** Address of the peer service of each process named in a record. */
export type PeerAddresses = Readonly<Record<types.ids.EntryId, string>>;

/** Fields that a claim and its renewals share. */
interface ClaimTerms {
  readonly holder: types.ids.EntryId;
  /** Peers that can together extend the claim by promises, without the log. */
  readonly named: readonly types.ids.EntryId[];
  /** Addresses of the holder and of all named peers. */
  readonly addresses: PeerAddresses;
  /** How long the claim is valid, counted from before its append. */
  readonly ttlMs: number;
  /** How long holder and named peers must be off the list for `all_gone`. */
  readonly allGoneMs: number;
  /**
   * Offset of the newest valid claim, renewal or release that the writer had
   * seen, null for none. The record is valid only if that one is still the
   * newest. This rules out late duplicates and takers that missed a renewal.
   */
  readonly seen: number | null;
}

/** A record of the stream. */
export type DomainRecord =
  | (ClaimTerms & {
      readonly type: 'claim';
      /** Epoch of the replaced claim, which must be the newest one. */
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
      /** The caller's key; further records with the same key are ignored. */
      readonly key: types.ids.IdempotencyKey;
      readonly spec: types.job.JobSpec;
      readonly acceptedAt: types.clock.WallMs;
      /** W3C trace context of the call that submitted the job. */
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

/** Returns the name of a failure domain's stream. */
export function streamOf(failureDomain: types.ids.FailureDomain): string {
  return `domain.${failureDomain}`;
}
