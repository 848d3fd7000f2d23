/**
 * Load test of the deployed program: workers crash and the holder is killed
 * beside them several times, while a job has a task that waits.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as builtProgram from '../__fixtures__/built_program.js';
import * as plainStep from '../__fixtures__/plain_step.js';
import * as emulatorConfig from '../config/emulator_config.js';
import * as jobTraffic from '../demo/job_traffic.js';
import * as judge from '../judge/judge.js';
import type * as jobCatalog from '../model/job_catalog.js';
import * as emulatedCell from '../rig/emulated_cell.js';

const {test} = nodeTest;
const READY_TIMEOUT_MS = 15_000;
const SETTLE_TIMEOUT_MS = 15_000;
const POLL_MS = 50;
const CAPACITY = {cpuMillis: 4_000, memoryMb: 8_192, accelerators: 0};
const SMALL_CAPACITY = {...CAPACITY, cpuMillis: 2_000};
/** Shorter than the time after which a crashed worker is back. */
const KILL_AFTER_MS = 300;
const ROUND_MS = 4_000;

const config = emulatorConfig.emulatorConfigSchema.parse({
  zones: ['river', 'market', 'hill'],
  pools: [{name: 'general', workersPerZone: 2, capacity: CAPACITY}],
  queues: [
    {
      name: 'plans',
      host: 'plans.example',
      pathPrefix: '/plans/',
      pool: 'general',
    },
  ],
});
const builtInto = builtProgram.buildProgramForTests();

const FILLING_STEP = plainStep.createPlainStep({
  taskCount: 12,
  size: {...SMALL_CAPACITY, memoryMb: 512},
  workMs: 3_000,
});
/** Fits on no worker while the workers are small. */
const WAITING_STEP = plainStep.createPlainStep({
  size: {...CAPACITY, memoryMb: 512},
  after: [0],
});
const JOB: jobCatalog.JobSpec = {
  jobId: 'a'.repeat(16),
  queue: 'plans',
  payload: 'waiting',
  steps: [FILLING_STEP, WAITING_STEP],
};

type Cell = emulatedCell.EmulatedCell;

async function waitUntil(
  cell: Cell,
  isDone: () => boolean | Promise<boolean>,
  withinMs: number,
): Promise<void> {
  const deadline = types.clock.after(cell.clock.monotonic(), withinMs);
  while (!(await isDone()) && cell.clock.monotonic() < deadline) {
    await types.clock.sleepFor(cell.clock, POLL_MS);
  }
}

function countEvents(cell: Cell, type: 'run_started' | 'run_ended'): number {
  return cell.model.history.events().filter((event) => event.type === type)
    .length;
}

/** Crashes each worker once, and kills the holder soon after each crash. */
async function crashBesideFailovers(cell: Cell): Promise<void> {
  const {clock, model} = cell;
  for (const machine of model.machines) {
    const holder = await cell.findHolder();
    void machine.crash();
    await types.clock.sleepFor(clock, KILL_AFTER_MS);
    model.history.record({type: 'disruption', what: 'holder killed'});
    holder?.kill();
    await types.clock.sleepFor(clock, ROUND_MS);
    await waitUntil(
      cell,
      async () => (await cell.findHolder()) !== undefined,
      READY_TIMEOUT_MS,
    );
  }
}

// Guards against a job that is shown as failed although none of its tasks has
// failed and no worker has crashed under one: its last task waits for room while
// workers that its earlier tasks had used crash beside changes of the holder.
test('a waiting job is not failed for crashes beside changes of the holder', async () => {
  const cell = await emulatedCell.startEmulatedCell({
    config,
    deployFile: 'deploy/system.toml',
    builtInto,
  });
  try {
    const {clock, model} = cell;
    const after = (delayMs: number) =>
      types.clock.after(clock.monotonic(), delayMs);
    await cell.untilReady(after(READY_TIMEOUT_MS));
    assert.equal(await cell.callers.submit(JOB), 'accepted');
    const {taskCount} = FILLING_STEP;
    const haveStarted = () => countEvents(cell, 'run_started') === taskCount;
    await waitUntil(cell, haveStarted, READY_TIMEOUT_MS);
    for (const machine of model.machines) machine.setCapacity(SMALL_CAPACITY);
    const haveEnded = () => countEvents(cell, 'run_ended') === taskCount;
    await waitUntil(cell, haveEnded, READY_TIMEOUT_MS);
    await crashBesideFailovers(cell);
    for (const machine of model.machines) machine.setCapacity(CAPACITY);
    const settledBy = after(SETTLE_TIMEOUT_MS);
    await jobTraffic.waitForFinalStates(cell, [JOB], settledBy);
    model.history.record({type: 'history_closed'});
    assert.deepEqual(judge.judge(model.history.events()), []);
  } finally {
    await cell.close(false);
  }
});
