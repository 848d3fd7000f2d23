/** State folded from a domain's stream: its jobs and the claim on it. */
import type * as membership from '@gypsumwall/membership';
import type * as records from '@gypsumwall/records';

/** The part of the claim keeper that applies the stream's claim records. */
export type ClaimPart = Pick<
  membership.claimKeeper.ClaimKeeper,
  'apply' | 'newest' | 'restore'
>;

/** Stored in the log as JSON; the field names must stay. */
interface DomainSnapshot {
  readonly jobs: string;
  readonly claim?: ReturnType<ClaimPart['newest']>;
}

/** Combines both parts in one fold, so that one snapshot covers both. */
export function createDomainFold(
  jobs: records.jobFold.JobFold,
  claim: ClaimPart,
): records.streamFold.StreamFold {
  return {
    apply: (offset, body, readAt) => {
      jobs.apply(offset, body, readAt);
      claim.apply(offset, body as records.domainRecords.DomainRecord, readAt);
    },
    snapshot: () => {
      const saved: DomainSnapshot = {
        jobs: jobs.snapshot(),
        claim: claim.newest(),
      };
      return JSON.stringify(saved);
    },
    restore: (text, readAt) => {
      const saved = JSON.parse(text) as DomainSnapshot;
      jobs.restore(saved.jobs, readAt);
      claim.restore(saved.claim, readAt);
    },
  };
}
