/** What a scheduler and its parts are given. */
import type * as placement from '@gypsumwall/placement';
import type * as platform from '@gypsumwall/platform';
import type * as records from '@gypsumwall/records';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as recoveryGate from './recovery_gate.js';

/** Spans of the scheduler, in milliseconds, out of the entry's settings. */
export interface SchedulerDurations {
  readonly workerHeartbeatMs: number;
  readonly taskLeaseMs: number;
  /** Lease of a service's task, which may run twice for a while. */
  readonly serviceLeaseMs: number;
  readonly leaseGraceMs: number;
  readonly listLagMs: number;
}

/** What a scheduler needs. */
export interface DomainSchedulerOptions {
  readonly epoch: number;
  readonly self: types.ids.EntryId;
  /** Whether anybody has held the domain before this epoch. */
  readonly hadPredecessor: boolean;
  readonly durations: SchedulerDurations;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly tracer: telemetry.tracing.Tracer;
  readonly metrics: telemetry.metrics.Metrics;
  readonly placer: placement.placer.Placer;
  readonly jobs: records.jobFold.JobFold;
  readonly recentWorkers: recoveryGate.RecentWorkers;
  readonly makeWorker: (
    listed: platform.instanceList.ListedWorker,
  ) => platform.worker.Worker;
  /** Deadline of the claim now; undefined when it is not held any more. */
  readonly claimDeadline: () => types.clock.MonotonicMs | undefined;
  /** Ids of attempts are unique to the entry and the epoch. */
  readonly nextAttempt: () => types.ids.AttemptId;
  /** Appends to the domain's stream; true once the record is applied here. */
  readonly append: (
    record: records.domainRecords.DomainRecord,
  ) => Promise<boolean>;
}
