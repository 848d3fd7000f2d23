/** Starts a whole cell as separate processes and ends it again. */
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
import * as instanceBoard from './instance_board.js';
import * as network from './network.js';
import * as site from './site.js';
import * as standInGroup from './stand_in_group.js';

/** What to launch. */
export interface CellOptions {
  readonly site: site.Site;
  readonly tokens: site.Tokens;
  readonly tree: settings.cellTree.CellTree;
  /** Arguments for Node that start an entry; the settings file follows. */
  readonly entryCommand: readonly string[];
  /** Whether every path of an entry goes through a relay, to be cut. */
  readonly relayed: boolean;
  readonly seed: number;
  /** Leaves settings and logs behind for a person to read. */
  readonly keepFolder?: boolean;
}

/** A running cell. */
export interface Cell {
  readonly options: CellOptions;
  readonly recorded: history.History;
  readonly network: network.Network;
  readonly standIns: standInGroup.StandInGroup;
  readonly board: instanceBoard.InstanceBoard;
  /** Folder of settings and logs; gone after `close`. */
  readonly folder: string;
  /** Entries that run, frozen ones included. */
  entries(): entryProcess.EntryProcess[];
  entry(id: string): entryProcess.EntryProcess;
  /** Starts another entry and lists it. */
  startEntry(entry: site.SiteEntry): Promise<entryProcess.EntryProcess>;
  /** Kills at once; the list follows with its lag. */
  killEntry(id: string): Promise<void>;
  /** Planned stop: listed as leaving, asked to end, waited for. */
  stopEntry(id: string): Promise<void>;
  /** Passes the board on to the platform's list. */
  updateList(): Promise<void>;
  /** All recorded events in one order. */
  history(): Promise<historyEvent.HistoryEvent[]>;
  close(): Promise<void>;
}

const READY_TIMEOUT_MS = 60_000;
const POLL_MS = 50;
const BALANCER_MS = 100;

/** Starts all, publishes the tree and waits until every entry is ready. */
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
  const paths = network.createNetwork();
  const board = instanceBoard.createInstanceBoard();
  for (const instance of [...instances.workers, ...instances.upstreams]) {
    const address = standIns.addresses[instance.id] ?? '';
    board.put({...instance, address, state: 'live'});
  }
  const running = new Map<string, entryProcess.EntryProcess>();

  const entryOf = (id: string): entryProcess.EntryProcess => {
    const found = running.get(id);
    if (found === undefined) throw new Error(`no entry ${id} runs`);
    return found;
  };
  const updateList = async (): Promise<void> => {
    if (options.relayed) await updateViews();
    const body = {instances: board.all()};
    await standIns.control('platform', 'instances', body);
  };
  /** Each entry sees the addresses of its own relays. */
  const updateViews = async (): Promise<void> => {
    for (const view of running.keys()) {
      const addresses: Record<string, string> = {};
      for (const {id, address} of board.all()) {
        // An entry finds itself on the list by the address it listens on.
        addresses[id] =
          id === view ? address : await paths.connect(view, id, address);
      }
      await standIns.control('platform', 'views', {view, addresses});
    }
  };
  const platformPath = (id: string, end: 'log' | 'list'): Promise<string> =>
    options.relayed
      ? paths.connect(id, end, standIns.platform)
      : Promise.resolve(standIns.platform);

  const listUrl = async (id: string): Promise<string> => {
    const address = await platformPath(id, 'list');
    return options.relayed ? `${address}/views/${id}` : address;
  };

  const cell: Cell = {
    options,
    recorded,
    network: paths,
    standIns,
    board,
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
      void started.child.exited.then(() => paths.refuse(id));
      const address = started.peerAddress;
      const state = 'live';
      board.put({kind: 'entry', id, failureDomain, address, state});
      await updateList();
      return started;
    },
    killEntry: async (id) => {
      const entry = entryOf(id);
      running.delete(id);
      entry.child.sendSignal('SIGKILL');
      await entry.child.exited;
      board.remove(id);
      await updateList();
    },
    stopEntry: async (id) => {
      const entry = entryOf(id);
      board.setState(id, 'leaving');
      await updateList();
      recorded.record({type: 'entry_stopping', entryId: id});
      entry.child.sendSignal('SIGTERM');
      // The balancer sends callers there until it sees that it isn't ready.
      while (await entry.client.ready()) await timers.setTimeout(BALANCER_MS);
      running.delete(id);
      await entry.child.exited;
      board.remove(id);
      await updateList();
    },
    updateList,
    history: async () => {
      const others = await standIns.histories();
      return history.merge([recorded.since(0), ...others]);
    },
    close: async () => {
      for (const {child} of running.values()) child.sendSignal('SIGKILL');
      for (const {child, client} of running.values()) {
        await child.exited;
        await client.close();
      }
      await standIns.close();
      await paths.close();
      if (options.keepFolder === true) return;
      fs.rmSync(folder, {recursive: true, force: true});
    },
  };
  return cell;
}

async function publishTree(cell: Cell): Promise<void> {
  const {tree, tokens, site: where} = cell.options;
  // A site may be smaller than its example: a domain without entries would
  // be the home of jobs that never run.
  const failureDomains = where.failureDomains.map(({name}) => name);
  const publisher = cell.entries()[0]?.client;
  if (publisher === undefined) throw new Error('the site has no entry');
  const subtrees: Array<[string, unknown]> = [
    ['cell', {...tree.cell, failureDomains}],
    ...Object.entries(tree.teams).map(([team, value]): [string, unknown] => {
      return [`teams/${team}`, value];
    }),
  ];
  for (const [subtree, value] of subtrees) {
    await publishOne(publisher, tokens.rootOperator, subtree, value);
  }
}

async function publishOne(
  publisher: entryClient.EntryClient,
  token: string,
  subtree: string,
  value: unknown,
): Promise<void> {
  const deadline = types.clock.after(performance.now(), READY_TIMEOUT_MS);
  for (;;) {
    const callId = `launch-${subtree}`;
    const publish = {callId, token, path: subtree, base: -1, value};
    const told = await publisher.publish(publish);
    if (told.type === 'accepted') return;
    // An earlier try may have taken effect although its answer was lost.
    const known = await publisher.setting(token, subtree);
    if (told.type === 'conflict' && known !== undefined) return;
    if (performance.now() > deadline) {
      throw new Error(`publishing ${subtree}: ${told.message}`);
    }
    // A new entry refuses while it still reads the log.
    await timers.setTimeout(POLL_MS);
  }
}

/** Waits until every entry is ready for callers. */
export async function waitUntilReady(cell: Cell): Promise<void> {
  const deadline = types.clock.after(performance.now(), READY_TIMEOUT_MS);
  for (const entry of cell.entries()) {
    while (!(await entry.client.ready())) {
      if (performance.now() > deadline) {
        throw new Error(`entry ${entry.entry.id} does not get ready`);
      }
      await timers.setTimeout(POLL_MS);
    }
  }
}

interface SeenStatus {
  readonly router: {
    readonly upstreams: ReadonlyArray<{readonly share: number}>;
  };
}

/**
 * Waits until every entry has slots of upstreams. A whole cell that starts at
 * once has none for a while, and a test would strike nothing.
 */
async function waitUntilServing(cell: Cell): Promise<void> {
  const deadline = types.clock.after(performance.now(), READY_TIMEOUT_MS);
  const token = cell.options.tokens.rootOperator;
  for (const {entry, client} of cell.entries()) {
    for (;;) {
      const status = (await client.status(token)) as SeenStatus | undefined;
      const upstreams = status?.router.upstreams ?? [];
      if (upstreams.some(({share}) => share > 0)) break;
      if (performance.now() > deadline) {
        throw new Error(`entry ${entry.id} gets no slots of upstreams`);
      }
      await timers.setTimeout(POLL_MS);
    }
  }
}

function sha256(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex');
}
