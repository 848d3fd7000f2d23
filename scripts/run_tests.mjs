/**
 * Runs the test files with Node's test runner. Only compiled files that still
 * have a source are run, so that a stale build cannot pass. Arguments restrict
 * the run to files whose path contains one of them.
 *
 * A failure that KNOWN-RED.txt lists is printed and does not fail the run. Any
 * other failure does, and so does a listed test that passes.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as reporters from 'node:test/reporters';
import * as knownRed from './known_red.mjs';

const filters = process.argv.slice(2);
const selectedFiles = findTestFiles().filter(
  (file) =>
    filters.length === 0 || filters.some((filter) => file.includes(filter)),
);
if (selectedFiles.length === 0) {
  console.error(`no test file matches ${JSON.stringify(filters)}`);
  process.exit(1);
}
// The runner starts a process for each file, which inherits this variable.
process.env.NODE_OPTIONS = '--enable-source-maps';
const known = knownRed.readKnownRed('KNOWN-RED.txt');
const failed = [];
const passed = new Set();
// A failed test may leave a socket open, which would keep its process running.
const FILE_TIMEOUT_MS = 120_000;
const run = nodeTest.run({
  files: selectedFiles,
  concurrency: true,
  timeout: FILE_TIMEOUT_MS,
});
run.on('test:fail', (test) => {
  if (!failedOnlyInSubtests(test)) failed.push(test.name);
});
run.on('test:pass', (test) => passed.add(test.name));
run.compose(new reporters.spec()).pipe(process.stdout);
run.on('end', () => {
  const complete = filters.length === 0;
  const faults = knownRed.judge({known, failed, passed, complete});
  for (const line of faults) console.error(line);
  process.exitCode = faults.length === 0 ? 0 : 1;
});

/** Whether a suite or file failed only because a test in it failed. */
function failedOnlyInSubtests(test) {
  return test.details.error.failureType === 'subtestsFailed';
}

function findTestFiles() {
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
