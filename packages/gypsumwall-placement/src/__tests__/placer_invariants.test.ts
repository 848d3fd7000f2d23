/**
 * In any order of calls, the tasks placed on a worker must not exceed its
 * capacity. The test sums the placements and releases independently.
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
const CAPACITY = specs.resources(8, 8192, 2);
const QUOTA = specs.resources(30, 30_000, 6);

type Step =
  | {type: 'enqueue'; spec: types.job.JobSpec}
  | {type: 'decide'; limit: number; advanceMs: number}
  | {type: 'release'; pick: number; report: placer.AttemptReport['type']}
  | {type: 'usage'; pick: number; factor: number}
  | {type: 'cordon' | 'uncordon'; worker: number}
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
    advanceMs: fc.integer({min: 0, max: 5000}),
  }),
  fc.record({
    type: fc.constant('release' as const),
    pick: fc.nat(50),
    report: fc.constantFrom('done', 'failed', 'not_started', 'stopped'),
  }),
  fc.record({
    type: fc.constant('usage' as const),
    pick: fc.nat(50),
    factor: fc.constantFrom(0.25, 1, 4),
  }),
  fc.record({
    type: fc.constantFrom('cordon' as const, 'uncordon' as const),
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
    size: specs.resources(made.cores, made.memoryMb, made.accelerators),
    deadline:
      made.deadline === undefined ? undefined : specs.wallMs(made.deadline),
  });
}

function reportOf(
  reportType: placer.AttemptReport['type'],
): placer.AttemptReport {
  switch (reportType) {
    case 'done':
      return {type: 'done', ranMs: 500};
    case 'failed':
      return {type: 'failed', message: 'exit 1'};
    case 'not_started':
    case 'stopped':
      return {type: reportType};
  }
}

/** Runs the steps and checks every placement against independent sums. */
function checkInvariants(
  make: () => placer.Placer,
  checkQuota: (used: number, quota: number) => void,
  steps: readonly Step[],
): void {
  const policy = make();
  const running = new Map<types.ids.TaskId, placer.RunningTask>();
  const waiting = new Map<types.ids.JobId, types.job.JobSpec>();
  const cordoned = new Set<types.ids.WorkerId>();
  let now = 0;
  let createdJobs = 0;
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
        const job = specs.queued(`a.${createdJobs++}`, step.spec, now);
        waiting.set(job.jobId, step.spec);
        policy.enqueue(job);
        break;
      }
      case 'decide': {
        now += step.advanceMs;
        const {placements} = policy.decide(specs.wallMs(now), step.limit);
        recordPlacements(placements, waiting, running, cordoned);
        break;
      }
      case 'release': {
        const task = tasks[step.pick % Math.max(1, tasks.length)];
        if (task === undefined) break;
        running.delete(task.taskId);
        policy.release(task.taskId, reportOf(step.report));
        if (step.report !== 'done') requeue(policy, task, waiting);
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
      case 'cordon':
        cordoned.add(specs.worker(step.worker).id);
        policy.cordonWorker(specs.worker(step.worker).id);
        break;
      case 'uncordon':
        cordoned.delete(specs.worker(step.worker).id);
        policy.setWorker(specs.worker(step.worker, CAPACITY));
        break;
      case 'cancel':
        policy.cancel(types.ids.brand(`a.${step.pick}`));
        break;
      case 'adopt':
        adopt(policy, step, running, createdJobs++);
        break;
    }
    checkAllocations(running, checkQuota);
  }
}

function adopt(
  policy: placer.Placer,
  step: {worker: number; cores: number},
  running: Map<types.ids.TaskId, placer.RunningTask>,
  n: number,
): void {
  const workerId = specs.worker(step.worker).id;
  const size = specs.resources(step.cores);
  const tasksOnWorker = [...running.values()].filter(
    (t) => t.workerId === workerId,
  );
  const totalSize = tasksOnWorker.reduce(
    (all, t) => types.resources.add(all, t.size),
    size,
  );
  // A task that is found running fits, since the worker accepted it before.
  if (!types.resources.fits(totalSize, CAPACITY)) return;
  const taskId = types.ids.makeTaskId(types.ids.brand(`adopted.${n}`), 0);
  const task = {taskId, spec: specs.spec({size}), workerId, size};
  running.set(taskId, task);
  policy.adopt(task);
}

/** Queues an unfinished task again, as the holder of the domain does. */
function requeue(
  policy: placer.Placer,
  task: placer.RunningTask,
  waiting: ReadonlyMap<types.ids.JobId, types.job.JobSpec>,
): void {
  const {jobId, index} = types.ids.splitTaskId(task.taskId);
  // A gang restarts as a whole, which this test doesn't cover.
  if (!waiting.has(jobId) || task.spec.shape.kind === 'gang') return;
  const acceptedAt = specs.wallMs(0);
  policy.enqueue({jobId, spec: task.spec, acceptedAt, waiting: [index]});
}

function recordPlacements(
  placements: readonly placer.Placement[],
  waiting: ReadonlyMap<types.ids.JobId, types.job.JobSpec>,
  running: Map<types.ids.TaskId, placer.RunningTask>,
  cordoned: ReadonlySet<types.ids.WorkerId>,
): void {
  const gangs = new Map<types.ids.JobId, number>();
  for (const each of placements) {
    const {jobId} = types.ids.splitTaskId(each.taskId);
    const spec = waiting.get(jobId);
    assert.ok(spec, `${each.taskId} was placed without waiting`);
    assert.ok(!running.has(each.taskId), `${each.taskId} runs twice`);
    assert.ok(!cordoned.has(each.workerId), `${each.workerId} is cordoned`);
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

function checkAllocations(
  running: ReadonlyMap<types.ids.TaskId, placer.RunningTask>,
  checkQuota: (used: number, quota: number) => void,
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
    assert.ok(fits, `${id} was sent tasks of ${JSON.stringify(sum)}`);
  }
  const letters = sums.get('letters') ?? types.resources.NO_RESOURCES;
  checkQuota(letters.cpuMillis, QUOTA.cpuMillis);
}

/** Adopted tasks may exceed a quota, but they belong to the other team. */
function assertWithinQuota(used: number, quota: number): void {
  assert.ok(used <= quota, `${used} exceeds the quota ${quota}`);
}

nodeTest.describe('every placer', () => {
  const policies = {
    createPlacer: () => createPlacer.createPlacer(),
    createBaselinePlacer: () => createBaselinePlacer.createBaselinePlacer(),
  };
  for (const [name, make] of Object.entries(policies)) {
    nodeTest.it(`${name} never exceeds the capacity of a worker`, () => {
      fc.assert(
        fc.property(
          fc.array(arbitraryStep, {minLength: 10, maxLength: 120}),
          (steps) => checkInvariants(make, assertWithinQuota, steps),
        ),
        {seed: 20_2612, numRuns: 300},
      );
    });
  }
});
