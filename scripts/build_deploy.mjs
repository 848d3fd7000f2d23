/**
 * Builds target/gypsumwall.cjs, which starts the entry on the users' platform.
 * target/entry.cjs is the entry bundled with its libraries, and
 * target/entry.cjs.cache is its V8 code cache, so that a start neither resolves
 * modules nor compiles them. tsc need not run first. An optional argument names
 * an output folder other than target/, for tests that run in parallel.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as esbuild from 'esbuild';

const outDir = process.argv[2] ?? 'target';

/** Node accepts the code cache only in a process with the same flags. */
function readNodeFlags() {
  const deployFile = fs.readFileSync('deploy/system.toml', 'utf8');
  const run = /^run = "node (.*) target\/gypsumwall\.cjs"$/m.exec(deployFile);
  if (run === null)
    throw new Error('deploy/system.toml: no line run = "node …"');
  return run[1].split(' ');
}

await esbuild.build({
  entryPoints: {entry: 'platform/main.ts'},
  outdir: outDir,
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Identifiers are not minified, so that stack traces stay readable.
  minifySyntax: true,
  minifyWhitespace: true,
  // Bundles the packages from their sources; their exports name compiled files.
  alias: {
    '@gypsumwall/types': './packages/gypsumwall-types/src/index.ts',
    '@gypsumwall/telemetry': './packages/gypsumwall-telemetry/src/index.ts',
    '@gypsumwall/organisations':
      './packages/gypsumwall-organisations/src/index.ts',
    '@gypsumwall/scheduling': './packages/gypsumwall-scheduling/src/index.ts',
    '@gypsumwall/cell': './packages/gypsumwall-cell/src/index.ts',
  },
  logLevel: 'warning',
});
fs.copyFileSync('scripts/start_cached.cjs', `${outDir}/gypsumwall.cjs`);
childProcess.execFileSync(
  process.execPath,
  [...readNodeFlags(), `${outDir}/gypsumwall.cjs`, '--write-code-cache'],
  {stdio: ['ignore', 'inherit', 'inherit']},
);
