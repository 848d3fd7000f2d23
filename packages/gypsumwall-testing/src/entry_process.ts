/** One entry of the product as a child process. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as child from './child.js';
import * as entryClient from './entry_client.js';
import type * as history from './history.js';
import type * as site from './site.js';

/** Options of an entry process. */
export interface EntryProcessOptions {
  readonly entry: site.SiteEntry;
  /** Arguments for Node.js; the settings file is appended. */
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
  /** The address for callers. */
  readonly address: string;
  readonly peerAddress: string;
  /** Returns the processor time that the process has used, in milliseconds. */
  cpuMs(): number;
}

/** Starts an entry and waits until it listens. */
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
  const readyLine = await child.waitForEntry(started);
  recorded.record({type: 'entry_up', entryId: id, pid: started.pid});
  void started.exited.then(({code, signal}) => {
    recorded.record({type: 'entry_exited', entryId: id, code, signal});
  });
  const client = entryClient.createEntryClient({
    entryId: id,
    address: readyLine.address,
    recorded,
  });
  const {address, peerAddress} = readyLine;
  const cpuMs = () => readCpuMs(started.pid);
  return {entry, child: started, client, address, peerAddress, cpuMs};
}

/**
 * Length of a clock tick in `/proc/<pid>/stat`: a hundredth of a second on
 * Linux.
 */
const TICK_MS = 10;
/**
 * Indexes of `utime` and `stime` among the fields after the closing parenthesis
 * of the command.
 */
const UTIME_FIELD = 11;
const STIME_FIELD = 12;

function readCpuMs(pid: number): number {
  try {
    const text = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
    const stat = text.slice(text.lastIndexOf(')') + 2).split(' ');
    return (Number(stat[UTIME_FIELD]) + Number(stat[STIME_FIELD])) * TICK_MS;
  } catch {
    return 0;
  }
}
