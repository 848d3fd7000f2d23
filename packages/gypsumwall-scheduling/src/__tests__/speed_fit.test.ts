import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import * as activeJob from '../active_job.js';
import * as chooseWorker from '../choose_worker.js';
import * as gangFit from '../gang_fit.js';
import type * as jobRequest from '../job_request.js';
import * as planAdviceCalls from '../plan_advice_calls.js';
import * as workerHealth from '../worker_health.js';

const {test} = nodeTest;
const WALL = 0 as types.clock.WallMs;
const TIGHT = {slackFactor: 1.5, targetMs: 250};
const LOOSE = {slackFactor: 4, targetMs: 3_000};
const SPEEDS: Readonly<Record<string, number>> = {slow: 0.7, fast: 1.7};

const speeds = {
  speedOf: (id: types.ids.WorkerId) => SPEEDS[id.split('-')[0]!] ?? 1,
};

/** A waiting step and workers whose speeds are known by their names. */
function createStep(
  names: readonly string[],
  policy: Partial<jobRequest.QueuePolicy>,
  fields: Partial<jobRequest.StepRequest> = {},
) {
  const world = worlds.createSchedulerWorld();
  for (const name of names) world.addWorker(name, 16, `r-${name}`);
  const id = world.submit('job', [worlds.step(fields)], {policy});
  const stepRun = world.scheduler.jobs.get(id)!.openOccurrences.get(0)!
    .steps[0]!;
  stepRun.rank = {claimant: activeJob.claimantOf(stepRun), lateness: 0};
  const registry = world.scheduler.workerRegistry;
  const health = workerHealth.createWorkerHealth(() => names.length);
  const context = {registry, health, now: world.now, speeds};
  const candidates = [...registry.workers.values()];
  return {world, stepRun, context, candidates};
}

function chosenOf(
  policy: Partial<jobRequest.QueuePolicy>,
  fields: Partial<jobRequest.StepRequest> = {},
  laterMs = 0,
): string | undefined {
  const names = ['slow', 'usual', 'fast'];
  const {stepRun, context, candidates} = createStep(names, policy, fields);
  const now = types.clock.after(context.now, laterMs);
  const choice = {...context, now};
  return chooseWorker.chooseWorker(stepRun, candidates, choice)?.info.id;
}

// Load: urgent work of 0.5 s beside work with several times the time it needs.
// Guards against urgent work that is late on slow workers while the others use
// the fast ones.
test('tight work goes to fast workers and loose work to slow ones', () => {
  assert.equal(chosenOf(TIGHT), 'fast');
  assert.equal(chosenOf(LOOSE), 'slow');
  assert.equal(chosenOf(LOOSE, {}, 5_800), 'fast', 'little time is left');
  assert.equal(chosenOf(LOOSE, {}, 60_000), 'slow', 'of no more use');
});

// Guards against data that is far away from a task for the sake of a fast worker.
test('the rack near the data goes before the speed', () => {
  assert.equal(chosenOf(TIGHT, {preferredRack: 'r-slow'}), 'slow');
});

// Load: an adviser that approves named workers only. Guards against urgent work
// that may not run on the fast workers, since it named the others.
test('a call to the adviser names the workers whose speed suits the step', () => {
  const names = Array.from({length: 60}, (_, nth) =>
    nth % 3 === 2 ? `fast-${nth}` : `slow-${nth}`,
  );
  const advice = {callMs: 9, perWorkerMs: 0, validMs: 2_000};
  for (const [policy, prefix] of [
    [TIGHT, 'fast'],
    [LOOSE, 'slow'],
  ] as const) {
    const {stepRun, context} = createStep(names, {...policy, advice});
    const {workersByCall} = planAdviceCalls.planAdviceCalls(stepRun, {
      ...context,
      canUse: () => true,
    });
    const first = workersByCall.flat().slice(0, 20);
    assert.equal(first.length, 20);
    assert.ok(first.every((id) => id.startsWith(prefix)));
  }
});

// Load: gangs on workers of two speeds. Guards against fast workers that wait
// for slow members.
test('the members of a gang run on workers of like speed', () => {
  const names = ['slow-1', 'fast-1', 'slow-2', 'fast-2', 'slow-3'];
  const {candidates} = createStep(names, {});
  const {speedOf} = speeds;
  const fit = (count: number, neededSpeed: number) =>
    gangFit
      .fitGang(
        candidates.map((worker) => ({worker, tasks: 2})),
        count,
        {sameRack: false, spread: false, neededSpeed, speedOf},
      )
      ?.map(({info}) => info.id.split('-')[0]);
  assert.deepEqual(fit(4, 1), ['fast', 'fast', 'fast', 'fast']);
  assert.deepEqual(new Set(fit(5, 1)), new Set(['slow']));
  assert.deepEqual(new Set(fit(6, 0.5)), new Set(['slow']));
  assert.equal(fit(10, 1)?.length, 10);
  assert.equal(fit(11, 1), undefined);
});

// Failure: a member of a gang crashes workers. Guards against a gang that
// gathers on the few workers of one speed, where a crash tells nothing of which
// task is at fault.
test('a gang that is spread after crashes uses workers of all speeds', () => {
  const names = ['slow-1', 'fast-1', 'slow-2', 'fast-2', 'slow-3'];
  const {candidates} = createStep(names, {});
  const {speedOf} = speeds;
  const layout = {sameRack: false, spread: true, neededSpeed: 1, speedOf};
  const gang = candidates.map((worker) => ({worker, tasks: 4}));
  const chosen = gangFit.fitGang(gang, 5, layout);
  assert.equal(new Set(chosen).size, 5);
});

// Load: a cell with a fast worker among slow ones. Guards against a scheduler
// that doesn't use what its workers report.
test('a scheduler learns from the ends of tasks where urgent work goes', () => {
  const world = worlds.createSchedulerWorld();
  const names = ['slow-1', 'slow-2', 'fast-1', 'slow-3'];
  for (const name of names) world.addWorker(name, 4);
  for (let round = 0; round < 12; round++) {
    world.submit(`job${round}`, [
      worlds.step({taskCount: 4, maxPerWorker: 1, expectedMs: 10_000}),
    ]);
    const attempts = world.startAll();
    const isFast = ({workerId}: activeJob.Attempt) =>
      workerId.startsWith('fast');
    world.now = types.clock.after(world.now, 500);
    for (const one of attempts.filter(isFast)) world.end(one, 'done');
    world.now = types.clock.after(world.now, 700);
    for (const one of attempts.filter((other) => !isFast(other)))
      world.end(one, 'done');
  }
  world.scheduler.decide(world.now, WALL);
  world.submit('urgent', [worlds.step()], {policy: TIGHT});
  const [urgent] = world.startAll();
  assert.equal(urgent?.workerId, 'fast-1');
  const maxOf = () => world.scheduler.speedSummary()[0]?.max ?? 0;
  assert.ok(maxOf() > 1.5);
  world.scheduler.removeWorker(urgent.workerId, 'crashed', world.now);
  world.addWorker('fast-1', 4);
  assert.equal(maxOf(), 1, 'another incarnation may be of another kind');
});
