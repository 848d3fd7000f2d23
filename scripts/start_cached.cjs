/**
 * Starts target/entry.cjs with the code that was compiled when it was built.
 * Without a cache that fits, as of another version of Node, the script is
 * compiled as usual.
 */
'use strict';

const fs = require('node:fs');
const nodeModule = require('node:module');
const path = require('node:path');
const vm = require('node:vm');

const WRITE_FLAG = '--write-code-cache';
const scriptPath = path.join(__dirname, 'entry.cjs');
const cachePath = `${scriptPath}.cache`;

function readCache() {
  try {
    return fs.readFileSync(cachePath);
  } catch (err) {
    if (err.code === 'ENOENT') return undefined;
    throw err;
  }
}

function load(cachedData) {
  const source = nodeModule.wrap(fs.readFileSync(scriptPath, 'utf8'));
  return new vm.Script(source, {filename: scriptPath, cachedData});
}

function run(script) {
  const entryModule = {exports: {}};
  script.runInThisContext()(
    entryModule.exports,
    require,
    entryModule,
    scriptPath,
    __dirname,
  );
}

/** The libraries are loaded first, so that the code that loads them is in it. */
function writeCache() {
  const script = load(undefined);
  try {
    run(script);
  } catch (err) {
    // Without settings the entry ends where it reads them.
    if (!/GYPSUMWALL_SETTINGS/.test(err.message)) throw err;
  }
  fs.writeFileSync(cachePath, script.createCachedData());
}

if (process.argv.includes(WRITE_FLAG)) {
  writeCache();
} else {
  const script = load(readCache());
  if (script.cachedDataRejected) {
    console.log('level=warn event=code_cache_rejected');
  }
  run(script);
}
