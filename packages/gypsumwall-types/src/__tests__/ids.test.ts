import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as ids from '../ids.js';

nodeTest.test('a job id names its home, whatever the domain is called', () => {
  const home = ids.brand<ids.FailureDomain>('ayt.c-2');
  assert.equal(ids.homeDomainOfJob(ids.makeJobId(home, 'k3')), home);
});

nodeTest.test('a task id splits into the job and index it was made of', () => {
  const home = ids.brand<ids.FailureDomain>('bkk-a');
  const jobId = ids.makeJobId(home, 'k3');
  assert.deepEqual(ids.splitTaskId(ids.makeTaskId(jobId, 12)), {
    jobId,
    index: 12,
  });
});
