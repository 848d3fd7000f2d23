import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import * as nodeTest from 'node:test';
import * as exampleCell from '../example_cell.js';
import * as launchCell from '../launch_cell.js';

const TEAM = 'route-optimisation';
const DEADLINE_MS = 30_000;
const KEYS = ['sortie-1', 'sortie-2', 'sortie-3', 'sortie-4'];

const example = exampleCell.readExampleCell('skyroute');

const THREE_DOMAINS = {
  ...example.site,
  failureDomains: ['bkk-a', 'bkk-b', 'ayt-c'].map((name) => ({
    name,
    entries: 1,
    upstreams: 1,
    racks: 1,
  })),
  workersPerRack: 1,
};

nodeTest.test('one key is one job, through any entry', async () => {
  // Failure: one key is accepted as several jobs and a plan is computed more
  // than once. A client repeats a submission after its connection broke, and
  // the balancer sends it to an entry of another failure domain; each entry
  // used to accept the key for its own domain.
  const cell = await launchCell.launchCell({
    ...example,
    site: THREE_DOMAINS,
    entryCommand: exampleCell.ENTRY_COMMAND,
    isRelayed: false,
    seed: 1,
  });
  try {
    const token = example.tokens.teams[TEAM] ?? '';
    const clients = cell.entries().map((entry) => entry.client);
    const submit = async (key: string, index: number) => {
      const outcome = await clients[index]!.submit({
        callId: `${key}-${index}`,
        token,
        team: TEAM,
        key,
        label: key,
        spec: {
          shape: {kind: 'batch', tasks: 1},
          jobClass: 'route-optimisation',
          urgency: 'normal',
          size: {cpuMillis: 500, memoryMb: 256, accelerators: 0},
          estimateMs: 100,
          work: {command: 'optimise', args: {label: key, runMs: 50}},
        },
      });
      assert.equal(outcome.type, 'accepted', JSON.stringify(outcome));
      return outcome.type === 'accepted' ? outcome.jobId : '';
    };
    for (const key of KEYS) {
      const ids = await Promise.all(
        clients.map((_, turn) => submit(key, turn)),
      );
      assert.equal(new Set(ids).size, 1, ids.join(' '));
      const deadline = performance.now() + DEADLINE_MS;
      while ((await clients[0]!.job(token, ids[0]!))?.state !== 'done') {
        assert.ok(performance.now() < deadline, `${ids[0]} does not end`);
        await timers.setTimeout(50);
      }
    }
    const events = await cell.history();
    const starts = events.filter((event) => event.type === 'task_started');
    assert.equal(starts.length, KEYS.length);
  } finally {
    await cell.close();
  }
});
