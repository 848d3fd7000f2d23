import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as exampleCell from '../example_cell.js';
import * as launchCell from '../launch_cell.js';

const example = exampleCell.readExampleCell('skyroute');
const tokens = example.tokens;

/** Exit codes, as in docs/CLI.md. */
const OK = 0;
const CONFLICT = 6;
const NOT_FOUND = 8;
const FORBIDDEN = 9;

const SMALL_SITE = {
  ...example.site,
  failureDomains: [{name: 'bkk-a', entries: 2, upstreams: 1, racks: 1}],
  workersPerRack: 1,
};

const JOB = `{
  "shape": {"kind": "batch", "tasks": 2}, // two routes
  "jobClass": "route-optimisation",
  "urgency": "normal",
  "size": {"cpuMillis": 500, "memoryMb": 256, "accelerators": 0},
  "estimateMs": 100,
  "work": {"command": "optimise", "args": {"label": "cli", "runMs": 20}},
}`;

/** Runs a command against an entry with the given token. */
function run(
  entry: {readonly address: string},
  token: string | undefined,
  args: readonly string[],
  input = '',
) {
  const [main = ''] = exampleCell.ENTRY_COMMAND;
  return childProcess.spawnSync(process.execPath, [main, ...args], {
    encoding: 'utf8',
    input,
    env: {
      PATH: process.env['PATH'],
      GYPSUMWALL_ENTRY: entry.address,
      GYPSUMWALL_TOKEN: token,
    },
  });
}

/** Runs a command that must succeed and returns its output. */
function output(...call: Parameters<typeof run>): string {
  const ran = run(...call);
  assert.equal(ran.status, OK, ran.stderr);
  return ran.stdout.trim();
}

nodeTest.test('the command line drives a real cell', async () => {
  const cell = await launchCell.launchCell({
    ...example,
    site: SMALL_SITE,
    entryCommand: exampleCell.ENTRY_COMMAND,
    isRelayed: false,
    seed: 1,
  });
  try {
    const [first, second] = cell.entries();
    assert.ok(first !== undefined && second !== undefined);
    const filing = tokens.teams['filing'];
    const routes = tokens.teams['route-optimisation'];
    const operator = tokens.operators['skyroute-ops'];

    // A request with a key runs once, whichever entry receives it.
    const filePlan = ['request', 'file-plan', '--key', 'k', '--data', '{}'];
    const firstAnswer = output(first, filing, filePlan);
    assert.equal(output(second, filing, filePlan), firstAnswer);

    // The result of a job can be read through the other entry, but only by its
    // own team.
    const jobId = output(first, routes, ['submit', '-', '--key', 'j'], JOB);
    const result = ['job', 'result', jobId, '--wait-ms', '30000'];
    assert.equal(output(second, routes, result).split('\n').length, 2);
    const otherTeam = run(second, filing, ['job', 'status', jobId]);
    assert.equal(otherTeam.status, NOT_FOUND);

    // Of two publishes based on one revision, the second is a conflict.
    const get = ['settings', 'get', 'teams/filing'];
    const subtree = output(first, operator, get);
    const base = /revision (\d+)/.exec(subtree)?.[1] ?? '';
    const file = path.join(cell.folder, 'filing.jsonc');
    fs.writeFileSync(file, subtree.replace(/"weight": \d+/, '"weight": 7'));
    const flags = ['--path', 'teams/filing', '--base', base, file];
    const publish = ['settings', 'publish', ...flags];
    output(first, operator, publish);
    assert.equal(run(second, operator, publish).status, CONFLICT);
    const lead = tokens.operators['route-lead'];
    assert.equal(run(second, lead, publish).status, FORBIDDEN);

    assert.match(output(second, operator, ['status']), /^claim\.type: held/m);
    output(first, operator, ['drain']);
    const {code} = await first.child.exited;
    assert.equal(code, OK);
  } finally {
    await cell.close();
  }
});
