import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import * as jobProgress from '../job_progress.js';

const {test} = nodeTest;
const RUNNING = {...jobProgress.NO_PROGRESS, phase: 'running'} as const;

// Guards against a service that does not run for 35 s: its worker was told to
// leave and its task was stopped in good time; then another holder took over
// and waited for the worker that had left, because it was still recorded for
// the job.
test('a leaving worker is removed from the record once its attempts have ended', () => {
  const world = worlds.createSchedulerWorld();
  const w1 = world.addWorker('w1', 4);
  world.submit('job', [worlds.step({taskCount: 2, longRunning: true})]);
  const attempts = world.startAll();
  world.scheduler.takeDirty();
  const info = world.scheduler.workerRegistry.workers.get(w1)!.info;
  world.scheduler.putWorker({...info, draining: true});
  world.scheduler.evacuate(w1);
  const recorded = () =>
    world.scheduler.takeDirty().flatMap((job) => job.progress.workers);
  const endOf = (nth: number) => {
    const {taskId, number: attemptNumber} = attempts[nth]!;
    const end = {
      sequence: nth + 1,
      taskId,
      attempt: attemptNumber,
      how: 'stopped' as const,
    };
    const ends = [{...end, checkpoint: ''}];
    world.scheduler.applyReport(
      {workerId: w1, askedAt: world.now, running: [], ends, complete: false},
      world.now,
    );
  };
  endOf(0);
  assert.deepEqual(
    recorded(),
    [],
    'one attempt is left, so nothing has to be stored',
  );
  endOf(1);
  const stored = world.scheduler.takeDirty();
  assert.deepEqual(
    stored.map((job) => job.progress.workers),
    [[]],
  );
  // A write in transit must not record the worker again.
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

// Guards against a job that does not start for 20 s after a takeover although
// workers have capacity. One worker is unreachable; only jobs that may have
// tasks on it have to wait.
test('a job waits only for workers that are recorded for it', () => {
  const world = worlds.createSchedulerWorld();
  const cut = types.ids.brand<types.ids.WorkerId>('cut');
  const w1 = world.addWorker('w1', 4);
  world.unreconciled.add(cut);
  const on = (worker: types.ids.WorkerId) => ({
    inherited: true,
    progress: {...RUNNING, workers: [worker]},
  });
  world.submit('elsewhere', [worlds.step()], on(w1));
  world.submit('perhaps', [worlds.step()], on(cut));
  world.submit('waiting', [worlds.step()], {inherited: true});
  world.scheduler.onWorkerReconciled();
  const started = () => world.startAll().map((attempt) => attempt.taskId);
  assert.deepEqual(started().sort(), ['elsewhere.0.0.0', 'waiting.0.0.0']);
  world.unreconciled.clear();
  world.scheduler.onWorkerReconciled();
  assert.deepEqual(started(), ['perhaps.0.0.0']);
});
