/**
 * Builds dist/gypsumwall, a single executable without external dependencies:
 * bundles the compiled code and its libraries into one script and injects it
 * into a copy of the Node binary. Run it after tsc -b. An optional argument
 * names an output folder other than dist.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as esbuild from 'esbuild';
import * as postject from 'postject';

const MAIN = 'packages/gypsumwall/lib/main.js';
const OUT_DIR = process.argv[2] ?? 'dist';
const BINARY = path.join(OUT_DIR, 'gypsumwall');
const BUNDLE = path.join(OUT_DIR, 'gypsumwall.cjs');
const BLOB = path.join(OUT_DIR, 'gypsumwall.blob');
const SEA_CONFIG = path.join(OUT_DIR, 'sea_config.json');

/** Names that Node expects in a single executable application. */
const BLOB_NAME = 'NODE_SEA_BLOB';
const FUSE_NAME = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

fs.rmSync(OUT_DIR, {recursive: true, force: true});
fs.mkdirSync(OUT_DIR, {recursive: true});
await bundle();
createBlob();
await inject();
for (const file of [BUNDLE, BLOB, SEA_CONFIG]) fs.rmSync(file);
const megabytes = (fs.statSync(BINARY).size / 1e6).toFixed(1);
console.log(`${BINARY}: ${megabytes} MB`);

async function bundle() {
  await esbuild.build({
    entryPoints: [MAIN],
    outfile: BUNDLE,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // oclif loads the compiler only to run commands from their sources, and
    // hot-shots loads unix-dgram only to write to Unix sockets.
    external: ['typescript', 'unix-dgram'],
    // The main file of jsonc-parser is UMD; bundlers cannot resolve its imports.
    alias: {'jsonc-parser': 'jsonc-parser/lib/esm/main.js'},
    // oclif would read its package.json, which is not part of the bundle.
    define: {'process.env.OCLIF_DISABLE_ENGINE_WARNING': '"1"'},
    // import.meta is empty in a CommonJS bundle. The entry does not need it,
    // because the commands start it.
    logOverride: {'empty-import-meta': 'silent'},
    logLevel: 'warning',
  });
}

function createBlob() {
  const config = {
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  };
  fs.writeFileSync(SEA_CONFIG, JSON.stringify(config));
  childProcess.execFileSync(
    process.execPath,
    ['--experimental-sea-config', SEA_CONFIG],
    {stdio: ['ignore', 'ignore', 'inherit']},
  );
}

async function inject() {
  fs.copyFileSync(process.execPath, BINARY);
  fs.chmodSync(BINARY, 0o755);
  await postject.inject(BINARY, BLOB_NAME, fs.readFileSync(BLOB), {
    sentinelFuse: FUSE_NAME,
  });
}
