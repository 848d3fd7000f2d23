/**
 * Starts target/entry.cjs with the V8 code cache that was written at build time.
 * If the cache is missing or does not match, for example because the Node
 * version differs, the script is compiled as usual.
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

/**
 * Writes the code cache after the script has run and loaded its libraries, so
 * that the cache also contains the functions compiled meanwhile.
 */
function writeCache() {
  const script = load(undefined);
  try {
    run(script);
  } catch (err) {
    // Without settings the entry fails when it reads them, after loading.
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
