/**
 * Makes dist/gypsumwall, one file that runs without anything beside it: the
 * compiled code and its libraries in one script, put into a copy of Node.
 * Run after tsc -b. An argument names another folder than dist.
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

/** Names that Node's loader of single executables looks for. */
const BLOB_NAME = 'NODE_SEA_BLOB';
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

fs.rmSync(OUT_DIR, {recursive: true, force: true});
fs.mkdirSync(OUT_DIR, {recursive: true});
await bundle();
makeBlob();
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
    // oclif asks for the compiler only to run commands from sources, and
    // hot-shots for the socket only to write to Unix sockets.
    external: ['typescript', 'unix-dgram'],
    // Its main file is UMD, whose inner imports a bundler can't see.
    alias: {'jsonc-parser': 'jsonc-parser/lib/esm/main.js'},
    // oclif would look for its package.json, which isn't there any more.
    define: {'process.env.OCLIF_DISABLE_ENGINE_WARNING': '"1"'},
    // The entry is started from the commands, not from the file's own URL.
    logOverride: {'empty-import-meta': 'silent'},
    logLevel: 'warning',
  });
}

function makeBlob() {
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
    sentinelFuse: FUSE,
  });
}
