/**
 * Child processes of a test. Each prints a line of JSON when it is ready,
 * unless its standard output goes to its log file. All of them are killed when
 * the process that started them exits.
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
   * Resolves to the first line on standard output, parsed as JSON; rejects if
   * the child exits before it. Never resolves if the output goes to the log
   * file: poll the program instead.
   */
  readonly ready: Promise<unknown>;
  readonly exited: Promise<ChildExit>;
  isRunning(): boolean;
  sendSignal(signal: NodeJS.Signals): void;
}

/** Options of a child. */
export interface ChildOptions {
  readonly name: string;
  readonly args: readonly string[];
  /** File that standard error is appended to. */
  readonly logFile: string;
  /**
   * `ready_line`, the default, expects a line of JSON once the child is ready;
   * `log_file` appends standard output to the log file.
   */
  readonly output?: 'ready_line' | 'log_file';
  /** The complete environment; by default that of this process. */
  readonly env?: Readonly<Record<string, string>>;
}

const children = new Set<childProcess.ChildProcess>();
let hasExitHandlers = false;

/**
 * Kills all remaining children when this process exits, also after a signal.
 */
function installExitHandlers(): void {
  if (hasExitHandlers) return;
  hasExitHandlers = true;
  process.on('exit', () => {
    for (const child of children) child.kill('SIGKILL');
  });
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
    process.on(signal, () => process.exit(130));
  }
}

/** Starts Node.js with the given arguments. */
export function startChild(options: ChildOptions): Child {
  installExitHandlers();
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
  const prematureExit = exited.then(({code, signal}) => {
    const log = fs.readFileSync(options.logFile, 'utf8').slice(-2_000);
    throw new Error(
      `${options.name} ended (${code} ${signal}) before it was ready: ${log}`,
    );
  });
  const ready = Promise.race([firstLine, prematureExit]);
  // Callers that await `ready` get the error; without one, an exit must not
  // count as an unhandled rejection.
  ready.catch(() => undefined);
  prematureExit.catch(() => undefined);
  return {
    name: options.name,
    pid: child.pid ?? -1,
    ready,
    exited,
    isRunning: () => child.exitCode === null && child.signalCode === null,
    sendSignal: (signal) => void child.kill(signal),
  };
}

const standInReadyLine = zod.object({
  event: zod.literal('listening'),
  control: zod.string(),
  addresses: zod.record(zod.string(), zod.string()),
});

const entryReadyLine = zod.object({
  event: zod.literal('listening'),
  id: zod.string(),
  address: zod.string(),
  peerAddress: zod.string(),
});

/** Waits until a stand-in listens and returns the line that it prints then. */
export async function waitForStandIn(child: Child) {
  return standInReadyLine.parse(await child.ready);
}

/** Waits until an entry listens and returns the line that it prints then. */
export async function waitForEntry(child: Child) {
  return entryReadyLine.parse(await child.ready);
}
