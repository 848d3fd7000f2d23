/** Options of a domain scheduler and its parts. */
import type * as placement from '@gypsumwall/placement';
import type * as platform from '@gypsumwall/platform';
import type * as records from '@gypsumwall/records';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as recoveryGate from './recovery_gate.js';

/** Durations from the entry's settings, in milliseconds. */
export interface SchedulerDurations {
  readonly workerHeartbeatMs: number;
  readonly taskLeaseMs: number;
  /** Lease of a service's task, of which two attempts may overlap. */
  readonly serviceLeaseMs: number;
  readonly leaseGraceMs: number;
  readonly listLagMs: number;
}

/** Options of `createDomainScheduler`. */
export interface DomainSchedulerOptions {
  readonly epoch: number;
  readonly self: types.ids.EntryId;
  /** Whether any entry held the domain before this epoch. */
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
  /** Current deadline of the claim; undefined if it is no longer held. */
  readonly claimDeadline: () => types.clock.MonotonicMs | undefined;
  /** Returns an id that no other attempt of this epoch has. */
  readonly nextAttempt: () => types.ids.AttemptId;
  /** Appends to the domain's stream; true once this entry has applied it. */
  readonly append: (
    record: records.domainRecords.DomainRecord,
  ) => Promise<boolean>;
}
