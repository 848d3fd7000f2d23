/** One entry of the product as a child process. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as child from './child.js';
import * as entryClient from './entry_client.js';
import type * as history from './history.js';
import type * as site from './site.js';

/** What to start and how. */
export interface EntryProcessOptions {
  readonly entry: site.SiteEntry;
  /** Arguments for Node before the settings file. */
  readonly command: readonly string[];
  readonly settings: Readonly<Record<string, unknown>>;
  readonly folder: string;
  readonly recorded: history.History;
}

/** A started entry. */
export interface EntryProcess {
  readonly entry: site.SiteEntry;
  readonly child: child.Child;
  readonly client: entryClient.EntryClient;
  /** Where callers reach it. */
  readonly address: string;
  readonly peerAddress: string;
  /** Processor time so far, in milliseconds. */
  cpuMs(): number;
}

/** Starts it and waits until it listens. */
export async function startEntry(
  options: EntryProcessOptions,
): Promise<EntryProcess> {
  const {entry, folder, recorded} = options;
  const settingsFile = path.join(folder, `${entry.id}.jsonc`);
  const {id, failureDomain} = entry;
  const settings = {id, failureDomain, ...options.settings};
  fs.writeFileSync(settingsFile, JSON.stringify(settings));
  const started = child.startChild({
    name: id,
    args: [...options.command, settingsFile],
    logFile: path.join(folder, `${id}.log`),
  });
  const line = await child.waitForEntry(started);
  recorded.record({type: 'entry_up', entryId: id, pid: started.pid});
  void started.exited.then(({code, signal}) => {
    recorded.record({type: 'entry_exited', entryId: id, code, signal});
  });
  const client = entryClient.createEntryClient({
    entryId: id,
    address: line.address,
    recorded,
  });
  const {address, peerAddress} = line;
  const cpuMs = () => readCpuMs(started.pid);
  return {entry, child: started, client, address, peerAddress, cpuMs};
}

/** Clock ticks of `/proc/<pid>/stat` are hundredths of a second on Linux. */
const TICK_MS = 10;
/** Places of user and system time after the command's closing bracket. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

function readCpuMs(pid: number): number {
  try {
    const text = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    return (
      (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) *
      TICK_MS
    );
  } catch {
    return 0;
  }
}
