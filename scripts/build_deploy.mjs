/**
 * Makes target/gypsumwall.mjs, the entry for the users' platform: one script
 * with its libraries in it, so that a start reads one file. Run without tsc.
 */
import * as esbuild from 'esbuild';

await esbuild.build({
  entryPoints: {gypsumwall: 'platform/main.ts'},
  outdir: 'target',
  outExtension: {'.js': '.mjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Packages are built from their sources; their exports name compiled files.
  alias: {
    '@gypsumwall/types': './packages/gypsumwall-types/src/index.ts',
    '@gypsumwall/telemetry': './packages/gypsumwall-telemetry/src/index.ts',
    '@gypsumwall/scheduling': './packages/gypsumwall-scheduling/src/index.ts',
    '@gypsumwall/cell': './packages/gypsumwall-cell/src/index.ts',
  },
  // CommonJS libraries in the bundle ask for these.
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
