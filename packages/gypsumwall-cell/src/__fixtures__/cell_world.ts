/** Entries over one store in memory, with workers in memory. */
import * as result from 'true-myth/result';
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

/** Silence after which the list drops a worker; milliseconds. */
const LIST_EXPIRY_MS = 3_000;

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
  /** Lists a worker as one that leaves in so many milliseconds. */
  drain(worker: fakeWorkers.FakeWorker, leavesInMs: number): Promise<void>;
  /** Takes a worker off the list. */
  unlist(worker: fakeWorkers.FakeWorker): Promise<void>;
  /** Starts an entry; `view` may give it logs of its own troubles. */
  addEntry(
    instance: string,
    view?: FakeStore,
    cores?: number,
    clock?: types.clock.Clock,
  ): cellEntryTypes.CellEntry;
  stop(): void;
}

/** Creates a world with nothing in it. */
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
        decodeConfig: () => result.ok(undefined),
        decodeWorker: (_key, value) => result.ok(decodeWorker(value)),
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

function decodeWorker(value: string): ports.ListedWorker {
  const {leavesInMs, ...info} = JSON.parse(
    value,
  ) as scheduling.workerRegistry.WorkerInfo & {leavesInMs?: number};
  return {info, leavesInMs};
}

/** A log whose calls can be troubled for one entry alone. */
export function viewOf(shared: fakeLogs.FakeLog): fakeLogs.FakeLog {
  const view = fakeLogs.createFakeLog(shared.name);
  const down = fakeLogs.createFakeLog(shared.name);
  down.trouble = 'down';
  const log = () => (view.trouble === 'down' ? down : shared);
  view.append = (entries, options) => log().append(entries, options);
  view.read = (from, waitMs) => log().read(from, waitMs);
  view.probe = (from) => log().probe(from);
  view.newest = (after) => log().newest(after);
  return view;
}

/** Waits until the condition holds; fails after the time. */
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
