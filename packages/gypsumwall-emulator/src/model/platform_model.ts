/**
 * In-memory model of the users' platform: its store, workers, adviser and
 * operator. It runs on an injected clock and has no transport of its own; its
 * user delivers the calls.
 */
import * as types from '@gypsumwall/types';
import type * as emulatorConfig from '../config/emulator_config.js';
import * as advisers from './adviser.js';
import * as checkpoints from './checkpoints.js';
import * as gangs from './gangs.js';
import * as histories from './history.js';
import * as jobCatalogs from './job_catalog.js';
import type * as keyedLog from './keyed_log.js';
import * as operators from './operator.js';
import * as stores from './store.js';
import type * as worker from './worker.js';
import * as workerLists from './worker_list.js';
import * as workerMachine from './worker_machine.js';

/** Faults injected into the platform itself, for tests of the judge. */
export interface InjectedFaults {
  /** Returns true for records to acknowledge without storing them. */
  readonly shouldDrop?: (topic: string, entry: keyedLog.KeyedEntry) => boolean;
  /** Returns true for tasks whose ends are never reported. */
  readonly shouldHideEnd?: (taskId: string) => boolean;
}

/** Encoders of the records that the platform itself writes. */
export interface RecordEncoders {
  readonly config: (
    version: number,
    config: operators.OperatorConfig,
  ) => string;
  readonly listing: (listing: workerLists.WorkerListing) => string;
}

/** Options of {@link createPlatformModel}. */
export interface PlatformModelOptions {
  readonly clock: types.clock.Clock;
  readonly config: emulatorConfig.EmulatorConfig;
  readonly encoders: RecordEncoders;
  readonly injectedFaults?: InjectedFaults | undefined;
  readonly onAppend?: stores.AppendObserver | undefined;
}

/** Model of the platform. */
export interface PlatformModel {
  readonly history: histories.History;
  readonly catalog: jobCatalogs.JobCatalog;
  readonly store: stores.Store;
  /** Undefined if no queue needs advice. */
  readonly adviser: advisers.Adviser | undefined;
  readonly random: types.random.Random;
  readonly machines: readonly workerMachine.WorkerMachine[];
  /** The organisations of the newest configuration. */
  organisations(): readonly operators.Organisation[];
  /**
   * Publishes the configuration of the queues, with other organisations if they
   * are given, and returns its version.
   */
  publish(organisations?: readonly operators.Organisation[]): number;
  /** Adds a machine whose worker receives calls at the address. */
  addMachine(spec: MachineSpec, address: string): workerMachine.WorkerMachine;
  stop(): void;
}

/** Name, location and pool of a machine that the configuration describes. */
export interface MachineSpec {
  readonly name: string;
  readonly zone: string;
  readonly rack: string;
  readonly pool: emulatorConfig.EmulatorConfig['pools'][number];
}

/** Lists all machines that the configuration describes. */
export function listMachines(
  config: emulatorConfig.EmulatorConfig,
): MachineSpec[] {
  return config.pools.flatMap((pool) =>
    config.zones.flatMap((zone) =>
      Array.from({length: pool.workersPerZone}, (_, nth) => ({
        name: `${pool.name}-${zone}-${nth}`,
        zone,
        rack: `${zone}-${Math.floor(nth / pool.workersPerRack)}`,
        pool,
      })),
    ),
  );
}

/** Creates a platform without workers. */
export function createPlatformModel(
  options: PlatformModelOptions,
): PlatformModel {
  const {clock, config, encoders, injectedFaults} = options;
  const random = types.random.createRandom(config.seed);
  const history = histories.createHistory(clock);
  const catalog = jobCatalogs.createJobCatalog();
  const shouldDrop = injectedFaults?.shouldDrop;
  const store = stores.createStore({
    clock,
    random,
    ...config.store,
    shouldDrop,
    onAppend: options.onAppend,
  });
  const operator = operators.createOperator(
    store.log(stores.OPERATOR_TOPIC),
    encoders.config,
  );
  const list = workerLists.createWorkerList({
    clock,
    log: store.log(stores.WORKERS_TOPIC),
    heartbeatMs: config.workers.heartbeatMs,
    encode: encoders.listing,
  });
  const adviser = createAdviser(options, catalog);
  let organisations: readonly operators.Organisation[] = config.organisations;
  const machines: workerMachine.WorkerMachine[] = [];
  const context: worker.WorkerContext = {
    clock,
    random,
    history,
    catalog,
    adviser,
    gangs: gangs.createGangs(),
    checkpoints: checkpoints.createCheckpoints(random),
    durations: config.workers,
    longestLeaseMs: config.workers.longestLeaseMs,
    shouldHideEnd: injectedFaults?.shouldHideEnd,
  };

  function drawClockRate(): number {
    const {slowestClock} = config.workers;
    return slowestClock + random.next() * (1 - slowestClock);
  }

  return {
    history,
    catalog,
    store,
    adviser,
    random,
    machines,
    organisations: () => organisations,
    publish(next = organisations) {
      organisations = next;
      const version = operator.publish({...config, organisations});
      const queues = config.queues.map(({name: queue, maxAttempts}) => ({
        name: queue,
        maxAttempts,
      }));
      history.record({type: 'config_published', organisations, queues});
      return version;
    },
    addMachine({name, zone, rack, pool}, address) {
      const {heartbeatMs, drainMs, restartMs, keepIds} = config.workers;
      const machine = workerMachine.createWorkerMachine(context, list, {
        name,
        zone,
        rack,
        address,
        heartbeatMs,
        drainMs,
        restartMs,
        keepsId: keepIds && machines.length % 2 === 1,
        pool: pool.name,
        kind: pool.kind,
        worker: {
          capacity: pool.capacity,
          refusesExcess: pool.refusesExcess,
          clockRate: drawClockRate(),
          failShare: pool.failShare,
          lastingFailsMs: pool.lastingFailsMs,
        },
      });
      machines.push(machine);
      return machine;
    },
    stop() {
      list.stop();
      for (const machine of machines) machine.stop();
    },
  };
}

function createAdviser(
  {clock, config}: PlatformModelOptions,
  catalog: jobCatalogs.JobCatalog,
): advisers.Adviser | undefined {
  const policies = new Map(
    config.queues.flatMap(({name, advice}) =>
      advice === undefined ? [] : [[name, advice] as const],
    ),
  );
  if (policies.size === 0) return undefined;
  return advisers.createAdviser({
    clock,
    seed: config.seed,
    refusedShare: config.adviserRefusedShare,
    policies,
    findQueue: (stepRunId) => catalog.findTask(`${stepRunId}.0`)?.job.queue,
  });
}
