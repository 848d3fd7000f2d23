import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as specs from '../__fixtures__/specs.js';
import * as createPlacer from '../create_placer.js';
import type * as placer from '../placer.js';

function placerWith(
  workers: number,
  capacity = specs.room(8, 32_768),
): placer.Placer {
  const made = createPlacer.createPlacer();
  for (let n = 0; n < workers; n += 1) {
    made.setWorker(specs.worker(n, capacity));
  }
  return made;
}

function decide(policy: placer.Placer, now: number): placer.Placement[] {
  return [...policy.decide(specs.at(now), 1000).placements];
}

function jobsOf(placements: readonly placer.Placement[]): string[] {
  return placements.map((each) => types.ids.splitTaskId(each.taskId).jobId);
}

nodeTest.describe('order of starts', () => {
  nodeTest.it('starts an early filer before its latest start passes', () => {
    // A pilot files at 0 for a departure at 60 s, with a run of 10 s at most.
    // Later filers with nearer deadlines keep the one worker busy. Ordered by
    // deadline alone the early one would be passed until it is too late.
    const policy = placerWith(1, specs.room(1));
    const early = specs.spec({estimateMs: 2500, deadline: specs.at(60_000)});
    policy.enqueue(specs.queued('a.early', early));
    let startedAt: number | undefined;
    for (let now = 0; now < 60_000 && startedAt === undefined; now += 2500) {
      const late = specs.spec({
        estimateMs: 2500,
        deadline: specs.at(now + 15_000),
      });
      policy.enqueue(specs.queued(`a.${now}`, late, now));
      for (const each of decide(policy, now)) {
        if (each.taskId === 'a.early/0') startedAt = now;
        policy.release(each.taskId, {type: 'done', ranMs: 2500});
      }
    }
    assert.ok(startedAt !== undefined && startedAt <= 50_000);
  });

  nodeTest.it('starts urgent work before the rest and shares by weight', () => {
    const policy = placerWith(3, specs.room(4));
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

  nodeTest.it('holds quotas and goes on when a task ends', () => {
    const policy = placerWith(1);
    policy.setTeam(specs.team('plans', {quota: specs.room(2, 65_536)}));
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
    'books learned processors, and memory never below declared',
    () => {
      const policy = placerWith(1);
      policy.setTeam(specs.team('plans', {packing: 1}));
      const spec = specs.spec({size: specs.room(4, 1024)});
      for (let run = 0; run < 20; run += 1) {
        policy.enqueue(specs.queued(`a.${run}`, spec));
        const [placed] = decide(policy, run);
        policy.reportUsage(placed!.taskId, specs.room(1, 256));
        policy.release(placed!.taskId, {type: 'done', ranMs: 100});
      }
      const many = {...spec, shape: {kind: 'batch' as const, tasks: 20}};
      policy.enqueue(specs.queued('b.1', many));
      const placed = decide(policy, 100);
      assert.ok(placed.length >= 7, `${placed.length} of 8 cores filled`);
      assert.ok(placed.every((each) => each.size.memoryMb === 1024));
    },
  );

  nodeTest.it('books memory that was seen to pass the declared', () => {
    const policy = placerWith(1, specs.room(64, 8192));
    const spec = specs.spec({size: specs.room(1, 1024)});
    for (let run = 0; run < 20; run += 1) {
      policy.enqueue(specs.queued(`a.${run}`, spec));
      const [placed] = decide(policy, run);
      policy.reportUsage(placed!.taskId, specs.room(1, 4096));
      policy.release(placed!.taskId, {type: 'done', ranMs: 100});
    }
    const many = {...spec, shape: {kind: 'batch' as const, tasks: 20}};
    policy.enqueue(specs.queued('b.1', many));
    assert.ok(decide(policy, 100).length <= 2);
  });
});

nodeTest.describe('gangs', () => {
  nodeTest.it('gets room kept for it when small tasks would pass it', () => {
    // Small tasks fill every gap as it opens. Without a reservation there is
    // never room for all tasks of the gang at once and it waits for good.
    const policy = placerWith(4, specs.room(4));
    const small = specs.spec({shape: {kind: 'batch', tasks: 100_000}});
    policy.enqueue(specs.queued('a.small', small));
    const running = decide(policy, 0);
    const gang = specs.spec({
      shape: {kind: 'gang', tasks: 4},
      size: specs.room(3),
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

  nodeTest.it('two gangs that each need most workers run in turn', () => {
    const policy = placerWith(4, specs.room(4));
    const gang = specs.spec({
      shape: {kind: 'gang', tasks: 3},
      size: specs.room(4),
    });
    policy.enqueue(specs.queued('a.1', gang));
    policy.enqueue(specs.queued('a.2', gang));
    const first = decide(policy, 0);
    assert.deepEqual(jobsOf(first), ['a.1', 'a.1', 'a.1']);
    for (const each of first) {
      policy.release(each.taskId, {type: 'done', ranMs: 10});
    }
    assert.deepEqual(jobsOf(decide(policy, 5000)), ['a.2', 'a.2', 'a.2']);
  });
});

nodeTest.describe('services', () => {
  nodeTest.it('are spread over racks', () => {
    const policy = placerWith(32);
    const spec = specs.spec({shape: {kind: 'service', replicas: 4}});
    policy.enqueue(specs.queued('a.1', spec));
    const racks = decide(policy, 0).map((each) =>
      Math.floor(Number(each.workerId.split('-')[1]) / 8),
    );
    assert.equal(new Set(racks).size, 4);
  });
});

nodeTest.describe('faults', () => {
  nodeTest.it('keeps work off a worker that fails everything', () => {
    // The worker fails each task at once, so it is always free and would draw
    // in every task. Failures of three jobs put it out; a probe that works
    // lets it back in.
    const policy = placerWith(5);
    const bad = specs.worker(2).id;
    let now = 0;
    let onBad = 0;
    const round = (broken: boolean) => {
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
    for (let n = 0; n < 500; n += 1) round(true);
    assert.ok(onBad <= 3, `${onBad} tasks went to the bad worker`);
    now += 60_000;
    for (let n = 0; n < 500; n += 1) round(false);
    assert.ok(onBad > 20, `only ${onBad} tasks after it was mended`);
  });

  nodeTest.it('gives a job up after failures on distinct workers', () => {
    const policy = placerWith(5);
    const job = specs.queued('a.1');
    for (let run = 0; run < 10; run += 1) {
      policy.enqueue(job);
      for (const each of decide(policy, run)) {
        policy.release(each.taskId, {type: 'failed', message: 'exit 3'});
      }
    }
    const [given] = policy.takeAbandonedJobs();
    assert.equal(given?.jobId, 'a.1');
    assert.match(given?.message ?? '', /3 times.*exit 3/);
    assert.equal(policy.takeAbandonedJobs().length, 0);
  });

  nodeTest.it('keeps a sound job whose tasks fail on one bad worker', () => {
    // Eight tasks of a job start at once on a worker that fails them all. The
    // job is kept off that worker and runs on the other one.
    const policy = placerWith(2, specs.room(8));
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
  });

  nodeTest.it('gives up a task that always fails on the only worker', () => {
    const policy = placerWith(1);
    const job = specs.queued('a.1');
    let runs = 0;
    for (let now = 0; now < 20; now += 1) {
      policy.enqueue(job);
      for (const each of decide(policy, now)) {
        runs += 1;
        policy.release(each.taskId, {type: 'failed', message: 'exit 3'});
      }
      if (policy.takeAbandonedJobs().length > 0) break;
    }
    assert.equal(runs, 6);
  });

  nodeTest.it(
    'drops a wave of 10,000 cancelled jobs and places the rest',
    () => {
      const policy = placerWith(1, specs.room(1));
      for (let n = 0; n < 10_001; n += 1)
        policy.enqueue(specs.queued(`a.${n}`));
      for (let n = 0; n < 10_000; n += 1)
        policy.cancel(specs.queued(`a.${n}`).jobId);
      assert.equal(policy.waitingTasks(), 1);
      assert.deepEqual(jobsOf(decide(policy, 1)), ['a.10000']);
    },
  );

  nodeTest.it('does not start what it was told already runs', () => {
    const policy = placerWith(2);
    const job = specs.queued('a.1');
    const taskId = types.ids.makeTaskId(job.jobId, 0);
    const task = {taskId, spec: job.spec, size: job.spec.size};
    policy.adopt({...task, workerId: specs.worker(0).id});
    policy.enqueue(job);
    assert.equal(decide(policy, 0).length, 0);
    assert.equal(policy.waitingTasks(), 0);
  });
});

nodeTest.describe('relief', () => {
  nodeTest.it('checkpoints overnight work for urgent work that waits', () => {
    const policy = placerWith(2, specs.room(4));
    const night = specs.spec({
      urgency: 'overnight',
      shape: {kind: 'batch', tasks: 8},
    });
    policy.enqueue(specs.queued('a.night', night));
    assert.equal(decide(policy, 0).length, 8);
    policy.enqueue(specs.queued('a.now', specs.spec({urgency: 'urgent'}), 10));
    decide(policy, 10);
    const {preemptions: reliefs} = policy.decide(specs.at(300), 10);
    assert.equal(reliefs.length, 1);
    assert.equal(reliefs[0]?.type, 'checkpoint');
    policy.release(reliefs[0].taskId, {type: 'stopped'});
    assert.deepEqual(jobsOf(decide(policy, 310)), ['a.now']);
  });

  nodeTest.it('throttles the least urgent when processors are passed', () => {
    const policy = placerWith(1, specs.room(4));
    const night = specs.spec({urgency: 'overnight'});
    policy.enqueue(specs.queued('a.night', night));
    policy.enqueue(specs.queued('a.day', specs.spec()));
    const placed = decide(policy, 0);
    for (const each of placed)
      policy.reportUsage(each.taskId, specs.room(3, 1024));
    const {preemptions: reliefs} = policy.decide(specs.at(1), 10);
    assert.deepEqual(reliefs, [
      {type: 'throttle', taskId: 'a.night/0', cpuMillis: 1000},
    ]);
    policy.release(types.ids.brand('a.day/0'), {type: 'done', ranMs: 1});
    const lifted = policy.decide(specs.at(2), 10).preemptions;
    assert.deepEqual(lifted, [
      {type: 'throttle', taskId: 'a.night/0', cpuMillis: 0},
    ]);
  });
});
