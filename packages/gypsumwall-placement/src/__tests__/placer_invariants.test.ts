/**
 * Whatever order calls come in, no worker may be told more than it has. The
 * test keeps books of its own from what was placed and released.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as fc from 'fast-check';
import * as specs from '../__fixtures__/specs.js';
import * as createBaselinePlacer from '../create_baseline_placer.js';
import * as createPlacer from '../create_placer.js';
import type * as placer from '../placer.js';

const WORKERS = 6;
const CAPACITY = specs.room(8, 8192, 2);
const QUOTA = specs.room(30, 30_000, 6);

type Step =
  | {type: 'enqueue'; spec: types.job.JobSpec}
  | {type: 'decide'; limit: number; passMs: number}
  | {type: 'release'; pick: number; how: placer.AttemptReport['type']}
  | {type: 'usage'; pick: number; factor: number}
  | {type: 'close' | 'open'; worker: number}
  | {type: 'cancel'; pick: number}
  | {type: 'adopt'; worker: number; cores: number};

const arbitrarySpec = fc.record({
  team: fc.constantFrom('plans', 'letters'),
  kind: fc.constantFrom('batch', 'gang', 'service'),
  tasks: fc.integer({min: 1, max: 12}),
  cores: fc.integer({min: 1, max: 8}),
  memoryMb: fc.integer({min: 1, max: 9000}),
  accelerators: fc.constantFrom(0, 0, 0, 1),
  urgency: fc.constantFrom('urgent', 'normal', 'overnight'),
  deadline: fc.option(fc.integer({min: 1, max: 100_000}), {nil: undefined}),
});

const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
  arbitrarySpec.map((made) => ({type: 'enqueue' as const, spec: toSpec(made)})),
  fc.record({
    type: fc.constant('decide' as const),
    limit: fc.integer({min: 1, max: 20}),
    passMs: fc.integer({min: 0, max: 5000}),
  }),
  fc.record({
    type: fc.constant('release' as const),
    pick: fc.nat(50),
    how: fc.constantFrom('done', 'failed', 'not_started', 'stopped'),
  }),
  fc.record({
    type: fc.constant('usage' as const),
    pick: fc.nat(50),
    factor: fc.constantFrom(0.25, 1, 4),
  }),
  fc.record({
    type: fc.constantFrom('close' as const, 'open' as const),
    worker: fc.nat(WORKERS - 1),
  }),
  fc.record({type: fc.constant('cancel' as const), pick: fc.nat(20)}),
  fc.record({
    type: fc.constant('adopt' as const),
    worker: fc.nat(WORKERS - 1),
    cores: fc.integer({min: 1, max: 4}),
  }),
);

function toSpec(made: {
  team: string;
  kind: string;
  tasks: number;
  cores: number;
  memoryMb: number;
  accelerators: number;
  urgency: string;
  deadline: number | undefined;
}): types.job.JobSpec {
  const shape =
    made.kind === 'service'
      ? {kind: 'service' as const, replicas: made.tasks}
      : {kind: made.kind as 'batch' | 'gang', tasks: made.tasks};
  return specs.spec({
    team: types.ids.brand<types.ids.TeamId>(made.team),
    shape,
    jobClass: made.kind,
    urgency: made.urgency as types.job.Urgency,
    size: specs.room(made.cores, made.memoryMb, made.accelerators),
    deadline: made.deadline === undefined ? undefined : specs.at(made.deadline),
  });
}

function reportOf(how: placer.AttemptReport['type']): placer.AttemptReport {
  switch (how) {
    case 'done':
      return {type: 'done', ranMs: 500};
    case 'failed':
      return {type: 'failed', message: 'exit 1'};
    case 'not_started':
    case 'stopped':
      return {type: how};
  }
}

/** Runs the steps and checks every placement against books kept apart. */
function check(
  make: () => placer.Placer,
  held: (used: number, quota: number) => void,
  steps: readonly Step[],
): void {
  const policy = make();
  const running = new Map<types.ids.TaskId, placer.RunningTask>();
  const waiting = new Map<types.ids.JobId, types.job.JobSpec>();
  const closed = new Set<types.ids.WorkerId>();
  let now = 0;
  let made = 0;
  for (let n = 0; n < WORKERS; n += 1) {
    policy.setWorker(specs.worker(n, CAPACITY));
  }
  for (const name of ['plans', 'letters']) {
    policy.setTeam(specs.team(name, {quota: QUOTA}));
  }
  for (const step of steps) {
    const tasks = [...running.values()];
    switch (step.type) {
      case 'enqueue': {
        const job = specs.queued(`a.${made++}`, step.spec, now);
        waiting.set(job.jobId, step.spec);
        policy.enqueue(job);
        break;
      }
      case 'decide': {
        now += step.passMs;
        const {placements} = policy.decide(specs.at(now), step.limit);
        takePlacements(placements, waiting, running, closed);
        break;
      }
      case 'release': {
        const task = tasks[step.pick % Math.max(1, tasks.length)];
        if (task === undefined) break;
        running.delete(task.taskId);
        policy.release(task.taskId, reportOf(step.how));
        if (step.how !== 'done') queueAgain(policy, task, waiting);
        break;
      }
      case 'usage': {
        const task = tasks[step.pick % Math.max(1, tasks.length)];
        if (task === undefined) break;
        policy.reportUsage(task.taskId, {
          cpuMillis: task.spec.size.cpuMillis * step.factor,
          memoryMb: task.spec.size.memoryMb * step.factor,
          accelerators: task.spec.size.accelerators,
        });
        break;
      }
      case 'close':
        closed.add(specs.worker(step.worker).id);
        policy.cordonWorker(specs.worker(step.worker).id);
        break;
      case 'open':
        closed.delete(specs.worker(step.worker).id);
        policy.setWorker(specs.worker(step.worker, CAPACITY));
        break;
      case 'cancel':
        policy.cancel(types.ids.brand(`a.${step.pick}`));
        break;
      case 'adopt':
        adopt(policy, step, running, made++);
        break;
    }
    checkWorkers(running, held);
  }
}

function adopt(
  policy: placer.Placer,
  step: {worker: number; cores: number},
  running: Map<types.ids.TaskId, placer.RunningTask>,
  n: number,
): void {
  const workerId = specs.worker(step.worker).id;
  const size = specs.room(step.cores);
  const there = [...running.values()].filter((t) => t.workerId === workerId);
  const sum = there.reduce((all, t) => types.resources.add(all, t.size), size);
  // What is found running fits: the worker took it once.
  if (!types.resources.fits(sum, CAPACITY)) return;
  const taskId = types.ids.makeTaskId(types.ids.brand(`adopted.${n}`), 0);
  const task = {taskId, spec: specs.spec({size}), workerId, size};
  running.set(taskId, task);
  policy.adopt(task);
}

/** A task that didn't finish waits again, as its holder would have it. */
function queueAgain(
  policy: placer.Placer,
  task: placer.RunningTask,
  waiting: ReadonlyMap<types.ids.JobId, types.job.JobSpec>,
): void {
  const {jobId, index} = types.ids.splitTaskId(task.taskId);
  // A gang starts again as a whole, which this test leaves out.
  if (!waiting.has(jobId) || task.spec.shape.kind === 'gang') return;
  const acceptedAt = specs.at(0);
  policy.enqueue({jobId, spec: task.spec, acceptedAt, waiting: [index]});
}

function takePlacements(
  placements: readonly placer.Placement[],
  waiting: ReadonlyMap<types.ids.JobId, types.job.JobSpec>,
  running: Map<types.ids.TaskId, placer.RunningTask>,
  closed: ReadonlySet<types.ids.WorkerId>,
): void {
  const gangs = new Map<types.ids.JobId, number>();
  for (const each of placements) {
    const {jobId} = types.ids.splitTaskId(each.taskId);
    const spec = waiting.get(jobId);
    assert.ok(spec, `${each.taskId} was placed without waiting`);
    assert.ok(!running.has(each.taskId), `${each.taskId} runs twice`);
    assert.ok(!closed.has(each.workerId), `${each.workerId} is closed`);
    assert.ok(each.size.memoryMb >= spec.size.memoryMb);
    running.set(each.taskId, {...each, spec});
    if (spec.shape.kind !== 'gang') continue;
    gangs.set(jobId, (gangs.get(jobId) ?? 0) + 1);
  }
  for (const [jobId, count] of gangs) {
    const shape = waiting.get(jobId)?.shape;
    assert.equal(
      count,
      shape === undefined ? 0 : types.job.maxTaskCount(shape),
    );
  }
}

function checkWorkers(
  running: ReadonlyMap<types.ids.TaskId, placer.RunningTask>,
  held: (used: number, quota: number) => void,
): void {
  const sums = new Map<string, types.resources.Resources>();
  for (const task of running.values()) {
    for (const key of [task.workerId, task.spec.team]) {
      const sum = sums.get(key) ?? types.resources.NO_RESOURCES;
      sums.set(key, types.resources.add(sum, task.size));
    }
  }
  for (let n = 0; n < WORKERS; n += 1) {
    const {id} = specs.worker(n);
    const sum = sums.get(id) ?? types.resources.NO_RESOURCES;
    const fits = types.resources.fits(sum, CAPACITY);
    assert.ok(fits, `${id} was told ${JSON.stringify(sum)}`);
  }
  const letters = sums.get('letters') ?? types.resources.NO_RESOURCES;
  held(letters.cpuMillis, QUOTA.cpuMillis);
}

/** Adopted tasks belong to the other team, so this one's quota must hold. */
function holdsQuota(used: number, quota: number): void {
  assert.ok(used <= quota, `${used} passes the quota ${quota}`);
}

nodeTest.describe('every placer', () => {
  const policies = {
    createPlacer: () => createPlacer.createPlacer(),
    createBaselinePlacer: () => createBaselinePlacer.createBaselinePlacer(),
  };
  for (const [name, make] of Object.entries(policies)) {
    nodeTest.it(`${name} never tells a worker more than it has`, () => {
      fc.assert(
        fc.property(
          fc.array(arbitraryStep, {minLength: 10, maxLength: 120}),
          (steps) => check(make, holdsQuota, steps),
        ),
        {seed: 20_2612, numRuns: 300},
      );
    });
  }
});
