import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/scheduler_world.js';
import type * as activeJob from '../active_job.js';
import type * as jobRequest from '../job_request.js';
import * as learnedSpeeds from '../learned_speeds.js';
import * as runMeters from '../run_meter.js';

const {test} = nodeTest;

/** Starts two tasks of a step, and a meter that records what it measures. */
function measureTasks(fields: Partial<jobRequest.StepRequest> = {}) {
  const world = worlds.createSchedulerWorld();
  world.addWorker('w1', 4, 'r1');
  world.submit('job', [worlds.step({taskCount: 2, ...fields})]);
  const [attempt] = world.startAll();
  const measured: number[] = [];
  const meter = runMeters.createRunMeter(
    {
      ...learnedSpeeds.createLearnedSpeeds(),
      add(_step, worker, runMs) {
        measured.push(runMs);
        return {worker, logMs: 0};
      },
      update: (_run, runMs) => void measured.push(runMs),
    },
    world.scheduler.workerRegistry,
  );
  const at = (ms: number) => ms as types.clock.MonotonicMs;
  return {attempt: attempt!, meter, measured, at};
}

// Guards against speeds that are known only once long tasks have ended.
test('a run is measured while it runs, and at its end', () => {
  const {attempt, meter, measured, at} = measureTasks();
  meter.onStarted(attempt, at(1_000));
  meter.onProgress(attempt, 10, at(1_100));
  assert.deepEqual(measured, []);
  meter.onProgress(attempt, 50, at(1_600));
  meter.onDone(attempt, at(2_300));
  assert.deepEqual(measured, [1_200, 1_300]);
});

// Guards against fast workers that count as slow since their gangs wait for
// slow members, before the start and at the end.
test('a member of a gang is measured by its own progress', () => {
  const {attempt, meter, measured, at} = measureTasks({gang: true});
  meter.onStarted(attempt, at(1_000));
  meter.onProgress(attempt, 0, at(2_000));
  meter.onProgress(attempt, 10, at(3_000));
  meter.onProgress(attempt, 60, at(3_500));
  meter.onProgress(attempt, 100, at(6_000));
  meter.onDone(attempt, at(8_000));
  assert.deepEqual(measured, [1_000]);
});

// Guards against workers that count as fast since they resumed from saved
// progress.
test('a resumed run is measured from its first progress', () => {
  const {attempt, meter, measured, at} = measureTasks({savesProgress: true});
  attempt.task!.stepRun.checkpoints.set(attempt.task!.index, 'saved');
  meter.onStarted(attempt, at(1_000));
  meter.onProgress(attempt, 60, at(1_100));
  meter.onDone(attempt, at(1_500));
  assert.deepEqual(measured, [1_000]);
});

// Guards against workers that count as slow since their tasks were far from
// their data or group, or used only spare time.
test('runs that depend on more than the worker are not measured', () => {
  const left: Partial<jobRequest.StepRequest>[] = [
    {preferredRack: 'r2'},
    {sameRack: true},
    {usesSpareCpu: true},
    {longRunning: true},
    {taskCount: 1},
  ];
  for (const fields of left) {
    const {attempt, meter, measured, at} = measureTasks(fields);
    meter.onStarted(attempt, at(1_000));
    meter.onProgress(attempt, 50, at(1_500));
    meter.onDone(attempt, at(2_000));
    assert.deepEqual(measured, [], JSON.stringify(fields));
  }
  const near = measureTasks({preferredRack: 'r1'});
  near.meter.onStarted(near.attempt, near.at(1_000));
  near.meter.onDone(near.attempt, near.at(2_000));
  assert.deepEqual(near.measured, [1_000]);
});

// Guards against tasks without progress on a worker that hangs: its health is
// judged elsewhere.
test('a run that makes no progress or is stopped shows no speed', () => {
  const {attempt, meter, measured, at} = measureTasks();
  const stopping: activeJob.Attempt = {...attempt, phase: 'stopping'};
  meter.onStarted(stopping, at(1_000));
  meter.onProgress(stopping, 50, at(9_000));
  meter.onStarted(attempt, at(1_000));
  meter.onProgress(attempt, 1, at(9_000));
  assert.deepEqual(measured, []);
});
