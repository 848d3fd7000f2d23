/** Reads from the deploy file how the platform runs an entry. */
import * as fs from 'node:fs';
import * as path from 'node:path';

/** How an entry is started and where it serves metrics. */
export interface DeployedRole {
  /** Arguments for Node. */
  readonly args: readonly string[];
  readonly metricsPort: number;
  readonly metricsPath: string;
}

const RUN_LINE = /^run = "node (.+)"$/m;
const METRICS_LINE = /^metrics = "(\d+)\/(.+)"$/m;

const TARGET_PREFIX = 'target/';

/**
 * Reads the file; throws if the command or the metrics address is missing.
 * `builtInto` replaces the build folder in the command's arguments.
 */
export function readDeployFile(file: string, builtInto?: string): DeployedRole {
  const text = fs.readFileSync(file, 'utf8');
  const [, run] = RUN_LINE.exec(text) ?? [];
  const [, port, metricsPath] = METRICS_LINE.exec(text) ?? [];
  if (run === undefined || port === undefined || metricsPath === undefined) {
    throw new Error(`${file}: needs lines run = "node …" and metrics = "…"`);
  }
  const args = run
    .split(' ')
    .map((arg) =>
      builtInto !== undefined && arg.startsWith(TARGET_PREFIX)
        ? path.join(builtInto, arg.slice(TARGET_PREFIX.length))
        : arg,
    );
  return {args, metricsPort: Number(port), metricsPath};
}
