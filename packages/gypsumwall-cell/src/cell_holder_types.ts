/** What a cell's holder is made with, and what it does for its entry. */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as cellState from './cell_state.js';
import type * as claimView from './claim_view.js';
import type * as jobTable from './job_table.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';
import type * as workerRoster from './worker_roster.js';

/** What a holder is made with. */
export interface CellHolderOptions {
  readonly claim: claimView.CellClaim;
  readonly cellLog: ports.KeyedLog;
  readonly workerLog: ports.KeyedLog;
  readonly decodeWorker: workerRoster.RosterOptions['decode'];
  readonly isUsedPool: workerRoster.RosterOptions['isUsedPool'];
  readonly connect: (
    worker: scheduling.workerRegistry.WorkerInfo,
  ) => ports.WorkerLink;
  /** Entries that may ask the adviser now, this one among them. */
  readonly advisers: () => ReadonlyMap<string, ports.Adviser>;
  readonly jobs: jobTable.JobTable;
  readonly state: cellState.CellState;
  /** Reads the jobs' log to its end. */
  readonly catchUpJobs: () => Promise<boolean>;
  readonly policyOf: (
    queue: string,
  ) => scheduling.jobRequest.QueuePolicy | undefined;
  readonly leaseMs: number;
  /** The longest that a worker takes to stop a task; milliseconds. */
  readonly longestStopMs: number;
  /** Silence after which the list drops a worker; milliseconds, if known. */
  readonly listExpiryMs: number | undefined;
  readonly storeHealth: storeHealth.StoreHealth;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly onFenced: () => void;
}

/** A cell's holder. */
export interface CellHolder {
  readonly claim: claimView.CellClaim;
  /** Takes inherited work over; resolves once it decides. */
  start(): Promise<void>;
  onJobAdded(job: jobTable.JobEntry): void;
  onJobCancelled(id: types.ids.JobId): void;
  onPoliciesChanged(): void;
  /** Jobs whose end is stored, handed over once. */
  takeEndedJobs(): types.ids.JobId[];
  /** Drops jobs from the cell's log that are over for long. */
  dropProgress(ids: readonly types.ids.JobId[]): Promise<void>;
  /** Lets another entry take the cell at once, and ends. */
  handOver(): Promise<void>;
  stop(): void;
  counts(): scheduling.schedulerTypes.SchedulerCounts;
}
