import * as assert from 'node:assert/strict';
import * as timers from 'node:timers/promises';
import * as nodeTest from 'node:test';
import * as exampleCell from '../example_cell.js';
import * as launchCell from '../launch_cell.js';

const TEAM = 'route-optimisation';
const JOB_COUNT = 6;
const DEADLINE_MS = 30_000;

const example = exampleCell.readExampleCell('skyroute');

const SMALL_SITE = {
  ...example.site,
  failureDomains: [{name: 'bkk-a', entries: 1, upstreams: 1, racks: 1}],
  workersPerRack: 1,
};

const SPEC = {
  shape: {kind: 'batch', tasks: 1},
  jobClass: 'route-optimisation',
  urgency: 'normal',
  size: {cpuMillis: 500, memoryMb: 256, accelerators: 0},
  estimateMs: 100,
};

// Failure: a task that is done is started a second time, and a counsellor's
// letter, for example, is checked twice. The log acknowledges the record of the
// task's end before the entry reads the record back. In between the job's state
// doesn't have the result yet, and the task must not return to the queue.
nodeTest.test('a task that is done is not started again', async () => {
  const cell = await launchCell.launchCell({
    ...example,
    site: SMALL_SITE,
    entryCommand: exampleCell.ENTRY_COMMAND,
    isRelayed: false,
    seed: 1,
  });
  try {
    const client = cell.entries()[0]!.client;
    const token = example.tokens.teams[TEAM] ?? '';
    const jobIds: string[] = [];
    for (let n = 0; n < JOB_COUNT; n++) {
      const label = `once-${n}`;
      const work = {command: 'optimise', args: {label, runMs: 20 + 10 * n}};
      const spec = {...SPEC, work};
      const job = {callId: label, token, team: TEAM, label, spec};
      const outcome = await client.submit(job);
      assert.equal(outcome.type, 'accepted', JSON.stringify(outcome));
      if (outcome.type === 'accepted') jobIds.push(outcome.jobId);
    }
    const deadline = performance.now() + DEADLINE_MS;
    for (const jobId of jobIds) {
      while ((await client.job(token, jobId))?.state !== 'done') {
        assert.ok(performance.now() < deadline, `${jobId} does not end`);
        await timers.setTimeout(50);
      }
    }
    const events = await cell.history();
    const starts = events.filter((event) => event.type === 'task_started');
    assert.equal(starts.length, JOB_COUNT, JSON.stringify(starts, null, 1));
  } finally {
    await cell.close();
  }
});
