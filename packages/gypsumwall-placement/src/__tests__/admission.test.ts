import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as types from '@gypsumwall/types';
import * as specs from '../__fixtures__/specs.js';
import * as createPlacer from '../create_placer.js';

function refusalOf(
  fields: Partial<types.job.JobSpec>,
  waitingJobs = 0,
): string | undefined {
  const policy = createPlacer.createPlacer({maxWaitingJobs: 10});
  policy.setTeam(specs.team('plans', {quota: specs.resources(100, 1e6)}));
  policy.setWorker(specs.worker(0));
  policy.setWorker(specs.worker(1));
  for (let n = 0; n < waitingJobs; n += 1) {
    policy.enqueue(specs.queued(`a.${n}`));
  }
  return policy.admit(specs.spec(fields), specs.wallMs(1000))?.reason;
}

nodeTest.describe('admit', () => {
  const gang = (tasks: number) => ({kind: 'gang' as const, tasks});
  const cases: Array<[string, Partial<types.job.JobSpec>, string | undefined]> =
    [
      ['admits a job that fits', {}, undefined],
      [
        'refuses a task larger than any worker',
        {size: specs.resources(9)},
        'can_never_run',
      ],
      ['admits a gang that fills the domain', {shape: gang(16)}, undefined],
      ['refuses a larger gang', {shape: gang(17)}, 'can_never_run'],
      ['refuses beyond the quota', {shape: gang(101)}, 'over_quota'],
      [
        'refuses a deadline that has passed',
        {deadline: specs.wallMs(1000)},
        'deadline_passed',
      ],
      [
        'refuses a deadline before a task can end',
        {deadline: specs.wallMs(1500)},
        'deadline_unreachable',
      ],
      ['admits a deadline after it', {deadline: specs.wallMs(2500)}, undefined],
      [
        'refuses more work than fits before the deadline',
        {deadline: specs.wallMs(11_000), shape: {kind: 'batch', tasks: 1000}},
        'deadline_unreachable',
      ],
    ];
  for (const [name, fields, reason] of cases) {
    nodeTest.it(name, () => assert.equal(refusalOf(fields), reason));
  }

  nodeTest.it(
    'refuses the least urgent jobs first and says when to retry',
    () => {
      assert.equal(refusalOf({urgency: 'overnight'}, 4), undefined);
      assert.equal(refusalOf({urgency: 'overnight'}, 6), 'overloaded');
      const policy = createPlacer.createPlacer({maxWaitingJobs: 1});
      policy.enqueue(specs.queued('a.1'));
      const refusal = policy.admit(specs.spec(), specs.wallMs(0));
      assert.ok((refusal?.retryAfterMs ?? 0) >= 1000);
    },
  );

  nodeTest.it(
    'refuses jobs of a team that has filled half of the queue',
    () => {
      assert.equal(refusalOf({urgency: 'urgent'}, 5), 'over_quota');
    },
  );
});
