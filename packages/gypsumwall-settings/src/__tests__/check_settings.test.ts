import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as checkCellTree from '../check_cell_tree.js';
import * as checkEntrySettings from '../check_entry_settings.js';
import * as checkSubtree from '../check_subtree.js';
import * as settingsDiff from '../settings_diff.js';
import * as settingsProblem from '../settings_problem.js';
import * as subtreePath from '../subtree_path.js';

const HASH_A = 'a'.repeat(64);
const HASH_B = 'b'.repeat(64);

const ENTRY = {
  id: 'bole-1',
  failureDomain: 'bole-hall',
  logUrl: 'http://127.0.0.1:7000',
  listUrl: 'http://127.0.0.1:7001',
  rootOperatorTokenHash: HASH_A,
};

const TEAM = {
  tokenHashes: [HASH_B],
  quota: {cpuMillis: 32_000, memoryMb: 65_536, accelerators: 0},
  operations: {'airspace-check': {timeoutMs: 800}},
};

const CELL = {
  name: 'addis',
  failureDomains: ['bole-hall', 'piassa-hall'],
  operators: {abeba: {tokenHash: HASH_A, subtrees: ['teams/night-plans']}},
};

function entryProblems(text: string) {
  const checked = checkEntrySettings.checkEntrySettings(text, 'entry.jsonc');
  return checked.isErr ? checked.error : [];
}

/** Returns the only problem of the entry settings with the changed fields. */
function entryProblem(change: Record<string, unknown>) {
  const problems = entryProblems(JSON.stringify({...ENTRY, ...change}));
  assert.equal(problems.length, 1, JSON.stringify(problems));
  return problems[0]!;
}

/** Returns the only problem of a team's subtree with the changed fields. */
function teamProblem(change: Record<string, unknown>) {
  const checked = checkSubtree.checkSubtree('teams/night-plans', {
    ...TEAM,
    ...change,
  });
  assert.ok(checked.isErr);
  assert.equal(checked.error.length, 1);
  return checked.error[0]!;
}

function treeProblems(tree: unknown) {
  const text = JSON.stringify(tree, null, 2);
  const checked = checkCellTree.checkCellTree(text, 'cell.jsonc');
  return checked.isErr ? checked.error : [];
}

nodeTest.test('defaults are added to valid entry settings', () => {
  const text = `\uFEFF// entry of Bole\n${JSON.stringify(ENTRY)}`;
  const checked = checkEntrySettings.checkEntrySettings(text, 'entry.jsonc');
  assert.ok(checked.isOk);
  assert.equal(checked.value.taskLeaseMs, 15_000);
});

nodeTest.test('a file that is not in UTF-8 is refused', () => {
  const utf16 = Buffer.from('\uFEFF{}', 'utf16le').toString('utf8');
  assert.match(entryProblems(utf16)[0]!.message, /not in UTF-8/);
});

nodeTest.test('the problem for a syntax error has its line and column', () => {
  const problem = entryProblems('{\n  "id": ,\n}')[0]!;
  assert.deepEqual([problem.line, problem.column], [2, 9]);
  assert.match(problem.message, /syntax error/);
});

nodeTest.test('a duplicate key is refused', () => {
  const problem = entryProblems('{\n"id": "a",\n"id": "b"}')[0]!;
  assert.equal(problem.line, 3);
  assert.match(problem.message, /twice/);
});

nodeTest.test('the remedy for an unknown key names a similar key', () => {
  const problem = entryProblem({taskLeaseSeconds: 15});
  assert.equal(problem.path, 'taskLeaseSeconds');
  assert.match(problem.remedy, /taskLeaseMs \(milliseconds\)/);
});

nodeTest.test(
  'the remedy for a value with another unit is the converted number',
  () => {
    const problem = entryProblem({peerSilenceMs: '3s'});
    assert.equal(problem.value, '"3s"');
    assert.equal(problem.remedy, 'Write 3000 (milliseconds).');
  },
);

nodeTest.test('contradictory spans are refused', () => {
  const pairs = {
    peerSilenceMs: {peerHeartbeatMs: 1_000, peerSilenceMs: 1_000},
    taskLeaseMs: {workerHeartbeatMs: 1_000, taskLeaseMs: 2_000},
    serviceLeaseMs: {serviceLeaseMs: 2_000},
    claimTtlMs: {peerHeartbeatMs: 1_900, claimTtlMs: 3_800},
    listLagMs: {listPollMs: 5_000, listLagMs: 5_000},
    peerPort: {port: 7_100, peerPort: 7_100},
  };
  for (const [path, change] of Object.entries(pairs)) {
    const problem = entryProblem(change);
    assert.equal(problem.path, path);
    assert.notEqual(problem.remedy, '');
  }
});

nodeTest.test('problems of a subtree have path, value and remedy', () => {
  const memory = teamProblem({quota: {...TEAM.quota, memoryMb: '64GB'}});
  assert.equal(memory.path, 'teams/night-plans/quota/memoryMb');
  assert.equal(memory.remedy, 'Write 65536 (mebibytes).');
  const weight = teamProblem({weight: -1});
  assert.deepEqual([weight.value, weight.remedy], ['-1', 'Use more than 0.']);
  const timeout = teamProblem({operations: {file: {estimateMs: 5_000}}});
  assert.equal(timeout.path, 'teams/night-plans/operations/file/timeoutMs');
});

nodeTest.test('a token that was written instead of its hash is hidden', () => {
  const problem = teamProblem({tokenHashes: ['my-secret-token']});
  const line = settingsProblem.describeProblem(problem);
  assert.doesNotMatch(line, /my-secret-token/);
});

nodeTest.test('an unknown subtree is refused', () => {
  for (const path of ['', 'cells', 'teams', 'teams/', 'teams/a/b', 'teams/A']) {
    assert.ok(checkSubtree.checkSubtree(path, TEAM).isErr, path);
  }
  assert.ok(checkSubtree.checkSubtree('cell', CELL).isOk);
  assert.ok(subtreePath.mayPublish(['teams/a'], 'teams/a'));
  assert.ok(!subtreePath.mayPublish(['teams/a'], 'teams/ab'));
  assert.ok(!subtreePath.mayPublish(['teams/a'], 'cell'));
});

nodeTest.test('a tree is checked for faults between its subtrees', () => {
  const tree = {cell: CELL, teams: {'night-plans': TEAM}};
  assert.deepEqual(treeProblems(tree), []);
  const missingTeam = treeProblems({cell: CELL, teams: {'day-desk': TEAM}});
  assert.equal(missingTeam[0]!.path, 'cell/operators/abeba/subtrees/0');
  assert.equal(missingTeam[0]!.value, '"teams/night-plans"');
  assert.ok(missingTeam[0]!.line! > 1);
  const sharedToken = treeProblems({
    cell: CELL,
    teams: {'night-plans': TEAM, 'day-desk': TEAM},
  });
  assert.match(sharedToken[0]!.message, /same token hash/);
});

nodeTest.test('two operators of a cell must not share a token', () => {
  const abeba = CELL.operators.abeba;
  const operators = {abeba, selam: abeba};
  const checked = checkSubtree.checkSubtree('cell', {...CELL, operators});
  assert.ok(checked.isErr);
  assert.equal(checked.error[0]!.path, 'cell/operators/selam/tokenHash');
});

nodeTest.test('a comparison returns each leaf that changed', () => {
  const after = {...TEAM, weight: 2, quota: {...TEAM.quota, memoryMb: 1}};
  assert.deepEqual(settingsDiff.diffSettings(TEAM, after), [
    {path: 'quota/memoryMb', before: '65536', after: '1'},
    {path: 'weight', after: '2'},
  ]);
});
