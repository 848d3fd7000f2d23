/** All that a domain's stream tells: its jobs and the claim on it. */
import type * as membership from '@gypsumwall/membership';
import type * as records from '@gypsumwall/records';

/** What the stream's claim records are handed to. */
export type ClaimPart = Pick<
  membership.claimKeeper.ClaimKeeper,
  'apply' | 'newest' | 'restore'
>;

interface DomainSnapshot {
  readonly jobs: string;
  readonly claim?: ReturnType<ClaimPart['newest']>;
}

/** Puts both parts under one fold, so that one snapshot covers both. */
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
