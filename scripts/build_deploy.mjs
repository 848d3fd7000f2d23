/**
 * Makes target/gypsumwall.cjs, which starts the entry for the users' platform:
 * target/entry.cjs is one script with its libraries in it, and
 * target/entry.cjs.cache its compiled code, so that a start neither looks for
 * files nor compiles them. Run without tsc. An argument names another folder
 * than target/, for tests that run beside each other.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as esbuild from 'esbuild';

const folder = process.argv[2] ?? 'target';

/** Compiled code fits only a process with the same flags. */
function readNodeFlags() {
  const deployFile = fs.readFileSync('deploy/system.toml', 'utf8');
  const run = /^run = "node (.*) target\/gypsumwall\.cjs"$/m.exec(deployFile);
  if (run === null)
    throw new Error('deploy/system.toml: no line run = "node …"');
  return run[1].split(' ');
}

await esbuild.build({
  entryPoints: {entry: 'platform/main.ts'},
  outdir: folder,
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Names stay, so that stacks can be read.
  minifySyntax: true,
  minifyWhitespace: true,
  // Packages are built from their sources; their exports name compiled files.
  alias: {
    '@gypsumwall/types': './packages/gypsumwall-types/src/index.ts',
    '@gypsumwall/telemetry': './packages/gypsumwall-telemetry/src/index.ts',
    '@gypsumwall/scheduling': './packages/gypsumwall-scheduling/src/index.ts',
    '@gypsumwall/cell': './packages/gypsumwall-cell/src/index.ts',
  },
  logLevel: 'warning',
});
fs.copyFileSync('scripts/start_cached.cjs', `${folder}/gypsumwall.cjs`);
childProcess.execFileSync(
  process.execPath,
  [...readNodeFlags(), `${folder}/gypsumwall.cjs`, '--write-code-cache'],
  {stdio: ['ignore', 'inherit', 'inherit']},
);
