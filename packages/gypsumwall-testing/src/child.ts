/**
 * Child processes of a test. Each prints a line of JSON when it is ready,
 * unless its standard output is a log; none outlives the process that started
 * it.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as readline from 'node:readline';
import * as zod from 'zod';

/** How a child ended. */
export interface ChildExit {
  readonly code: number | null;
  readonly signal: string;
}

/** A running child. */
export interface Child {
  readonly name: string;
  readonly pid: number;
  /**
   * Its first line on standard output; fails if it ends before. Where the
   * output goes to the log, it never resolves: ask the program itself.
   */
  readonly ready: Promise<unknown>;
  readonly exited: Promise<ChildExit>;
  isRunning(): boolean;
  sendSignal(signal: NodeJS.Signals): void;
}

/** What to start. */
export interface ChildOptions {
  readonly name: string;
  readonly args: readonly string[];
  /** Where its standard error goes. */
  readonly logFile: string;
  /** By default a line of JSON tells that the child is ready. */
  readonly output?: 'ready_line' | 'log_file';
  /** All of its environment; by default that of this process. */
  readonly env?: Readonly<Record<string, string>>;
}

const children = new Set<childProcess.ChildProcess>();
let cleansUp = false;

/** Kills what still runs when this process ends, however it ends. */
function cleanUpAtExit(): void {
  if (cleansUp) return;
  cleansUp = true;
  process.on('exit', () => {
    for (const child of children) child.kill('SIGKILL');
  });
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    process.on(signal, () => process.exit(130));
  }
}

/** Starts Node with the given arguments. */
export function startChild(options: ChildOptions): Child {
  cleanUpAtExit();
  const log = fs.openSync(options.logFile, 'a');
  const output = options.output === 'log_file' ? log : 'pipe';
  const child = childProcess.spawn(process.execPath, options.args, {
    stdio: ['pipe', output, log],
    env: options.env,
  });
  fs.closeSync(log);
  children.add(child);
  const exited = new Promise<ChildExit>((resolve) => {
    child.on('exit', (code, signal) => {
      children.delete(child);
      resolve({code, signal: signal ?? ''});
    });
  });
  const firstLine = new Promise<unknown>((resolve) => {
    if (child.stdout === null) return;
    const lines = readline.createInterface({input: child.stdout});
    lines.once('line', (line) => resolve(JSON.parse(line)));
  });
  const tooSoon = exited.then(({code, signal}) => {
    const log = fs.readFileSync(options.logFile, 'utf8').slice(-2_000);
    throw new Error(
      `${options.name} ended (${code} ${signal}) before it listened: ${log}`,
    );
  });
  const ready = Promise.race([firstLine, tooSoon]);
  // Whoever waits on `ready` gets the failure; a later exit is no failure.
  ready.catch(() => undefined);
  tooSoon.catch(() => undefined);
  return {
    name: options.name,
    pid: child.pid ?? -1,
    ready,
    exited,
    isRunning: () => child.exitCode === null && child.signalCode === null,
    sendSignal: (signal) => void child.kill(signal),
  };
}

const standInLine = zod.object({
  event: zod.literal('listening'),
  control: zod.string(),
  addresses: zod.record(zod.string(), zod.string()),
});

const entryLine = zod.object({
  event: zod.literal('listening'),
  id: zod.string(),
  address: zod.string(),
  peerAddress: zod.string(),
});

/** What a stand-in says when it listens. */
export async function standInReady(child: Child) {
  return standInLine.parse(await child.ready);
}

/** What an entry says when it listens. */
export async function entryReady(child: Child) {
  return entryLine.parse(await child.ready);
}
