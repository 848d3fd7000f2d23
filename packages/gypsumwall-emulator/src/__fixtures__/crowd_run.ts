/**
 * Runs a crowd against the deployed program on a machine with little memory and
 * few descriptors.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import type * as nodeTest from 'node:test';
import * as path from 'node:path';
import * as types from '@gypsumwall/types';
import * as emulatorConfig from '../config/emulator_config.js';
import type * as jobCatalog from '../model/job_catalog.js';
import * as emulatedCell from '../rig/emulated_cell.js';
import type * as entryMachine from '../rig/entry_machine.js';
import * as clientCrowd from './client_crowd.js';
import * as plainStep from './plain_step.js';
import * as processWatch from './process_watch.js';

/** Limits of the machine. */
const MEMORY_MB = 120;
const HEAP_MB = 64;
const MAX_FDS = 600;
/** Descriptors that the platform reserves for files. */
const FILE_FDS = 200;

/** How long the connections stay before the ordinary job. */
const HOLD_MS = 1_000;
const READY_TIMEOUT_MS = 30_000;
const REQUEST_TIMEOUT_MS = 10_000;
const REQUEST_TRIES = 10;
const RETRY_PAUSE_MS = 1_000;

/** The queue that crowds name. */
export const QUEUE = {
  name: 'checks',
  host: 'checks.example',
  pathPrefix: '/checks/',
} as const;

const DEPLOY_FILE = 'deploy/system.toml';
const HEAP_OPTION = /--max-old-space-size=\d+/;

const config = emulatorConfig.emulatorConfigSchema.parse({
  zones: ['river', 'market', 'hill'],
  pools: [
    {
      name: 'general',
      workersPerZone: 1,
      capacity: {cpuMillis: 16_000, memoryMb: 32_768},
    },
  ],
  queues: [{...QUEUE, pool: 'general'}],
  entries: {memoryMb: MEMORY_MB, maxFds: MAX_FDS},
});

/**
 * Lets a crowd meet an entry and checks that the process lives on within the
 * limits of its machine. An ordinary job has to be accepted while the crowd's
 * connections are still open.
 */
export async function checkSurvival(
  test: nodeTest.TestContext,
  builtInto: string,
  crowd: Pick<clientCrowd.CrowdOptions, 'size' | 'piecesOf'>,
): Promise<void> {
  const cell = await emulatedCell.startEmulatedCell({
    config,
    deployFile: writeDeployFile(builtInto),
    builtInto,
  });
  try {
    const {clock} = cell;
    await cell.untilReady(
      types.clock.after(clock.monotonic(), READY_TIMEOUT_MS),
    );
    const first = cell.entries[0]!;
    assert.ok(await isAccepted(cell, first, 0), 'no job was accepted before');
    // The other entries ask the holder for most answers.
    const holder = await cell.findHolder();
    const entry = cell.entries.find((other) => other !== holder)!;
    const address = entry.addresses.callers;
    const pid = entry.pid()!;
    const watch = processWatch.watchProcess(pid, address);
    const clients = clientCrowd.connectCrowd({...crowd, address, clock});
    await clients.settle(() => watch.unreadBytes());
    await types.clock.sleepFor(clock, HOLD_MS);
    const isServed = await isAccepted(cell, entry, 1);
    const {memoryMb, sockets} = watch.peaks();
    watch.stop();
    clients.close();
    const seen = {
      sameProcess: entry.isRunning() && entry.pid() === pid,
      memoryMb: Math.round(memoryMb),
      sockets,
      isServed,
    };
    test.diagnostic(JSON.stringify(seen));
    const isWithinLimits =
      seen.sameProcess &&
      memoryMb <= MEMORY_MB &&
      sockets <= MAX_FDS - FILE_FDS &&
      isServed;
    assert.ok(isWithinLimits, JSON.stringify(seen));
  } finally {
    await cell.close(false);
  }
}

/** Copies the deploy file with a smaller heap. */
function writeDeployFile(folder: string): string {
  const text = fs.readFileSync(DEPLOY_FILE, 'utf8');
  assert.match(text, HEAP_OPTION);
  const file = path.join(folder, 'system.toml');
  const option = `--max-old-space-size=${HEAP_MB}`;
  fs.writeFileSync(file, text.replace(HEAP_OPTION, option));
  return file;
}

/** Submits a job until it is accepted; a refusal asks to come back. */
async function isAccepted(
  cell: emulatedCell.EmulatedCell,
  entry: entryMachine.EntryMachine,
  nth: number,
): Promise<boolean> {
  const job: jobCatalog.JobSpec = {
    jobId: `${nth}`.padStart(16, 'a'),
    queue: QUEUE.name,
    payload: 'ordinary',
    steps: [plainStep.createPlainStep()],
  };
  for (let tries = 0; tries < REQUEST_TRIES; tries++) {
    const answer = await cell.send(
      entry.name,
      'submit',
      job,
      REQUEST_TIMEOUT_MS,
      undefined,
    );
    if (answer.type === 'ok') return true;
    await types.clock.sleepFor(cell.clock, RETRY_PAUSE_MS);
  }
  return false;
}
