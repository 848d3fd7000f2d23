/** What an entry is made with, and what it offers to its process. */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as cellHolderTypes from './cell_holder_types.js';
import type * as configKeeper from './config_keeper.js';
import type * as jobService from './job_service.js';
import type * as ports from './ports.js';

/** What an entry is made with. */
export interface CellEntryOptions {
  readonly self: {
    /** This process; a restarted one has another. */
    readonly entryId: types.ids.EntryId;
    /** The instance it runs on. */
    readonly instance: string;
    readonly domain: types.ids.FailureDomain;
    readonly peerAddress: string;
    /** Processor of the instance, in cores. */
    readonly cores: number;
  };
  readonly logs: {
    readonly jobs: ports.KeyedLog;
    readonly cell: ports.KeyedLog;
    readonly config: ports.KeyedLog;
    readonly workers: ports.KeyedLog;
  };
  readonly decodeConfig: configKeeper.ConfigKeeperOptions['decode'];
  readonly decodeWorker: cellHolderTypes.CellHolderOptions['decodeWorker'];
  readonly connect: cellHolderTypes.CellHolderOptions['connect'];
  readonly adviser: ports.Adviser;
  readonly leaseMs: number;
  /** The longest that a worker takes to stop a task; milliseconds. */
  readonly longestStopMs: number;
  /** Silence after which the list drops a worker; milliseconds, if known. */
  readonly listExpiryMs: number | undefined;
  /** How long the state of a job that is over can be asked for. */
  readonly retentionMs: () => number;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
}

/** One entry. */
export interface CellEntry {
  /** For callers. */
  readonly jobService: jobService.JobService;
  /** For peers: hands nothing on. */
  readonly localJobService: jobService.JobService;
  /** The newest configuration; undefined before the first. */
  config(): ports.CellConfig | undefined;
  /** Whether callers can be served. */
  isReady(): boolean;
  start(): void;
  /** Hands over what it holds; callers are served on. */
  leave(): Promise<void>;
  stop(): void;
  status(): EntryStatus;
}

/** For gauges and people. */
export interface EntryStatus {
  readonly holdsCell: boolean;
  readonly configVersion: number | undefined;
  readonly storeReachable: boolean;
  /** How old its copy of the logs is at most; infinite if nothing is sure. */
  readonly replicaAgeMs: number;
  readonly scheduler: scheduling.schedulerTypes.SchedulerCounts | undefined;
}
