import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as ids from '../ids.js';

nodeTest.test(
  'the home domain of a job id is found, even if its name has a dot',
  () => {
    const home = ids.brand<ids.FailureDomain>('ayt.c-2');
    assert.equal(ids.homeDomainOfJob(ids.makeJobId(home, 'k3')), home);
  },
);

nodeTest.test('a task id is split into its job and index', () => {
  const home = ids.brand<ids.FailureDomain>('bkk-a');
  const jobId = ids.makeJobId(home, 'k3');
  assert.deepEqual(ids.splitTaskId(ids.makeTaskId(jobId, 12)), {
    jobId,
    index: 12,
  });
});
