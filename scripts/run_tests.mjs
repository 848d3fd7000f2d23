/**
 * Runs every test file that has a source, with Node's own runner. Compiled
 * files whose source is gone are left out, so a stale build can't pass.
 * Arguments narrow the run to files whose path contains one of them.
 *
 * A failure that KNOWN-RED.txt lists is printed and passed over; any other
 * fails the run, and so does a listed test that passes again.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as reporters from 'node:test/reporters';
import * as knownRed from './known_red.mjs';

const wanted = process.argv.slice(2);
const chosen = testFiles().filter(
  (file) => wanted.length === 0 || wanted.some((word) => file.includes(word)),
);
if (chosen.length === 0) {
  console.error(`no test file matches ${JSON.stringify(wanted)}`);
  process.exit(1);
}
// The runner starts a process for each file; they take it from here.
process.env.NODE_OPTIONS = '--enable-source-maps';
const known = knownRed.readKnownRed('KNOWN-RED.txt');
const failed = [];
const passed = new Set();
// A failed test may leave a socket open, and its process would never end.
const FILE_TIMEOUT_MS = 120_000;
const run = nodeTest.run({
  files: chosen,
  concurrency: true,
  timeout: FILE_TIMEOUT_MS,
});
run.on('test:fail', (test) => {
  if (!isEcho(test)) failed.push(test.name);
});
run.on('test:pass', (test) => passed.add(test.name));
run.compose(new reporters.spec()).pipe(process.stdout);
run.on('end', () => {
  const complete = wanted.length === 0;
  const faults = knownRed.judge({known, failed, passed, complete});
  for (const line of faults) console.error(line);
  process.exitCode = faults.length === 0 ? 0 : 1;
});

/** A suite or file that failed only because a test in it did. */
function isEcho(test) {
  return test.details.error.failureType === 'subtestsFailed';
}

function testFiles() {
  const files = [];
  for (const name of fs.readdirSync('packages').sort()) {
    const src = path.join('packages', name, 'src');
    if (!fs.existsSync(src)) continue;
    const found = fs.readdirSync(src, {recursive: true, encoding: 'utf8'});
    for (const file of found.sort()) {
      if (!file.endsWith('.test.ts')) continue;
      const compiled = file.replace(/\.ts$/, '.js');
      files.push(path.join('packages', name, 'lib', compiled));
    }
  }
  for (const file of fs.readdirSync('platform/__tests__').sort()) {
    if (!file.endsWith('.test.ts')) continue;
    const compiled = file.replace(/\.ts$/, '.js');
    files.push(path.join('platform', 'lib', '__tests__', compiled));
  }
  return files;
}
