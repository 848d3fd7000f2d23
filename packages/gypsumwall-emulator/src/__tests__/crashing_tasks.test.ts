/**
 * Load tests of the deployed program with tasks that crash their workers, a
 * killed holder, crashes of all workers of a zone, and changing capacities.
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

const FILLER_STEP = plainStep.createPlainStep({
  taskCount: 8,
  size: {cpuMillis: 1_000, memoryMb: 512, accelerators: 0},
});

/** Creates a job whose last task crashes each worker 200 ms after its start. */
function createCrashingJob(nth: number, taskCount: number): jobCatalog.JobSpec {
  const crash = {index: taskCount - 1, afterMs: 200};
  const step = {
    ...FILLER_STEP,
    taskCount,
    gang: taskCount > 1,
    workMs: 5_000,
    crash,
  };
  const jobId = `${nth}`.padStart(16, 'c');
  return {jobId, queue: 'checks', payload: `crash ${nth}`, steps: [step]};
}

/**
 * Returns a factory of jobs with eight tasks. Ten such jobs per second need
 * more than a quarter of the cell's capacity.
 */
function createFillerJobFactory(): () => jobCatalog.JobSpec {
  let sent = 0;
  return () => {
    const jobId = `${sent++}`.padStart(16, 'f');
    const payload = `fill ${jobId}`;
    return {jobId, queue: 'checks', payload, steps: [FILLER_STEP]};
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

/** Runs a scenario beside mixed jobs and returns the broken promises. */
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
    const scenarioJobs = await scenario(cell);
    stopSending.abort();
    const sent = [longRunningJob, ...(await shortJobs), ...scenarioJobs];
    const settledBy = types.clock.after(clock.monotonic(), SETTLE_TIMEOUT_MS);
    await jobTraffic.waitForFinalStates(cell, sent, settledBy);
    cell.model.history.record({type: 'history_closed'});
    return judge.judge(cell.model.history.events());
  } finally {
    await cell.close(false);
  }
}

// Guards against endless restarts of tasks that crash their workers, also by
// the entry that takes over from a killed holder.
test('tasks that crash their workers are given up while the holder is killed', async () => {
  const findings = await runBesideMixedJobs(async (cell) => {
    const jobs = [
      createCrashingJob(1, 1),
      createCrashingJob(2, 1),
      createCrashingJob(3, 6),
    ];
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

// Guards against giving up healthy jobs because all workers of a zone crashed,
// and against starts beyond a worker's reduced capacity.
test('promises hold while the workers of a zone crash and capacities change', async () => {
  const findings = await runBesideMixedJobs(async (cell) => {
    const {machines} = cell.model;
    const {capacity} = config.pools[0]!;
    const cpuMillis = capacity.cpuMillis / 4;
    for (const machine of machines) {
      machine.setCapacity({...capacity, cpuMillis});
    }
    const stopSending = new AbortController();
    const fillerJobs = jobTraffic.sendPeriodically(
      cell,
      createFillerJobFactory(),
      POLL_MS,
      stopSending,
    );
    await types.clock.sleepFor(cell.clock, 6_000);
    stopSending.abort();
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
