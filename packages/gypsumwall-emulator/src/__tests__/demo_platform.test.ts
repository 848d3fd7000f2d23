/**
 * Load tests: a short run of the demo with the deployed program, then runs with
 * faults injected into the platform that break a promise.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as builtProgram from '../__fixtures__/built_program.js';
import * as emulatorConfig from '../config/emulator_config.js';
import * as mixedJobs from '../demo/mixed_jobs.js';
import * as runDemo from '../demo/run_demo.js';
import type * as platformModel from '../model/platform_model.js';

const {test} = nodeTest;
const config = emulatorConfig.readEmulatorConfig(
  'packages/gypsumwall-emulator/examples/demo.jsonc',
);
const builtInto = builtProgram.buildProgramForTests();
const DURATIONS: runDemo.DemoDurations = {
  shortJobIntervalMs: 150,
  gangIntervalMs: 2_000,
  beforeDrainMs: 1_500,
  beforeKillMs: 500,
  afterKillMs: 4_000,
  settleTimeoutMs: 6_000,
};

function runDemoWith(
  options: Partial<
    Pick<runDemo.DemoOptions, 'config' | 'durations' | 'injectedFaults'>
  >,
): Promise<runDemo.DemoResult> {
  return runDemo.runDemo({
    config,
    durations: DURATIONS,
    deployFile: 'deploy/system.toml',
    builtInto,
    keepsLogs: false,
    print: () => undefined,
    ...options,
  });
}

/** Creates the ids of the demo's first long-running job and first short job. */
function createFirstIds(): {readonly lasting: string; readonly short: string} {
  const jobs = mixedJobs.createMixedJobs(config.seed);
  return {
    lasting: jobs.make('lasting').jobId,
    short: jobs.make('short').jobId,
  };
}

test('promises hold while a worker leaves and the holder is killed', async () => {
  const {findings, events} = await runDemoWith({});
  assert.deepEqual(findings, []);
  const done = events.filter(
    (event) => event.type === 'run_ended' && event.how === 'done',
  );
  assert.ok(done.length > 50, `${done.length} runs were done`);
});

// Guards against starts above a quota and against calls that are served with a
// revoked key or refused with a valid one, while a worker leaves, a key and half
// of a quota are taken away, and the holder is killed.
test('promises hold with organisations whose keys and quotas change', async () => {
  const withOrganisations = emulatorConfig.readEmulatorConfig(
    'packages/gypsumwall-emulator/examples/organisations.jsonc',
  );
  const {findings, events} = await runDemoWith({config: withOrganisations});
  assert.deepEqual(findings, []);
  const served = events.filter(
    (event) => event.type === 'key_used' && event.isAccepted,
  );
  assert.ok(served.length > 50, `${served.length} calls were served`);
});

// Guards against a judge that misses a long-running task that has stopped.
test('a worker that hides the end of a long-running task is found', async () => {
  const {lasting} = createFirstIds();
  const injectedFaults: platformModel.InjectedFaults = {
    shouldHideEnd: (taskId) => taskId === `${lasting}.0.0.0`,
  };
  const pools = config.pools.map((pool) => ({...pool, lastingFailsMs: 500}));
  const {findings} = await runDemoWith({
    injectedFaults,
    config: {...config, pools},
    durations: {...DURATIONS, afterKillMs: 6_000},
  });
  assert.ok(
    findings.some(
      ({promise, detail}) =>
        promise === 'lasting tasks run again in time' &&
        detail.startsWith(`${lasting}.0.0.0`),
    ),
    JSON.stringify(findings),
  );
});

// Guards against a judge that misses an accepted job that was lost.
test('a store that drops an acknowledged job is found', async () => {
  const {short} = createFirstIds();
  const injectedFaults: platformModel.InjectedFaults = {
    shouldDrop: (_topic, entry) => entry.key.includes(short),
  };
  const {findings} = await runDemoWith({injectedFaults});
  assert.ok(
    findings.some(
      ({promise, detail}) =>
        promise === 'nothing accepted is lost' && detail.startsWith(short),
    ),
    JSON.stringify(findings),
  );
});
