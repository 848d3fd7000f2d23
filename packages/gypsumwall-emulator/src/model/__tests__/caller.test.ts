import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as balancers from '../balancer.js';
import * as callers from '../caller.js';
import * as histories from '../history.js';
import * as jobCatalogs from '../job_catalog.js';

const {test} = nodeTest;
const JOB = {jobId: 'j', queue: 'q', payload: '', steps: []};
const LONG_MS = 20_000;

function createFixture(answers: readonly callers.CallAnswer['type'][]) {
  const clock = types.virtualClock.createVirtualClock();
  const asked: string[] = [];
  const balancer = balancers.startBalancer({
    clock,
    entries: ['a', 'b', 'c'],
    checkReady: (entry) => Promise.resolve(entry !== 'c'),
  });
  const callersUnderTest = callers.createCallers({
    clock,
    balancer,
    random: types.random.createRandom(1),
    history: histories.createHistory(clock),
    catalog: jobCatalogs.createJobCatalog(),
    patienceMs: 3_000,
    attempts: 4,
    keyOf: () => undefined,
    retryPauseMs: 100,
    send(entry) {
      const type = answers[asked.length] ?? 'refused';
      asked.push(entry);
      return Promise.resolve(type === 'ok' ? {type, state: undefined} : {type});
    },
  });
  return {clock, callers: callersUnderTest, asked, balancer};
}

for (const [told, answers] of [
  ['accepted', ['refused', 'unknown', 'ok']],
  ['refused', ['refused', 'refused', 'refused', 'refused']],
  ['unknown', ['refused', 'unknown', 'refused', 'refused']],
] as const) {
  test(`a submission with the answers ${answers.join(', ')} counts as ${told}`, async () => {
    const {
      clock,
      callers: callersUnderTest,
      asked,
      balancer,
    } = createFixture(answers);
    await clock.runUntil(10);
    const submitted = callersUnderTest.submit(JOB);
    await clock.runUntil(LONG_MS);
    assert.equal(await submitted, told);
    assert.equal(asked.length, answers.length);
    assert.deepEqual([...new Set(asked)].sort(), ['a', 'b']);
    balancer.stop();
  });
}
