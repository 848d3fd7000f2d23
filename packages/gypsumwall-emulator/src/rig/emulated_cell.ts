/**
 * Serves the platform model over HTTP on loopback and runs the deployed entries
 * as processes.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as types from '@gypsumwall/types';
import type * as emulatorConfig from '../config/emulator_config.js';
import * as balancers from '../model/balancer.js';
import * as callers from '../model/caller.js';
import * as platformModels from '../model/platform_model.js';
import type * as stores from '../model/store.js';
import * as adviserServer from '../wire/adviser_server.js';
import * as configRecord from '../wire/config_record.js';
import * as entryClients from '../wire/entry_client.js';
import type * as httpServer from '../wire/http_server.js';
import * as listingRecord from '../wire/listing_record.js';
import * as storeServer from '../wire/store_server.js';
import * as workerServer from '../wire/worker_server.js';
import * as deployFile from './deploy_file.js';
import * as entryMachine from './entry_machine.js';

/** A running platform with its entries. */
export interface EmulatedCell {
  readonly clock: types.clock.Clock;
  readonly model: platformModels.PlatformModel;
  readonly callers: callers.Callers;
  readonly balancer: balancers.Balancer;
  /** Sends one try of a caller's call to an entry. */
  readonly send: callers.SendCall;
  readonly entries: readonly entryMachine.EntryMachine[];
  /** Resolves once every entry is in rotation; rejects at the deadline. */
  untilReady(deadline: types.clock.MonotonicMs): Promise<void>;
  /** Finds the entry that currently holds the cell; undefined if none reports it. */
  findHolder(): Promise<entryMachine.EntryMachine | undefined>;
  /** The folder with the settings and logs of the entries. */
  readonly folder: string;
  close(keepsFolder: boolean): Promise<void>;
}

/** Options of {@link startEmulatedCell}. */
export interface EmulatedCellOptions {
  readonly config: emulatorConfig.EmulatorConfig;
  /** Path of the deploy file, from the repository's root. */
  readonly deployFile: string;
  /** The build folder, if it isn't the one that the deploy file names. */
  readonly builtInto?: string | undefined;
  readonly injectedFaults?: platformModels.InjectedFaults | undefined;
  /** Called after each append that the store carried out. */
  readonly onAppend?: stores.AppendObserver | undefined;
}

const POLL_MS = 50;
const HOLDER_GAUGE = 'holds_cell';

/** Starts the platform and its entries; the entries may not be ready yet. */
export async function startEmulatedCell(
  options: EmulatedCellOptions,
): Promise<EmulatedCell> {
  const {config} = options;
  const clock = types.clock.createSystemClock();
  const model = platformModels.createPlatformModel({
    clock,
    config,
    injectedFaults: options.injectedFaults,
    onAppend: options.onAppend,
    encoders: {
      config: configRecord.encodeConfig,
      listing: listingRecord.encodeListing,
    },
  });
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'gypsumwall-'));
  const servers: httpServer.WireServer[] = [];
  model.publish();
  await startWorkers();
  const entries = await createEntries();
  const client = entryClients.createEntryClient({
    queues: config.queues,
    entries: new Map(entries.map((entry) => [entry.name, entry.addresses])),
  });
  const balancer = balancers.startBalancer({
    clock,
    entries: entries.map((entry) => entry.name),
    checkReady: (entry) => client.isReady(entry),
  });
  for (const entry of entries) entry.start();

  async function startWorkers(): Promise<void> {
    for (const spec of platformModels.listMachines(config)) {
      const server = await workerServer.startWorkerServer({
        clock,
        random: model.random,
      });
      servers.push(server);
      server.serveMachine(model.addMachine(spec, server.address));
    }
  }

  async function createEntries(): Promise<entryMachine.EntryMachine[]> {
    const role = deployFile.readDeployFile(
      options.deployFile,
      options.builtInto,
    );
    const random = types.random.createRandom(crypto.randomInt(2 ** 31));
    const machines: entryMachine.EntryMachine[] = [];
    for (const zone of config.zones) {
      const entryName = `entry-${zone}`;
      const {restartMs, ...durations} = config.entries;
      machines.push(
        await entryMachine.createEntryMachine({
          clock,
          random,
          role,
          folder,
          restartMs,
          settings: {
            ...config.workers,
            ...durations,
            name: entryName,
            zone,
            storeAddress: await serveStore(entryName),
            adviserAddress: await serveAdviser(entryName),
          },
        }),
      );
    }
    return machines;
  }

  async function serveStore(caller: string): Promise<string> {
    const server = await storeServer.startStoreServer(model.store, caller);
    servers.push(server);
    return server.address;
  }

  async function serveAdviser(caller: string): Promise<string | undefined> {
    if (model.adviser === undefined) return undefined;
    const adviser = model.adviser;
    const server = await adviserServer.startAdviserServer(adviser, caller);
    servers.push(server);
    return server.address;
  }

  return {
    clock,
    model,
    entries,
    balancer,
    send: client.send,
    folder,
    callers: callers.createCallers({
      clock,
      balancer,
      random: model.random,
      history: model.history,
      catalog: model.catalog,
      send: client.send,
      keyOf: (organisation) => keyOf(model, organisation),
      ...config.callers,
    }),
    async untilReady(deadline) {
      while (balancer.listReady().length < entries.length) {
        if (clock.monotonic() >= deadline) {
          const ready = balancer.listReady().join(', ') || 'none';
          throw new Error(`entries in rotation: ${ready}; logs in ${folder}`);
        }
        await types.clock.sleepFor(clock, POLL_MS);
      }
    },
    async findHolder() {
      const gauges = await Promise.all(
        entries.map((entry) => client.readGauge(entry.name, HOLDER_GAUGE)),
      );
      return entries.find((_, nth) => gauges[nth] === 1);
    },
    async close(keepsFolder) {
      balancer.stop();
      await Promise.all(entries.map((entry) => entry.stop()));
      model.stop();
      await client.close();
      await Promise.all(servers.map((server) => server.close()));
      if (!keepsFolder) fs.rmSync(folder, {recursive: true});
    },
  };
}

function keyOf(
  model: platformModels.PlatformModel,
  organisation: string,
): string | undefined {
  const found = model.organisations().find(({name}) => name === organisation);
  return found?.keys[0];
}
