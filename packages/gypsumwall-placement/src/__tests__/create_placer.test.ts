import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as specs from '../__fixtures__/specs.js';
import * as createPlacer from '../create_placer.js';
import type * as placer from '../placer.js';

function createPlacerWithWorkers(
  workers: number,
  capacity = specs.resources(8, 32_768),
): placer.Placer {
  const made = createPlacer.createPlacer();
  for (let n = 0; n < workers; n += 1) {
    made.setWorker(specs.worker(n, capacity));
  }
  return made;
}

function decide(policy: placer.Placer, now: number): placer.Placement[] {
  return [...policy.decide(specs.wallMs(now), 1000).placements];
}

function jobsOf(placements: readonly placer.Placement[]): string[] {
  return placements.map((each) => types.ids.splitTaskId(each.taskId).jobId);
}

nodeTest.describe('order of starts', () => {
  nodeTest.it(
    'starts a job with a distant deadline before its latest start',
    () => {
      // A job is queued at 0 s with a deadline at 60 s and a run time of at
      // most 10 s. Later jobs with nearer deadlines keep the only worker busy.
      // If jobs were ordered by deadline alone, the first one would start too
      // late.
      const policy = createPlacerWithWorkers(1, specs.resources(1));
      const early = specs.spec({
        estimateMs: 2500,
        deadline: specs.wallMs(60_000),
      });
      policy.enqueue(specs.queued('a.early', early));
      let startedAt: number | undefined;
      for (let now = 0; now < 60_000 && startedAt === undefined; now += 2500) {
        const late = specs.spec({
          estimateMs: 2500,
          deadline: specs.wallMs(now + 15_000),
        });
        policy.enqueue(specs.queued(`a.${now}`, late, now));
        for (const each of decide(policy, now)) {
          if (each.taskId === 'a.early/0') startedAt = now;
          policy.release(each.taskId, {type: 'done', ranMs: 2500});
        }
      }
      assert.ok(startedAt !== undefined && startedAt <= 50_000);
    },
  );

  nodeTest.it('starts urgent jobs first and shares workers by weight', () => {
    const policy = createPlacerWithWorkers(3, specs.resources(4));
    policy.setTeam(specs.team('big', {weight: 2}));
    policy.setTeam(specs.team('small', {weight: 1}));
    for (const name of ['big', 'small']) {
      const shape = {kind: 'batch' as const, tasks: 100};
      const team = types.ids.brand<types.ids.TeamId>(name);
      policy.enqueue(specs.queued(`a.${name}`, specs.spec({team, shape})));
    }
    policy.enqueue(specs.queued('a.now', specs.spec({urgency: 'urgent'}), 5));
    const jobs = jobsOf(decide(policy, 10));
    assert.equal(jobs[0], 'a.now');
    assert.equal(jobs.filter((each) => each === 'a.big').length, 7);
    assert.equal(jobs.filter((each) => each === 'a.small').length, 4);
  });

  nodeTest.it('respects quotas and places another task when one ends', () => {
    const policy = createPlacerWithWorkers(1);
    policy.setTeam(specs.team('plans', {quota: specs.resources(2, 65_536)}));
    const three = specs.spec({shape: {kind: 'batch', tasks: 3}});
    policy.enqueue(specs.queued('a.1', three));
    const placed = decide(policy, 0);
    assert.equal(placed.length, 2);
    assert.match(policy.explainWait(specs.queued('a.1').jobId), /quota/);
    policy.release(placed[0]!.taskId, {type: 'done', ranMs: 1});
    assert.equal(decide(policy, 1).length, 1);
  });
});

nodeTest.describe('sizes', () => {
  nodeTest.it(
    'allocates the learned CPU, and never less memory than declared',
    () => {
      const policy = createPlacerWithWorkers(1);
      policy.setTeam(specs.team('plans', {packing: 1}));
      const spec = specs.spec({size: specs.resources(4, 1024)});
      for (let run = 0; run < 20; run += 1) {
        policy.enqueue(specs.queued(`a.${run}`, spec));
        const [placed] = decide(policy, run);
        policy.reportUsage(placed!.taskId, specs.resources(1, 256));
        policy.release(placed!.taskId, {type: 'done', ranMs: 100});
      }
      const many = {...spec, shape: {kind: 'batch' as const, tasks: 20}};
      policy.enqueue(specs.queued('b.1', many));
      const placed = decide(policy, 100);
      assert.ok(placed.length >= 7, `${placed.length} of 8 cores filled`);
      assert.ok(placed.every((each) => each.size.memoryMb === 1024));
    },
  );

  nodeTest.it(
    'allocates the learned memory if it is above the declared one',
    () => {
      const policy = createPlacerWithWorkers(1, specs.resources(64, 8192));
      const spec = specs.spec({size: specs.resources(1, 1024)});
      for (let run = 0; run < 20; run += 1) {
        policy.enqueue(specs.queued(`a.${run}`, spec));
        const [placed] = decide(policy, run);
        policy.reportUsage(placed!.taskId, specs.resources(1, 4096));
        policy.release(placed!.taskId, {type: 'done', ranMs: 100});
      }
      const many = {...spec, shape: {kind: 'batch' as const, tasks: 20}};
      policy.enqueue(specs.queued('b.1', many));
      assert.ok(decide(policy, 100).length <= 2);
    },
  );
});

nodeTest.describe('gangs', () => {
  nodeTest.it('are not starved by small tasks', () => {
    // Small tasks use all resources as soon as they become free. Without a
    // reservation there is never enough for all tasks of the gang at once, and
    // it waits forever.
    const policy = createPlacerWithWorkers(4, specs.resources(4));
    const small = specs.spec({shape: {kind: 'batch', tasks: 100_000}});
    policy.enqueue(specs.queued('a.small', small));
    const running = decide(policy, 0);
    const gang = specs.spec({
      shape: {kind: 'gang', tasks: 4},
      size: specs.resources(3),
    });
    policy.enqueue(specs.queued('a.gang', gang, 1));
    let gangAt: number | undefined;
    for (let now = 100; now < 120_000 && gangAt === undefined; now += 100) {
      const done = running.shift();
      if (done !== undefined) {
        policy.release(done.taskId, {type: 'done', ranMs: 1600});
      }
      const placed = decide(policy, now);
      running.push(...placed);
      if (jobsOf(placed).includes('a.gang')) gangAt = now;
    }
    assert.ok(gangAt !== undefined, 'the gang starved');
  });

  nodeTest.it(
    'run one after the other if each needs most of the workers',
    () => {
      const policy = createPlacerWithWorkers(4, specs.resources(4));
      const gang = specs.spec({
        shape: {kind: 'gang', tasks: 3},
        size: specs.resources(4),
      });
      policy.enqueue(specs.queued('a.1', gang));
      policy.enqueue(specs.queued('a.2', gang));
      const first = decide(policy, 0);
      assert.deepEqual(jobsOf(first), ['a.1', 'a.1', 'a.1']);
      for (const each of first) {
        policy.release(each.taskId, {type: 'done', ranMs: 10});
      }
      assert.deepEqual(jobsOf(decide(policy, 5000)), ['a.2', 'a.2', 'a.2']);
    },
  );
});

nodeTest.describe('services', () => {
  nodeTest.it('are spread over racks', () => {
    const policy = createPlacerWithWorkers(32);
    const spec = specs.spec({shape: {kind: 'service', replicas: 4}});
    policy.enqueue(specs.queued('a.1', spec));
    const racks = decide(policy, 0).map((each) =>
      Math.floor(Number(each.workerId.split('-')[1]) / 8),
    );
    assert.equal(new Set(racks).size, 4);
  });
});

nodeTest.describe('faults', () => {
  nodeTest.it('puts a worker that fails every task into quarantine', () => {
    // The worker fails each task at once, so it is always free and would
    // attract every task. Failures of 3 jobs put it into quarantine; a probe
    // that succeeds ends the quarantine.
    const policy = createPlacerWithWorkers(5);
    const bad = specs.worker(2).id;
    let now = 0;
    let onBad = 0;
    const runCycle = (broken: boolean) => {
      policy.enqueue(specs.queued(`a.${now}`, specs.spec(), now));
      for (const each of decide(policy, now)) {
        if (each.workerId === bad) onBad += 1;
        const failed = broken && each.workerId === bad;
        policy.release(
          each.taskId,
          failed
            ? {type: 'failed', message: 'no disk'}
            : {type: 'done', ranMs: 1},
        );
      }
      now += 10;
    };
    for (let n = 0; n < 500; n += 1) runCycle(true);
    assert.ok(onBad <= 3, `${onBad} tasks went to the bad worker`);
    now += 60_000;
    for (let n = 0; n < 500; n += 1) runCycle(false);
    assert.ok(onBad > 20, `only ${onBad} tasks after it was repaired`);
  });

  nodeTest.it('abandons a job after failures on distinct workers', () => {
    const policy = createPlacerWithWorkers(5);
    const job = specs.queued('a.1');
    for (let run = 0; run < 10; run += 1) {
      policy.enqueue(job);
      for (const each of decide(policy, run)) {
        policy.release(each.taskId, {type: 'failed', message: 'exit 3'});
      }
    }
    const [abandoned] = policy.takeAbandonedJobs();
    assert.equal(abandoned?.jobId, 'a.1');
    assert.match(abandoned?.message ?? '', /3 times.*exit 3/);
    assert.equal(policy.takeAbandonedJobs().length, 0);
  });

  nodeTest.it(
    'does not abandon a job whose tasks fail on one faulty worker',
    () => {
      // 8 tasks of a job start at once on a worker that fails all of them. The
      // job then avoids that worker and runs on the other one.
      const policy = createPlacerWithWorkers(2, specs.resources(8));
      const bad = specs.worker(0).id;
      const many = specs.spec({shape: {kind: 'batch', tasks: 16}});
      const job = specs.queued('a.1', many);
      policy.enqueue(job);
      let done = 0;
      for (let now = 0; now < 10; now += 1) {
        for (const {taskId, workerId} of decide(policy, now)) {
          const {index} = types.ids.splitTaskId(taskId);
          if (workerId !== bad) {
            done += 1;
            policy.release(taskId, {type: 'done', ranMs: 1});
            continue;
          }
          policy.release(taskId, {type: 'failed', message: 'no disk'});
          policy.enqueue({...job, waiting: [index]});
        }
      }
      assert.deepEqual(policy.takeAbandonedJobs(), []);
      assert.equal(done, 16);
    },
  );

  nodeTest.it(
    'abandons a job whose task always fails on the only worker',
    () => {
      const policy = createPlacerWithWorkers(1);
      const job = specs.queued('a.1');
      let attempts = 0;
      for (let now = 0; now < 20; now += 1) {
        policy.enqueue(job);
        for (const each of decide(policy, now)) {
          attempts += 1;
          policy.release(each.taskId, {type: 'failed', message: 'exit 3'});
        }
        if (policy.takeAbandonedJobs().length > 0) break;
      }
      assert.equal(attempts, 6);
    },
  );

  nodeTest.it(
    'removes 10,000 cancelled jobs and places the remaining one',
    () => {
      const policy = createPlacerWithWorkers(1, specs.resources(1));
      for (let n = 0; n < 10_001; n += 1)
        policy.enqueue(specs.queued(`a.${n}`));
      for (let n = 0; n < 10_000; n += 1)
        policy.cancel(specs.queued(`a.${n}`).jobId);
      assert.equal(policy.waitingTasks(), 1);
      assert.deepEqual(jobsOf(decide(policy, 1)), ['a.10000']);
    },
  );

  nodeTest.it('does not start a task that is already running', () => {
    const policy = createPlacerWithWorkers(2);
    const job = specs.queued('a.1');
    const taskId = types.ids.makeTaskId(job.jobId, 0);
    const task = {taskId, spec: job.spec, size: job.spec.size};
    policy.adopt({...task, workerId: specs.worker(0).id});
    policy.enqueue(job);
    assert.equal(decide(policy, 0).length, 0);
    assert.equal(policy.waitingTasks(), 0);
  });
});

nodeTest.describe('preemption', () => {
  nodeTest.it(
    'checkpoints an overnight task for an urgent job that waits',
    () => {
      const policy = createPlacerWithWorkers(2, specs.resources(4));
      const night = specs.spec({
        urgency: 'overnight',
        shape: {kind: 'batch', tasks: 8},
      });
      policy.enqueue(specs.queued('a.night', night));
      assert.equal(decide(policy, 0).length, 8);
      policy.enqueue(
        specs.queued('a.now', specs.spec({urgency: 'urgent'}), 10),
      );
      decide(policy, 10);
      const {preemptions} = policy.decide(specs.wallMs(300), 10);
      assert.equal(preemptions.length, 1);
      assert.equal(preemptions[0]?.type, 'checkpoint');
      policy.release(preemptions[0].taskId, {type: 'stopped'});
      assert.deepEqual(jobsOf(decide(policy, 310)), ['a.now']);
    },
  );

  nodeTest.it(
    'throttles the least urgent task if CPU usage exceeds the capacity',
    () => {
      const policy = createPlacerWithWorkers(1, specs.resources(4));
      const night = specs.spec({urgency: 'overnight'});
      policy.enqueue(specs.queued('a.night', night));
      policy.enqueue(specs.queued('a.day', specs.spec()));
      const placed = decide(policy, 0);
      for (const each of placed)
        policy.reportUsage(each.taskId, specs.resources(3, 1024));
      const {preemptions} = policy.decide(specs.wallMs(1), 10);
      assert.deepEqual(preemptions, [
        {type: 'throttle', taskId: 'a.night/0', cpuMillis: 1000},
      ]);
      policy.release(types.ids.brand('a.day/0'), {type: 'done', ranMs: 1});
      const lifted = policy.decide(specs.wallMs(2), 10).preemptions;
      assert.deepEqual(lifted, [
        {type: 'throttle', taskId: 'a.night/0', cpuMillis: 0},
      ]);
    },
  );
});
