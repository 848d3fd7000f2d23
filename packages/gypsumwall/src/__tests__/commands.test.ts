import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as nodeTest from 'node:test';
import * as commandTable from '../command_table.js';
import * as exitCodes from '../exit_codes.js';
import * as fakeEntry from '../__fixtures__/fake_entry.js';
import * as runBinary from '../__fixtures__/run_binary.js';

const EXIT = exitCodes.EXIT_CODES;
const TOKEN = 'token-of-abeba';
const CLI_PAGE = new URL('../../../../docs/CLI.md', import.meta.url);

const TEAM = {
  tokenHashes: ['b'.repeat(64)],
  quota: {cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0},
};

const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'gypsumwall-cli-'));
nodeTest.after(() => fs.rmSync(folder, {recursive: true}));

/** Writes a file for one test; returns its path. */
function writeTestFile(name: string, value: unknown): string {
  const file = path.join(folder, name);
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  fs.writeFileSync(file, text);
  return file;
}

/** Runs a command against an entry that answers as the test defines. */
async function run(
  args: readonly string[],
  answer: (call: fakeEntry.ReceivedCall) => fakeEntry.FakeAnswer,
  input?: string,
) {
  const entry = await fakeEntry.createFakeEntry(answer);
  const env = {GYPSUMWALL_TOKEN: TOKEN, GYPSUMWALL_ENTRY: entry.url};
  const commandResult = await runBinary.runBinary(args, {env, input});
  entry.close();
  assert.doesNotMatch(
    commandResult.stdout + commandResult.stderr,
    new RegExp(TOKEN),
  );
  return {...commandResult, calls: entry.calls};
}

nodeTest.test('every command has help with an example', async () => {
  for (const id of Object.keys(commandTable.COMMAND_TABLE)) {
    const words = id.split(':');
    const help = await runBinary.runBinary([...words, '--help']);
    assert.equal(help.code, EXIT.ok, help.stderr);
    assert.match(help.stdout, new RegExp(`EXAMPLES\\n.*${words.join(' ')}`));
  }
});

nodeTest.test('docs/CLI.md names every command and exit code', () => {
  const page = fs.readFileSync(CLI_PAGE, 'utf8');
  for (const id of Object.keys(commandTable.COMMAND_TABLE)) {
    assert.match(page, new RegExp(`^### ${id.replace(':', ' ')}$`, 'm'));
  }
  for (const [name, code] of Object.entries(EXIT)) {
    assert.match(page, new RegExp(`^\\| +${code} +\\| \`${name}\` +\\|`, 'm'));
  }
});

nodeTest.test(
  'settings check prints location, path, value and remedy',
  async () => {
    const file = writeTestFile(
      'bad.jsonc',
      '{\n  // no id\n  "peerSilence": "2s"\n}',
    );
    const result = await runBinary.runBinary(['settings', 'check', file]);
    assert.equal(result.code, EXIT.invalid);
    assert.match(
      result.stderr,
      /bad\.jsonc:3:3: peerSilence = "2s": the key is/,
    );
    assert.match(result.stderr, /Did you mean peerSilenceMs/);
    const json = ['settings', 'check', '--json', file];
    const problems = JSON.parse((await runBinary.runBinary(json)).stdout) as {
      problems: {line: number}[];
    };
    assert.ok(problems.problems.some((problem) => problem.line === 3));
  },
);

nodeTest.test('settings check accepts valid files of each kind', async () => {
  const cell = {name: 'addis', failureDomains: ['bole-hall']};
  const tree = writeTestFile('cell.jsonc', {
    cell,
    teams: {'night-plans': TEAM},
  });
  const entry = writeTestFile('entry.jsonc', {
    id: 'bole-1',
    failureDomain: 'bole-hall',
    logUrl: 'http://127.0.0.1:7000',
    listUrl: 'http://127.0.0.1:7000',
    rootOperatorTokenHash: 'a'.repeat(64),
  });
  const files = await runBinary.runBinary(['settings', 'check', tree, entry]);
  assert.deepEqual([files.code, files.stderr], [EXIT.ok, '']);
  const team = writeTestFile('team.jsonc', TEAM);
  const flags = ['--path', 'teams/night-plans', '--json'];
  const subtree = ['settings', 'check', ...flags, team];
  const checked = await runBinary.runBinary(subtree);
  assert.deepEqual(JSON.parse(checked.stdout), {problems: []});
});

// Two operators publish the same subtree, and the entry answers the second one
// that another revision is in force. The command must print this and end with
// the exit code for a conflict, so that a script never takes it for a success.
nodeTest.test('a publish after another one ends with a conflict', async () => {
  const file = writeTestFile('team.jsonc', TEAM);
  const flags = ['--path', 'teams/night-plans', '--base', '4'];
  const result = await run(['settings', 'publish', file, ...flags], (call) =>
    call.method === 'PUT'
      ? fakeEntry.createProblem(409, 'conflict')
      : {body: {path: 'teams/night-plans', revision: 5, value: {}}},
  );
  assert.equal(result.code, EXIT.conflict);
  assert.match(result.stderr, /conflict: because of conflict\. Nothing ran/);
  assert.equal(result.calls.at(-1)?.headers['if-match'], '4');
});

nodeTest.test('publishing a tree sends only what differs', async () => {
  const cell = {name: 'addis', failureDomains: ['bole-hall']};
  const file = writeTestFile('cell.jsonc', {
    cell,
    teams: {'night-plans': TEAM},
  });
  const answer = (call: fakeEntry.ReceivedCall): fakeEntry.FakeAnswer => {
    if (call.method === 'PUT') return {body: {revision: 9}};
    return call.path === '/v1/settings/cell'
      ? {body: {path: 'cell', revision: 3, value: {...cell, operators: {}}}}
      : fakeEntry.createProblem(404, 'not_found');
  };
  const result = await run(['settings', 'publish', file], answer);
  assert.equal(result.code, EXIT.ok, result.stderr);
  assert.equal(result.stdout, 'teams/night-plans  revision 9\n');
  const puts = result.calls.filter((call) => call.method === 'PUT');
  assert.deepEqual(
    puts.map((call) => [call.path, call.headers['if-match']]),
    [['/v1/settings/teams/night-plans', '-1']],
  );
  const diff = await run(['settings', 'diff', file], answer);
  assert.equal(diff.code, EXIT.differs);
  assert.match(diff.stdout, /^teams\/night-plans: \(absent\) -> /);
});

nodeTest.test('submit sends the job with a key and prints its id', async () => {
  const args = ['submit', '-', '--key', 'k-1'];
  const job = '{"jobClass": "plans" /* night */}';
  const result = await run(args, () => ({body: {jobId: 'bole-hall.1'}}), job);
  assert.deepEqual([result.code, result.stdout], [EXIT.ok, 'bole-hall.1\n']);
  assert.equal(result.calls[0]?.headers['idempotency-key'], 'k-1');
  assert.equal(result.calls[0]?.headers.authorization, `Bearer ${TOKEN}`);
  assert.equal(result.calls[0]?.body, '{"jobClass":"plans"}');
});

nodeTest.test('a request streams its answer', async () => {
  const body = 'clear'.repeat(100_000);
  const result = await run(['request', 'airspace-check'], () => ({body}));
  assert.equal(result.code, EXIT.ok, result.stderr);
  assert.equal(result.stdout, body);
});

nodeTest.test('an answer that ends early is never a success', async () => {
  const result = await run(['request', 'file-plan', '--key', 'k'], () => ({
    body: 'half an ans',
    endsEarly: true,
  }));
  assert.equal(result.code, EXIT.unknown);
  assert.match(result.stderr, /the answer ended early/);
});

nodeTest.test('each outcome has its own exit code', async () => {
  const cases = [
    [
      fakeEntry.createProblem(503, 'overloaded', {retryAfterMs: 900}),
      EXIT.notRun,
    ],
    [fakeEntry.createProblem(502, 'x', {outcome: 'unknown'}), EXIT.unknown],
    [{status: 502, body: '<html>a balancer</html>'}, EXIT.unknown],
    [fakeEntry.createProblem(401, 'unauthenticated'), EXIT.forbidden],
    [fakeEntry.createProblem(404, 'not_found'), EXIT.notFound],
    [fakeEntry.createProblem(400, 'invalid'), EXIT.invalid],
  ] as const;
  for (const [answer, code] of cases) {
    const result = await run(['request', 'airspace-check'], () => answer);
    assert.equal(result.code, code, result.stderr);
  }
});

nodeTest.test(
  'a missing entry, a missing token and an unreachable entry are reported',
  async () => {
    const noEntry = await runBinary.runBinary(['status']);
    assert.equal(noEntry.code, EXIT.usage);
    assert.match(noEntry.stderr, /--entry URL, or set GYPSUMWALL_ENTRY/);
    const unreachable = {GYPSUMWALL_ENTRY: 'http://127.0.0.1:1'};
    const noToken = await runBinary.runBinary(['status'], {env: unreachable});
    assert.equal(noToken.code, EXIT.forbidden);
    assert.match(noToken.stderr, /--token-file/);
    const env = {...unreachable, GYPSUMWALL_TOKEN: TOKEN};
    const result = await runBinary.runBinary(['submit', '-'], {
      env,
      input: '{}',
    });
    assert.equal(result.code, EXIT.unreachable);
    assert.match(result.stderr, /Nothing ran/);
  },
);

nodeTest.test('a job is shown, waited for and cancelled', async () => {
  const view = {jobId: 'a.1', kind: 'batch', tasks: 2, finished: 2};
  const counts = {failed: 0, running: 0, message: '', results: ['x', 'y']};
  const states = ['running', 'done'];
  const answer = () => ({
    body: {...view, ...counts, state: states.shift() ?? 'done'},
  });
  const result = await run(
    ['job', 'result', 'a.1', '--wait-ms', '60000'],
    answer,
  );
  assert.deepEqual([result.code, result.stdout], [EXIT.ok, 'x\ny\n']);
  assert.equal(result.calls.length, 2);
  const shown = await run(['job', 'status', 'a.1'], answer);
  assert.match(shown.stdout, /a\.1 {2}batch {2}done {2}\(2\/2 finished/);
  const cancelled = await run(['job', 'cancel', 'a/1'], answer);
  assert.equal(cancelled.calls[0]?.method, 'DELETE');
  assert.equal(cancelled.calls[0]?.path, '/v1/jobs/a%2F1');
});

nodeTest.test('status prints each value on its own line', async () => {
  const body = {id: 'bole-1', list: {ageMs: 12, peers: []}};
  const result = await run(['status'], () => ({body}));
  assert.equal(result.stdout, 'id: bole-1\nlist.ageMs: 12\nlist.peers: none\n');
});

const EXPLANATION = {
  admission: {type: 'admitted'},
  holder: 'entry-2',
  replicaAgeMs: 130,
  placement: {
    objectiveMs: 3_000,
    expectedMs: 1_000,
    steps: [
      {
        step: 0,
        tasks: 4,
        stepsAhead: 2,
        workers: {no_room: 3, not_recorded: 1},
        outlook: {type: 'waits_for_near_place', rack: 'r1', atMostMs: 900},
      },
    ],
  },
};

nodeTest.test('explain prints where a job would go', async () => {
  const job = writeTestFile('job.json', {phases: [{count: 4}]});
  const args = ['explain', '--job', job, '--queue', 'plans'];
  const answered = await run(args, () => ({body: EXPLANATION}));
  assert.equal(answered.code, EXIT.ok, answered.stderr);
  assert.match(answered.stdout, /waits for rack r1, 900 ms at most/);
  assert.match(answered.stdout, /no_room:3,not_recorded:1/);
  const [call] = answered.calls;
  assert.equal(call?.path, '/explain?queue=plans');
  assert.equal(call.headers.authorization, undefined);
});

nodeTest.test('explain names the holder at another entry', async () => {
  const job = writeTestFile('job.json', {phases: [{count: 4}]});
  const args = ['explain', '--job', job, '--queue', 'plans'];
  const body = {...EXPLANATION, placement: undefined};
  const answered = await run(args, () => ({body}));
  assert.match(answered.stdout, /known to the holder only, which is entry-2/);
});
