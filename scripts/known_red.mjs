/**
 * Known test failures that are caused by faults not yet fixed. KNOWN-RED.txt
 * lists one per line as `test name | cause | issue`, and at most three tests
 * beside those that run isolated from other load. A
 * fault that only a simulation of the users' workloads reveals has
 * `command: ...` in place of the test name. It is printed but not run here, and
 * does not count as a test.
 */
import * as fs from 'node:fs';

const MAX_TESTS = 3;
const COMMAND_PREFIX = 'command: ';

/**
 * Reads the names, causes and issues from the file; returns an empty list if it
 * does not exist.
 */
export function readKnownRed(file) {
  if (!fs.existsSync(file)) return [];
  const lines = fs
    .readFileSync(file, 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '');
  return lines.map((line) => {
    const [name = '', cause = '', issue = ''] = line
      .split('|')
      .map((part) => part.trim());
    return {name, cause, issue};
  });
}

/**
 * Prints the known failures and returns the faults of the run, one line each.
 * `complete` is false if only some of the test files ran; `isolated` are the
 * names of failed tests that ran isolated from other load.
 */
export function judge({known, failed, passed, isolated = new Set(), complete}) {
  const faults = known
    .filter(({name, cause, issue}) => !name || !cause || !issue)
    .map(({name}) => `KNOWN-RED.txt: "${name}" lacks its cause or its issue`);
  const tests = known.filter(({name}) => !name.startsWith(COMMAND_PREFIX));
  const capped = tests.filter(({name}) => !isolated.has(name));
  if (capped.length > MAX_TESTS) {
    faults.push(`KNOWN-RED.txt: ${capped.length} tests, at most ${MAX_TESTS}`);
  }
  for (const {name, cause, issue} of known) {
    if (name.startsWith(COMMAND_PREFIX)) {
      console.log(`known red, not run here: ${name} (${cause}; ${issue})`);
    } else if (failed.includes(name)) {
      console.log(`known red: ${name} (${cause}; ${issue})`);
    } else if (passed.has(name)) {
      faults.push(`KNOWN-RED.txt: "${name}" passes; take it out`);
    } else if (complete) {
      faults.push(`KNOWN-RED.txt: there is no test "${name}"`);
    }
  }
  const names = new Set(known.map(({name}) => name));
  return [
    ...faults,
    ...failed
      .filter((name) => !names.has(name))
      .map((name) => `failed: ${name}`),
  ];
}
