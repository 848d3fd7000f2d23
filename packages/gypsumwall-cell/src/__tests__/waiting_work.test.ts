import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as jobTable from '../job_table.js';
import * as waitingWork from '../waiting_work.js';

const {test} = nodeTest;

const PRIORITIES = [0, 1, 2];
const RUNS = 7;

interface World {
  readonly random: types.random.Random;
  readonly jobs: jobTable.JobEntry[];
}

function makeProgress(
  random: types.random.Random,
): scheduling.jobProgress.JobProgress {
  const done = random.next() < 0.3 ? ('all' as const) : [0];
  const steps = [{done, failures: {}}];
  return {
    phase: random.next() < 0.4 ? 'queued' : 'running',
    workers: [],
    occurrences: random.next() < 0.5 ? {} : {0: steps},
    finished: [],
  };
}

function makeJob({random, jobs}: World): jobTable.JobEntry {
  const [step] = worlds.request(random.integer(1, 9)).steps;
  const later = {...step!, taskCount: random.integer(1, 5), after: [0]};
  const longRunning = random.next() < 0.1;
  const steps = [{...step!, longRunning}, later];
  const acceptedAt = random.integer(0, 2_000) as types.clock.WallMs;
  const policy = {...worlds.POLICY, priority: random.integer(0, 2)};
  return {
    id: types.ids.brand(`job${jobs.length}`),
    queue: policy.queue,
    organisation: undefined,
    record: {request: {...worlds.request(1), steps}, policy, acceptedAt},
    progress: makeProgress(random),
  };
}

/** Sums of fractions depend on the order of the jobs. */
const round = (tasks: number) => Math.round(tasks * 1e6) / 1e6;

function read(work: waitingWork.WaitingWork) {
  return {
    jobs: work.jobs(),
    queuedJobs: work.queuedJobs(),
    queuedTasks: work.queuedTasks(),
    unstarted: work.unstartedTasks(RUNS),
    waiting: PRIORITIES.map((one) => round(work.waitingTasks(one, RUNS))),
    ahead: PRIORITIES.map((one) => {
      const {onTime, late} = work.ahead(one, RUNS);
      return {onTime: round(onTime), late: round(late)};
    }),
  };
}

// Guards against admission by counts that drift from the jobs: each change is
// counted later, once for all changes of a job, or never if nobody asks.
test('counts kept by change equal those of all jobs counted anew', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const random = types.random.createRandom(seed);
    let now = 0;
    const clock = {
      ...types.clock.createSystemClock(),
      monotonic: () => now as types.clock.MonotonicMs,
      wall: () => now as types.clock.WallMs,
    };
    const work = waitingWork.createWaitingWork(clock);
    const world: World = {random, jobs: []};
    const ended = new Set<jobTable.JobEntry>();
    for (let change = 0; change < 200; change++) {
      const known = world.jobs[random.integer(0, world.jobs.length)];
      const job = known ?? makeJob(world);
      if (known === undefined) world.jobs.push(job);
      job.progress = makeProgress(random);
      if (random.next() < 0.1) job.record = undefined;
      if (random.next() < 0.1) ended.add(job);
      work.onUpdated(job, !ended.has(job));
      if (random.next() < 0.8) continue;
      // Ranks are valid for less than this.
      now += 150;
      const anew = waitingWork.createWaitingWork(clock);
      for (const one of world.jobs) anew.onUpdated(one, !ended.has(one));
      assert.deepEqual(read(work), read(anew), `seed ${seed}, ${change}`);
    }
  }
});
