/**
 * Load: the program as it is deployed, under tasks that crash their workers,
 * while the holder is killed, the workers of a zone crash together, and the
 * capacity of all workers shrinks and grows.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as builtProgram from '../__fixtures__/built_program.js';
import * as plainStep from '../__fixtures__/plain_step.js';
import * as emulatorConfig from '../config/emulator_config.js';
import * as jobTraffic from '../demo/job_traffic.js';
import * as mixedJobs from '../demo/mixed_jobs.js';
import type * as finding from '../judge/finding.js';
import * as judge from '../judge/judge.js';
import type * as jobCatalog from '../model/job_catalog.js';
import * as emulatedCell from '../rig/emulated_cell.js';

const {test} = nodeTest;
const READY_TIMEOUT_MS = 15_000;
const SETTLE_TIMEOUT_MS = 40_000;
const POLL_MS = 100;
const SHORT_JOB_INTERVAL_MS = 200;
const config = emulatorConfig.readEmulatorConfig(
  'packages/gypsumwall-emulator/examples/demo.jsonc',
);
const builtInto = builtProgram.buildProgramForTests();

type Cell = emulatedCell.EmulatedCell;

const STEP = plainStep.createPlainStep({
  taskCount: 8,
  size: {cpuMillis: 1_000, memoryMb: 512, accelerators: 0},
});

/** A job of which one task crashes each worker 200 ms after its start. */
function crashingJob(nth: number, taskCount: number): jobCatalog.JobSpec {
  const crash = {index: taskCount - 1, afterMs: 200};
  const step = {...STEP, taskCount, gang: taskCount > 1, workMs: 5_000, crash};
  const jobId = `${nth}`.padStart(16, 'c');
  return {jobId, queue: 'checks', payload: `crash ${nth}`, steps: [step]};
}

/** Jobs of eight tasks: ten a second need more than a quarter of the cell. */
function createFillerJobFactory(): () => jobCatalog.JobSpec {
  let sent = 0;
  return () => {
    const jobId = `${sent++}`.padStart(16, 'f');
    const payload = `fill ${jobId}`;
    return {jobId, queue: 'checks', payload, steps: [STEP]};
  };
}

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

const countTaskCrashes = ({model}: Cell) =>
  model.history
    .events()
    .filter((event) => event.type === 'worker_crashed' && event.culprit).length;

/** Plays something beside mixed jobs; the broken promises. */
async function runBesideMixedJobs(
  scenario: (cell: Cell) => Promise<jobCatalog.JobSpec[]>,
): Promise<readonly finding.Finding[]> {
  const cell = await emulatedCell.startEmulatedCell({
    config,
    deployFile: 'deploy/system.toml',
    builtInto,
  });
  try {
    const {clock} = cell;
    const readyBy = types.clock.after(clock.monotonic(), READY_TIMEOUT_MS);
    await cell.untilReady(readyBy);
    const jobs = mixedJobs.createMixedJobs(config.seed);
    const longRunningJob = jobs.make('lasting');
    await cell.callers.submit(longRunningJob);
    const stopSending = new AbortController();
    const makeShort = () => jobs.make('short');
    const shortJobs = jobTraffic.sendPeriodically(
      cell,
      makeShort,
      SHORT_JOB_INTERVAL_MS,
      stopSending,
    );
    const special = await scenario(cell);
    stopSending.abort();
    const sent = [longRunningJob, ...(await shortJobs), ...special];
    const settledBy = types.clock.after(clock.monotonic(), SETTLE_TIMEOUT_MS);
    await jobTraffic.waitForFinalStates(cell, sent, settledBy);
    cell.model.history.record({type: 'history_closed'});
    return judge.judge(cell.model.history.events());
  } finally {
    await cell.close(false);
  }
}

// Guards against tasks that crash their workers and are started without end by
// the deployed program, also by one that takes over.
test('tasks that crash their workers are given up while the holder is killed', async () => {
  const findings = await runBesideMixedJobs(async (cell) => {
    const jobs = [crashingJob(1, 1), crashingJob(2, 1), crashingJob(3, 6)];
    for (const job of jobs) await cell.callers.submit(job);
    await waitUntil(cell, () => countTaskCrashes(cell) >= 4, 15_000);
    const holder = await cell.findHolder();
    cell.model.history.record({type: 'disruption', what: 'holder killed'});
    holder?.kill();
    await types.clock.sleepFor(cell.clock, 5_000);
    return jobs;
  });
  assert.deepEqual(findings, []);
});

// Guards against sound jobs that are given up for a loss of power, and against
// workers that are filled beyond a capacity which has shrunk.
test('promises hold while zones lose power and capacities change', async () => {
  const findings = await runBesideMixedJobs(async (cell) => {
    const {machines} = cell.model;
    const {capacity} = config.pools[0]!;
    const cpuMillis = capacity.cpuMillis / 4;
    for (const machine of machines) {
      machine.setCapacity({...capacity, cpuMillis});
    }
    const over = new AbortController();
    const fillerJobs = jobTraffic.sendPeriodically(
      cell,
      createFillerJobFactory(),
      POLL_MS,
      over,
    );
    await types.clock.sleepFor(cell.clock, 6_000);
    over.abort();
    for (const machine of machines) machine.setCapacity(capacity);
    for (let nth = 0; nth < 3; nth++) {
      const zone = config.zones[0]!;
      cell.model.history.record({type: 'disruption', what: `${zone} is down`});
      for (const machine of machines) {
        if (machine.name.includes(zone)) void machine.crash();
      }
      await types.clock.sleepFor(cell.clock, 4_000);
    }
    return fillerJobs;
  });
  assert.deepEqual(findings, []);
});
