/** Starts a complete cell as separate processes, and stops these again. */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import type * as settings from '@gypsumwall/settings';
import * as types from '@gypsumwall/types';
import type * as entryClient from './entry_client.js';
import * as entryProcess from './entry_process.js';
import * as history from './history.js';
import type * as historyEvent from './history_event.js';
import * as instanceRegistry from './instance_registry.js';
import * as network from './network.js';
import * as site from './site.js';
import * as standInGroup from './stand_in_group.js';

/** Options of a cell. */
export interface CellOptions {
  readonly site: site.Site;
  readonly tokens: site.Tokens;
  readonly tree: settings.cellTree.CellTree;
  /** Arguments for Node that start an entry; the settings file is appended. */
  readonly entryCommand: readonly string[];
  /**
   * Whether all connections of an entry go through relays, so that tests can
   * cut the connections.
   */
  readonly isRelayed: boolean;
  readonly seed: number;
  /** Keeps the folder with settings and logs after `close`, for debugging. */
  readonly keepFolder?: boolean;
}

/** A running cell. */
export interface Cell {
  readonly options: CellOptions;
  readonly recorded: history.History;
  readonly network: network.Network;
  readonly standIns: standInGroup.StandInGroup;
  readonly registry: instanceRegistry.InstanceRegistry;
  /**
   * Folder of settings and logs; `close` removes it unless `keepFolder` is set.
   */
  readonly folder: string;
  /**
   * Returns the entries that were started and not yet killed or stopped. This
   * includes frozen ones, whose process is suspended with SIGSTOP.
   */
  entries(): entryProcess.EntryProcess[];
  entry(id: string): entryProcess.EntryProcess;
  /** Starts another entry and adds it to the platform's list. */
  startEntry(entry: site.SiteEntry): Promise<entryProcess.EntryProcess>;
  /** Kills the entry immediately; the list shows it with its usual delay. */
  killEntry(id: string): Promise<void>;
  /**
   * Stops the entry as planned: lists it as leaving, sends SIGTERM and waits
   * for its exit.
   */
  stopEntry(id: string): Promise<void>;
  /** Sends the registry's instances to the platform's list. */
  updateList(): Promise<void>;
  /** Returns all recorded events, sorted by time. */
  history(): Promise<historyEvent.HistoryEvent[]>;
  close(): Promise<void>;
}

const READY_TIMEOUT_MS = 60_000;
const POLL_INTERVAL_MS = 50;
/** Interval of the balancer's readiness probes. */
const PROBE_MS = 100;

/**
 * Starts all processes, publishes the configuration and waits until every entry
 * is ready.
 */
export async function launchCell(options: CellOptions): Promise<Cell> {
  const cell = await startProcesses(options);
  try {
    await Promise.all(
      site
        .instancesOf(options.site)
        .entries.map((entry) => cell.startEntry(entry)),
    );
    await publishTree(cell);
    await waitUntilReady(cell);
    await waitUntilServing(cell);
    return cell;
  } catch (thrown) {
    await cell.close();
    throw thrown;
  }
}

async function startProcesses(options: CellOptions): Promise<Cell> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'gypsumwall-cell-'));
  const recorded = history.createHistory('runner');
  const instances = site.instancesOf(options.site);
  const standIns = await standInGroup.startStandIns(options.site, instances, {
    seed: options.seed,
    folder,
  });
  const relayNetwork = network.createNetwork();
  const registry = instanceRegistry.createInstanceRegistry();
  for (const instance of [...instances.workers, ...instances.upstreams]) {
    const address = standIns.addresses[instance.id] ?? '';
    registry.put({...instance, address, state: 'live'});
  }
  const running = new Map<string, entryProcess.EntryProcess>();

  const entryOf = (id: string): entryProcess.EntryProcess => {
    const found = running.get(id);
    if (found === undefined) throw new Error(`entry ${id} is not running`);
    return found;
  };
  const updateList = async (): Promise<void> => {
    if (options.isRelayed) await updateViews();
    const body = {instances: registry.all()};
    await standIns.control('platform', 'instances', body);
  };
  /** Gives each entry a list with the addresses of its own relays. */
  const updateViews = async (): Promise<void> => {
    for (const view of running.keys()) {
      const addresses: Record<string, string> = {};
      for (const {id, address} of registry.all()) {
        // An entry recognises itself on the list by the address it listens on.
        addresses[id] =
          id === view ? address : await relayNetwork.connect(view, id, address);
      }
      await standIns.control('platform', 'views', {view, addresses});
    }
  };
  const platformPath = (id: string, end: 'log' | 'list'): Promise<string> =>
    options.isRelayed
      ? relayNetwork.connect(id, end, standIns.platform)
      : Promise.resolve(standIns.platform);

  const listUrl = async (id: string): Promise<string> => {
    const address = await platformPath(id, 'list');
    return options.isRelayed ? `${address}/views/${id}` : address;
  };

  const cell: Cell = {
    options,
    recorded,
    network: relayNetwork,
    standIns,
    registry,
    folder,
    entries: () => [...running.values()],
    entry: entryOf,
    startEntry: async (entry) => {
      const {id, failureDomain} = entry;
      const token = options.tokens.rootOperator;
      const started = await entryProcess.startEntry({
        entry,
        command: options.entryCommand,
        settings: {
          ...options.site.entrySettings,
          logUrl: await platformPath(id, 'log'),
          listUrl: await listUrl(id),
          rootOperatorTokenHash: sha256(token),
        },
        folder,
        recorded,
      });
      running.set(id, started);
      void started.child.exited.then(() => relayNetwork.refuseConnections(id));
      const address = started.peerAddress;
      const state = 'live';
      registry.put({kind: 'entry', id, failureDomain, address, state});
      await updateList();
      return started;
    },
    killEntry: async (id) => {
      const entry = entryOf(id);
      running.delete(id);
      entry.child.sendSignal('SIGKILL');
      await entry.child.exited;
      registry.remove(id);
      await updateList();
    },
    stopEntry: async (id) => {
      const entry = entryOf(id);
      registry.setState(id, 'leaving');
      await updateList();
      recorded.record({type: 'entry_stopping', entryId: id});
      entry.child.sendSignal('SIGTERM');
      // The balancer keeps sending calls to the entry until it sees that the
      // entry isn't ready.
      while (await entry.client.isReady()) await timers.setTimeout(PROBE_MS);
      running.delete(id);
      await entry.child.exited;
      registry.remove(id);
      await updateList();
    },
    updateList,
    history: async () => {
      const others = await standIns.histories();
      return history.mergeHistories([recorded.since(0), ...others]);
    },
    close: async () => {
      for (const {child} of running.values()) child.sendSignal('SIGKILL');
      for (const {child, client} of running.values()) {
        await child.exited;
        await client.close();
      }
      await standIns.close();
      await relayNetwork.close();
      if (options.keepFolder === true) return;
      fs.rmSync(folder, {recursive: true, force: true});
    },
  };
  return cell;
}

async function publishTree(cell: Cell): Promise<void> {
  const {tree, tokens, site: targetSite} = cell.options;
  // A site may be smaller than its example: a failure domain without entries
  // would be the home of jobs that never run.
  const failureDomains = targetSite.failureDomains.map(({name}) => name);
  const publisher = cell.entries()[0]?.client;
  if (publisher === undefined) throw new Error('the site has no entry');
  const subtrees: Array<[string, unknown]> = [
    ['cell', {...tree.cell, failureDomains}],
    ...Object.entries(tree.teams).map(([team, value]): [string, unknown] => {
      return [`teams/${team}`, value];
    }),
  ];
  for (const [subtree, value] of subtrees) {
    await publishSubtree(publisher, tokens.rootOperator, subtree, value);
  }
}

async function publishSubtree(
  publisher: entryClient.EntryClient,
  token: string,
  subtree: string,
  value: unknown,
): Promise<void> {
  const deadline = types.clock.after(performance.now(), READY_TIMEOUT_MS);
  for (;;) {
    const callId = `launch-${subtree}`;
    const publish = {callId, token, path: subtree, base: -1, value};
    const outcome = await publisher.publish(publish);
    if (outcome.type === 'accepted') return;
    // An earlier attempt may have taken effect although its answer was lost.
    const known = await publisher.setting(token, subtree);
    if (outcome.type === 'conflict' && known !== undefined) return;
    if (performance.now() > deadline) {
      throw new Error(`publishing ${subtree}: ${outcome.message}`);
    }
    // A new entry refuses publishes while it is still reading the log.
    await timers.setTimeout(POLL_INTERVAL_MS);
  }
}

/** Waits until every entry is ready for callers. */
export async function waitUntilReady(cell: Cell): Promise<void> {
  const deadline = types.clock.after(performance.now(), READY_TIMEOUT_MS);
  for (const entry of cell.entries()) {
    while (!(await entry.client.isReady())) {
      if (performance.now() > deadline) {
        throw new Error(`entry ${entry.entry.id} does not become ready`);
      }
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
  }
}

interface EntryStatus {
  readonly router: {
    readonly upstreams: ReadonlyArray<{readonly share: number}>;
  };
}

/**
 * Waits until every entry has a share of the upstreams' slots. While a whole
 * cell starts up, the entries have no shares for a while, and faults injected
 * then would affect nothing.
 */
async function waitUntilServing(cell: Cell): Promise<void> {
  const deadline = types.clock.after(performance.now(), READY_TIMEOUT_MS);
  const token = cell.options.tokens.rootOperator;
  for (const {entry, client} of cell.entries()) {
    for (;;) {
      const status = (await client.status(token)) as EntryStatus | undefined;
      const upstreams = status?.router.upstreams ?? [];
      if (upstreams.some(({share}) => share > 0)) break;
      if (performance.now() > deadline) {
        throw new Error(
          `entry ${entry.id} has no share of any upstream's slots`,
        );
      }
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
  }
}

function sha256(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}
