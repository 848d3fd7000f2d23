/** Runs the compiled command line in a separate process. */
import * as childProcess from 'node:child_process';
import * as url from 'node:url';

/** Output and exit code of a command. */
export interface CommandResult {
  readonly code: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

const MAIN = url.fileURLToPath(new URL('../main.js', import.meta.url));

/** Runs one command and waits for its end. */
export function runBinary(
  args: readonly string[],
  options: {
    readonly env?: Readonly<Record<string, string>>;
    readonly input?: string;
  } = {},
): Promise<CommandResult> {
  const child = childProcess.spawn(process.execPath, [MAIN, ...args], {
    env: {PATH: process.env['PATH'], ...options.env},
  });
  let stdout = '';
  let stderr = '';
  child.stdout.setEncoding('utf8').on('data', (text) => (stdout += text));
  child.stderr.setEncoding('utf8').on('data', (text) => (stderr += text));
  child.stdin.end(options.input ?? '');
  return new Promise((resolve, reject) => {
    child.on('error', reject);
    child.on('close', (code) => resolve({code, stdout, stderr}));
  });
}
