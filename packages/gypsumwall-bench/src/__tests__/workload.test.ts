import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as types from '@gypsumwall/types';
import * as offlineSchedule from '../offline_schedule.js';
import * as profiles from '../profiles.js';
import * as workload from '../workload.js';

const OPTIONS: workload.WorkloadOptions = {
  profile: profiles.ADDIS,
  seed: 5,
  horizonMs: 120_000,
  load: 0.9,
  accuracy: 'off',
};

nodeTest.describe('makeWorkload', () => {
  nodeTest.it('makes the same work for the same seed', () => {
    const first = workload.makeWorkload(OPTIONS);
    assert.deepEqual(workload.makeWorkload(OPTIONS), first);
    assert.notDeepEqual(workload.makeWorkload({...OPTIONS, seed: 6}), first);
  });

  nodeTest.it('declares sizes that are off by at most a factor of 4', () => {
    for (const {tasks, spec} of workload.makeWorkload(OPTIONS)) {
      const factor = spec.size.cpuMillis / tasks[0]!.cpuMillis;
      assert.ok(factor > 0.24 && factor < 4.1, `${factor}`);
    }
  });
});

nodeTest.describe('missedOffline', () => {
  /** A job with one task that uses one core for a second. */
  const arrival = (name: string, deadline: number) => {
    const made = workload.makeWorkload(OPTIONS)[0]!;
    return {
      ...made,
      at: 0,
      jobId: name as types.ids.JobId,
      tasks: [{cpuMillis: 1000, memoryMb: 1, runMs: 1000}],
      spec: {...made.spec, deadline: deadline as types.clock.WallMs},
    };
  };

  nodeTest.it('misses only deadlines that no schedule can meet', () => {
    const jobs = [arrival('a', 2000), arrival('b', 1000), arrival('c', 2500)];
    const missed = offlineSchedule.findMissedDeadlines(jobs, 1000, 10_000);
    assert.deepEqual([...missed], ['c']);
    assert.equal(
      offlineSchedule.findMissedDeadlines(jobs, 2000, 10_000).size,
      0,
    );
  });
});
