/** Options and interface of an entry. */
import type * as organisations from '@gypsumwall/organisations';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as cellHolderTypes from './cell_holder_types.js';
import type * as configKeeper from './config_keeper.js';
import type * as entryAdmission from './entry_admission.js';
import type * as forecastCheck from './forecast_check.js';
import type * as jobServiceTypes from './job_service_types.js';
import type * as loadShedder from './load_shedder.js';
import type * as ports from './ports.js';
import type * as trafficMeter from './traffic_meter.js';

/** Options of an entry. */
export interface CellEntryOptions {
  readonly self: {
    /** Identifies this process; a restarted process gets a new ID. */
    readonly entryId: types.ids.EntryId;
    /** The instance that the process runs on. */
    readonly instance: string;
    readonly domain: types.ids.FailureDomain;
    readonly peerAddress: string;
    /** Processor capacity of the instance, in cores. */
    readonly cores: number;
    /** Bandwidth of the instance's link, in Mbit/s; unlimited if absent. */
    readonly linkMbps?: number;
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
  /** Maximum time that a worker takes to stop a task; milliseconds. */
  readonly longestStopMs: number;
  /**
   * Run time of a task far from its data or in a spread gang, divided by that at
   * a near place. Undefined if it isn't known: then no step waits for one.
   */
  readonly farFactor?: number;
  /**
   * Silence after which the platform's list removes a worker; milliseconds.
   * Undefined if unknown.
   */
  readonly listExpiryMs: number | undefined;
  /** How long the state of a finished job can be queried; milliseconds. */
  readonly retentionMs: () => number;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
  readonly logger: telemetry.logger.Logger;
  /** Counts the calls to peers. */
  readonly meter?: trafficMeter.TrafficMeter;
}

/** An entry of a cell. */
export interface CellEntry {
  /** Serves callers. */
  readonly jobService: jobServiceTypes.JobService;
  /** Serves peers; never forwards a call. */
  readonly localJobService: jobServiceTypes.JobService;
  /** The newest configuration; undefined until one has been read. */
  config(): ports.CellConfig | undefined;
  /** Identifies a caller by its API key; undefined if the key is unknown. */
  findCaller(key: string): organisations.keyDirectory.Caller | undefined;
  /**
   * Whether the configuration was read recently, so that a key or queue that it
   * does not contain does not exist.
   */
  isConfigCurrent(): boolean;
  /** Whether callers can be served. */
  isReady(): boolean;
  /** Whether this process is too busy to carry out the calls of peers. */
  isBusy(): boolean;
  /** Payload of a job according to its record; undefined if it isn't found. */
  findPayload(job: types.ids.JobId): Promise<string | undefined>;
  start(): void;
  /** Hands the cell over if this entry holds it; callers are still served. */
  leave(): Promise<void>;
  stop(): void;
  status(): EntryStatus;
  /** Explains what would become of a job now; changes nothing. */
  explain(question: scheduling.explainJob.JobQuestion): EntryExplanation;
}

/** What an entry knows about the way of a job. */
export interface EntryExplanation {
  /** Whether this entry would accept it. */
  readonly admission: loadShedder.Verdict;
  /** The instance that holds the cell, as far as this entry knows. */
  readonly holder: string | undefined;
  /** Where it would start; undefined unless this entry holds the cell. */
  readonly placement: scheduling.explainJob.JobExplanation | undefined;
  /**
   * Maximum age of this entry's replica of the logs, in milliseconds; null if
   * unknown.
   */
  readonly replicaAgeMs: number | null;
}

/** State of an entry for gauges and operators. */
export interface EntryStatus {
  readonly holdsCell: boolean;
  readonly configVersion: number | undefined;
  readonly storeReachable: boolean;
  /**
   * Maximum age of this entry's replica of the logs, in milliseconds; infinite
   * if unknown.
   */
  readonly replicaAgeMs: number;
  /** Busy share of the event loop, from 0 to 1. */
  readonly loopUtilization: number;
  readonly scheduler: scheduling.schedulerTypes.SchedulerCounts | undefined;
  /** Entries of the worker list that its holder can't use; 0 elsewhere. */
  readonly unusableListEntries: number;
  readonly admission: entryAdmission.AdmissionStatus;
  /** At the holder: how good its forecasts of starts were. */
  readonly forecast: forecastCheck.ForecastAccuracy | undefined;
  /** How fast the workers are, by label; known to the holder. */
  readonly speeds: readonly scheduling.speedSummary.SpeedSummary[];
}
