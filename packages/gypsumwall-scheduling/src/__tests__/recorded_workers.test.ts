import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import * as jobProgress from '../job_progress.js';

const {test} = nodeTest;
const RUNNING = {...jobProgress.NO_PROGRESS, phase: 'running'} as const;

// A service that stays up runs nowhere for 35 s. Its worker was told to leave
// and its task stopped in good time; then the cell changed hands, and the
// successor waited for the worker that had left, since the job's record named
// it.
test('a worker that leaves is off the record once its runs are over', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 4);
  world.submit('job', [worlds.step({taskCount: 2, longRunning: true})]);
  const runs = world.startAll();
  world.scheduler.takeDirty();
  const info = world.scheduler.workerRegistry.workers.get(w1)!.info;
  world.scheduler.putWorker({...info, draining: true});
  world.scheduler.evacuate(w1);
  const recorded = () =>
    world.scheduler.takeDirty().flatMap((job) => job.progress.workers);
  const endOf = (nth: number) => {
    const {taskId, number: attempt} = runs[nth]!;
    const end = {sequence: nth + 1, taskId, attempt, how: 'stopped' as const};
    const ends = [{...end, checkpoint: ''}];
    world.scheduler.applyReport(
      {workerId: w1, askedAt: world.now, running: [], ends, complete: false},
      world.now,
    );
  };
  endOf(0);
  assert.deepEqual(recorded(), [], 'one run is left, so nothing is to store');
  endOf(1);
  const stored = world.scheduler.takeDirty();
  assert.deepEqual(
    stored.map((job) => job.progress.workers),
    [[]],
  );
  // What was on its way to the store must not bring the worker back.
  const earlier = stored.map((job) => ({
    ...job,
    progress: {...job.progress, workers: [w1]},
  }));
  world.scheduler.onStored(earlier);
  world.scheduler.putWorker(info);
  assert.deepEqual(
    world.scheduler.decide(world.now, 0 as types.clock.WallMs).starts,
    [],
  );
});

// A job stands still for 20 s after a takeover though workers have room. One
// worker is out of reach; only jobs that may have tasks on it have to wait.
test('a job waits only for workers that it was recorded with', () => {
  const world = worlds.createSchedulerWorld();
  const cut = types.ids.brand<types.ids.WorkerId>('cut');
  const w1 = world.addWorker('w1', 4);
  world.unaccounted.add(cut);
  const on = (worker: types.ids.WorkerId) => ({
    inherited: true,
    progress: {...RUNNING, workers: [worker]},
  });
  world.submit('elsewhere', [worlds.step()], on(w1));
  world.submit('perhaps', [worlds.step()], on(cut));
  world.submit('waiting', [worlds.step()], {inherited: true});
  world.scheduler.onWorkerReconciled();
  const started = () => world.startAll().map((run) => run.taskId);
  assert.deepEqual(started().sort(), ['elsewhere.0.0.0', 'waiting.0.0.0']);
  world.unaccounted.clear();
  world.scheduler.onWorkerReconciled();
  assert.deepEqual(started(), ['perhaps.0.0.0']);
});
