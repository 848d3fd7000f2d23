/** Entries that share one in-memory store, with in-memory workers. */
import * as result from 'true-myth/result';
import * as organisations from '@gypsumwall/organisations';
import type * as scheduling from '@gypsumwall/scheduling';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as cellEntry from '../cell_entry.js';
import type * as cellEntryTypes from '../cell_entry_types.js';
import * as fakeLogs from './fake_log.js';
import * as fakeWorkers from './fake_worker.js';
import type * as ports from '../ports.js';

/** A policy without an adviser. */
export const POLICY: scheduling.jobRequest.QueuePolicy = {
  queue: 'plans',
  pool: 'pool',
  priority: 0,
  maxFailures: 3,
  slackFactor: 2,
  targetMs: 1_000,
};

/** Silence after which the list removes a worker; milliseconds. */
export const LIST_EXPIRY_MS = 3_000;

/** A request of one step of small tasks. */
export function request(taskCount: number): scheduling.jobRequest.JobRequest {
  return {
    payload: 'plan',
    steps: [
      {
        taskCount,
        size: {cpuMillis: 1_000, memoryMb: 1, accelerators: 0},
        expectedMs: 1_000,
        after: [],
        savesProgress: false,
        gang: false,
        sameRack: false,
        speculative: false,
        longRunning: false,
        usesSpareCpu: false,
      },
    ],
  };
}

/** An organisation in a configuration of a test. */
export interface TestOrganisation {
  readonly keys: readonly string[];
  readonly cores: number;
}

/** Publishes a configuration with these organisations by name. */
export async function publish(
  store: FakeStore,
  version: number,
  named: Readonly<Record<string, TestOrganisation>>,
): Promise<void> {
  const value = JSON.stringify({version, named});
  await store.config.append([{key: 'config', value}], {timeoutMs: 1});
}

function decodeConfig(value: string): ports.CellConfig {
  const {version, named} = JSON.parse(value) as {
    version: number;
    named: Readonly<Record<string, TestOrganisation>>;
  };
  const decoded = Object.entries(named).map(([name, {keys, cores}]) => {
    const id = types.ids.brand<types.ids.OrganisationId>(name);
    const keyHashes = keys.map(organisations.apiKey.hashKey);
    const cpuMillis = cores * 1_000;
    const quota = {...organisations.organisation.UNLIMITED, cpuMillis};
    return [id, {id, keyHashes, quota}] as const;
  });
  return {
    version,
    queues: [{host: 'h', pathPrefix: '/', isPublic: false, policy: POLICY}],
    organisations: new Map(decoded),
    maxBodyBytes: 1_000,
    idleTimeoutMs: 1_000,
  };
}

/** The logs of a store, shared by all its entries. */
export interface FakeStore {
  readonly jobs: fakeLogs.FakeLog;
  readonly cell: fakeLogs.FakeLog;
  readonly config: fakeLogs.FakeLog;
  readonly workers: fakeLogs.FakeLog;
}

/** Entries, their store and the workers. */
export interface CellWorld {
  readonly store: FakeStore;
  addWorker(
    name: string,
    cores: number,
    address?: string,
  ): Promise<fakeWorkers.FakeWorker>;
  /** Lists a worker as draining; it leaves after the given milliseconds. */
  drain(worker: fakeWorkers.FakeWorker, leavesInMs: number): Promise<void>;
  /**
   * Lists a worker with a capacity, in an entry that was written at a reading
   * of its clock.
   */
  list(
    worker: fakeWorkers.FakeWorker,
    cores: number,
    writtenAtMs: number,
  ): Promise<void>;
  /** Removes a worker from the list. */
  unlist(worker: fakeWorkers.FakeWorker): Promise<void>;
  /** Starts an entry; `view` may give it logs with faults of its own. */
  addEntry(
    instance: string,
    view?: FakeStore,
    cores?: number,
    clock?: types.clock.Clock,
  ): cellEntryTypes.CellEntry;
  stop(): void;
}

/** Creates a world without entries and workers. */
export function createCellWorld(leaseMs = 1_000): CellWorld {
  const store: FakeStore = {
    jobs: fakeLogs.createFakeLog('jobs'),
    cell: fakeLogs.createFakeLog('cell'),
    config: fakeLogs.createFakeLog('config'),
    workers: fakeLogs.createFakeLog('workers'),
  };
  const workers = new Map<string, fakeWorkers.FakeWorker>();
  const entries: cellEntryTypes.CellEntry[] = [];
  let processes = 0;

  return {
    store,
    async addWorker(name, cores, address) {
      const worker = fakeWorkers.createFakeWorker(name, cores, address);
      workers.set(name, worker);
      const value = JSON.stringify(worker.info);
      await store.workers.append([{key: name, value}], {timeoutMs: 1});
      return worker;
    },
    async drain({info}, leavesInMs) {
      const value = JSON.stringify({...info, draining: true, leavesInMs});
      await store.workers.append([{key: info.id, value}], {timeoutMs: 1});
    },
    async list({info}, cores, writtenAtMs) {
      const capacity = {...info.capacity, cpuMillis: cores * 1_000};
      const value = JSON.stringify({...info, capacity, writtenAtMs});
      await store.workers.append([{key: info.id, value}], {timeoutMs: 1});
    },
    async unlist({info}) {
      await store.workers.append([{key: info.id, value: ''}], {timeoutMs: 1});
    },
    addEntry(
      instance,
      view = store,
      cores = 1,
      clock = types.clock.createSystemClock(),
    ) {
      const entry = cellEntry.createCellEntry({
        self: {
          entryId: types.ids.brand(`${instance}.${++processes}`),
          instance,
          domain: types.ids.brand('d1'),
          peerAddress: '127.0.0.1:1',
          cores,
        },
        logs: view,
        decodeConfig: (_key, value) => result.ok(decodeConfig(value)),
        decodeWorker: (_key, value) => decodeWorker(value),
        connect: (info) => workers.get(info.id)!.connect(),
        adviser: {ask: () => Promise.resolve(result.ok(new Map()))},
        leaseMs,
        longestStopMs: 900,
        listExpiryMs: LIST_EXPIRY_MS,
        retentionMs: () => 60_000,
        clock,
        random: types.random.createRandom(processes),
        logger: telemetry.logger.createLogger('silent'),
      });
      entries.push(entry);
      entry.start();
      return entry;
    },
    stop() {
      for (const entry of entries) entry.stop();
    },
  };
}

function decodeWorker(
  value: string,
): result.Result<ports.ListedWorker, string> {
  const {leavesInMs, writtenAtMs, ...info} = JSON.parse(
    value,
  ) as scheduling.workerRegistry.WorkerInfo & Omit<ports.ListedWorker, 'info'>;
  if (info.address === undefined) return result.err('addr: give host:port');
  return result.ok({info, leavesInMs, writtenAtMs});
}

/** A log whose faults affect one entry only. */
export function createLogView(shared: fakeLogs.FakeLog): fakeLogs.FakeLog {
  const view = fakeLogs.createFakeLog(shared.name);
  const down = fakeLogs.createFakeLog(shared.name);
  down.fault = 'down';
  const log = () => (view.fault === 'down' ? down : shared);
  view.append = (entries, options) => log().append(entries, options);
  view.read = (from, waitMs) => log().read(from, waitMs);
  view.probe = (from) => log().probe(from);
  view.newest = (after) => log().newest(after);
  return view;
}

/** Waits until the condition holds; throws after the timeout. */
export async function until(
  condition: () => boolean | Promise<boolean>,
  what: string,
  timeoutMs = 5_000,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > end) throw new Error(`not in time: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
