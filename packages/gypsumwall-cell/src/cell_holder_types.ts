/** Options and interface of a cell's holder. */
import type * as organisations from '@gypsumwall/organisations';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as cellState from './cell_state.js';
import type * as cellWriter from './cell_writer.js';
import type * as claimView from './claim_view.js';
import type * as forecastCheck from './forecast_check.js';
import type * as jobTable from './job_table.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';
import type * as workerChannel from './worker_channel.js';
import type * as workerRosterTypes from './worker_roster_types.js';
import type * as workerRoutes from './worker_routes.js';

/** Options of a holder. */
export interface CellHolderOptions {
  readonly claim: claimView.CellClaim;
  readonly cellLog: ports.KeyedLog;
  readonly workerLog: ports.KeyedLog;
  readonly decodeWorker: workerRosterTypes.RosterOptions['decode'];
  readonly isUsedPool: workerRosterTypes.RosterOptions['isUsedPool'];
  readonly connect: (
    worker: scheduling.workerRegistry.WorkerInfo,
  ) => ports.WorkerLink;
  /** Processor capacity of this instance, in cores. */
  readonly cores: number;
  /** Busy share of this process's event loop, from 0 to 1. */
  readonly loopUtilization: () => number;
  /** Whether peers get the payload of a start from this holder. */
  readonly sendsPayload: workerChannel.SendsPayload;
  /** Peers that can call workers for this holder. */
  readonly relayPeers: () => Iterable<workerRoutes.RelayPeer>;
  /** Entries through which the adviser can be asked now, including this one. */
  readonly advisers: () => ReadonlyMap<string, ports.Adviser>;
  /** Whether the builds of all peers read ranges of finished occurrences. */
  readonly peersReadRanges: () => boolean;
  readonly jobs: jobTable.JobTable;
  readonly state: cellState.CellState;
  /** Reads the jobs' log to its end; false if that failed. */
  readonly catchUpJobs: () => Promise<boolean>;
  readonly policyOf: (
    queue: string,
  ) => scheduling.jobRequest.QueuePolicy | undefined;
  /**
   * The organisations of the configuration, empty if it has none; undefined
   * until it has been read.
   */
  readonly organisations: () =>
    organisations.organisation.Organisations | undefined;
  readonly leaseMs: number;
  /** When the claim was sent. */
  readonly claimSentAt: types.clock.MonotonicMs;
  /** Maximum time that a worker takes to stop a task; milliseconds. */
  readonly longestStopMs: number;
  /** As in the options of the entry. */
  readonly farFactor?: number;
  /**
   * Silence after which the platform's list removes a worker; milliseconds.
   * Undefined if unknown.
   */
  readonly listExpiryMs: number | undefined;
  readonly storeHealth: storeHealth.StoreHealth;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly onFenced: () => void;
  /** Called when the cell's log contains entries from this offset on. */
  readonly onAppended: cellWriter.CellWriterOptions['onAppended'];
}

/** The holder of a cell. */
export interface CellHolder {
  readonly claim: claimView.CellClaim;
  /**
   * Takes over existing jobs and workers; resolves once scheduling has begun.
   */
  start(): Promise<void>;
  onJobAdded(job: jobTable.JobEntry): void;
  onJobCancelled(id: types.ids.JobId): void;
  onConfigChanged(): void;
  /** Whether the store has confirmed recently that it holds the cell. */
  isConfirmed(): boolean;
  /** Returns jobs whose end has been stored since the last call. */
  takeEndedJobs(): types.ids.JobId[];
  /** Drops the progress of jobs from the cell's log after their retention. */
  dropProgress(ids: readonly types.ids.JobId[]): Promise<void>;
  /**
   * Releases the claim so that another entry can take the cell at once, and
   * stops.
   */
  handOver(): Promise<void>;
  stop(): void;
  counts(): scheduling.schedulerTypes.SchedulerCounts;
  /** Number of list entries that name no worker to use. */
  unusableListEntries(): number;
  /** How good forecasts of starts were; undefined without any. */
  forecastAccuracy(): forecastCheck.ForecastAccuracy | undefined;
  /** Explains where a job would start now; changes nothing. */
  explain(
    question: scheduling.explainJob.JobQuestion,
  ): scheduling.explainJob.JobExplanation;
  /** How fast the workers are, by label. */
  speedSummary(): readonly scheduling.speedSummary.SpeedSummary[];
}
