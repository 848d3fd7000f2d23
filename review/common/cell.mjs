/**
 * Starts a small deployment for a case: the entries as the deploy file starts
 * them, on the project's emulated platform, with the settings that the users'
 * pages show for a small deployment. Records what callers and workers see.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';

/** The repository. */
const ROOT = url.fileURLToPath(new URL('../../', import.meta.url));

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

/** Ends a case that takes longer, in milliseconds. */
const TIME_LIMIT_MS = 115_000;
const READY_TIMEOUT_MS = 20_000;

export const sleep = (ms) => timers.setTimeout(ms);

/**
 * Runs a case in its folder. `play` gets the cell and returns what broke the
 * rule, one line for each occasion; `hasTrouble` is only recorded.
 */
export async function runCase({folderUrl, settings, hasTrouble, play}) {
  const folder = url.fileURLToPath(new URL('.', folderUrl));
  const recordFile = path.join(folder, 'record.txt');
  fs.writeFileSync(recordFile, '');
  process.chdir(ROOT);
  const startedAt = performance.now();
  const note = (line) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    fs.appendFileSync(recordFile, `${seconds.padStart(8)} s  ${line}\n`);
  };
  const limit = setTimeout(() => {
    note(`the case took longer than ${TIME_LIMIT_MS} ms`);
    process.exit(COULD_NOT_RUN);
  }, TIME_LIMIT_MS);
  let cell;
  let code = COULD_NOT_RUN;
  try {
    const {emulatedCell, emulatorConfig} = await import(
      url.pathToFileURL(
        path.join(ROOT, 'packages/gypsumwall-emulator/lib/index.js'),
      ).href
    );
    cell = await emulatedCell.startEmulatedCell({
      config: emulatorConfig.emulatorConfigSchema.parse(settings),
      deployFile: 'deploy/system.toml',
    });
    recordHistory(cell, note);
    await cell.untilReady(cell.clock.monotonic() + READY_TIMEOUT_MS);
    note(`trouble: ${hasTrouble ? 'yes' : 'no'}; all entries are ready`);
    const faults = await play({cell, note});
    for (const fault of faults) note(`BROKEN: ${fault}`);
    note(faults.length > 0 ? 'the rule was broken' : 'the rule held');
    code = faults.length > 0 ? BROKEN : HELD;
  } catch (thrown) {
    note(`the case could not run: ${thrown?.stack ?? thrown}`);
  }
  await cell?.close(false).catch(() => undefined);
  clearTimeout(limit);
  process.exit(code);
}

/** Writes each event of the platform's history to the record. */
function recordHistory(cell, note) {
  const {history} = cell.model;
  const {record} = history;
  history.record = (details) => {
    record(details);
    const {type, ...rest} = details;
    note(`${type} ${JSON.stringify(rest)}`);
  };
}

/** The entry that holds the cell; rejects if none does in time. */
export async function findHolder(cell, timeoutMs = 10_000) {
  const until = performance.now() + timeoutMs;
  while (performance.now() < until) {
    const holder = await cell.findHolder();
    if (holder !== undefined) return holder;
    await sleep(20);
  }
  throw new Error('no entry holds the cell');
}

/** The machine whose worker runs the task; undefined if none does. */
export function machineOf(cell, taskId) {
  return cell.model.machines.find((machine) =>
    machine
      .worker()
      ?.running()
      .some((run) => run.taskId === taskId),
  );
}

/** Resolves once the condition holds; to false if it doesn't in time. */
export async function until(condition, timeoutMs) {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await condition()) return true;
    await sleep(20);
  }
  return false;
}

/**
 * The settings of a small deployment: three zones with an entry and three
 * workers each, and the bounds of the sheet for terrain-delivery.
 */
export function smallDeployment(seed = 1) {
  return {
    seed,
    zones: ['bagmati-a', 'bagmati-b', 'bagmati-c'],
    pools: [
      {
        name: 'terrain',
        workersPerZone: 3,
        workersPerRack: 8,
        capacity: {cpuMillis: 16_000, memoryMb: 65_536},
      },
    ],
    queues: [
      {
        name: 'watch',
        host: 'watch.example',
        pathPrefix: '/watch/',
        pool: 'terrain',
        priority: 1,
        maxAttempts: 4,
        targetMs: 2_500,
      },
    ],
    workers: {
      heartbeatMs: 1_500,
      longestLeaseMs: 10_000,
      restoreMs: 250,
      checkpointMs: 500,
      stopMs: 900,
      gangTimeoutMs: 3_000,
      drainMs: 2_000,
      restartMs: 4_000,
    },
    entries: {graceMs: 6_000, restartMs: 500, cpuShare: 0.675},
  };
}

/** The rule's spans for tasks that last, in milliseconds. */
const SINCE_LAST_RUN_MS = 6_000;
const STILL_MS = 3_000;
const CALM_BEFORE_MS = 4_000;

/** When a task didn't run though it had to, by the rule's spans. */
export function findStill(cell, task, disruptions, endAt) {
  const spans = [];
  let stoppedAt;
  for (const event of cell.model.history.events()) {
    const {type, at, taskId} = event;
    if (type === 'run_started' && taskId === task) {
      if (stoppedAt !== undefined) spans.push([stoppedAt, at]);
      stoppedAt = undefined;
    }
    if (type === 'run_ended' && taskId === task) stoppedAt = at;
    if (type === 'worker_lost_for_test' && event.tasks.includes(task))
      stoppedAt = at;
  }
  if (stoppedAt !== undefined) spans.push([stoppedAt, endAt]);
  for (const [stopped, started] of spans) {
    // The last disruption that began before the task ran again.
    const calmFrom = Math.max(
      ...disruptions.map(({until}) => until + CALM_BEFORE_MS),
    );
    const from = Math.max(stopped + SINCE_LAST_RUN_MS, calmFrom);
    if (started - from >= STILL_MS) return {stopped, started, from};
  }
  return undefined;
}

/** Loses the machine for good; returns which of the tasks it ran. */
export function loseMachine(cell, machine, tasks, note) {
  const lost = tasks.filter((task) => machineOf(cell, task) === machine);
  note(`${machine.name} is lost for good, with ${lost.length} tasks that last`);
  machine.stop();
  cell.model.history.record({type: 'worker_lost_for_test', tasks: lost});
}

/** Describes the tasks that stood still against the rule. */
export function describeStill(cell, tasks, disruptions) {
  const endAt = cell.clock.monotonic();
  const faults = [];
  for (const task of tasks) {
    const still = findStill(cell, task, disruptions, endAt);
    if (still === undefined) continue;
    const {stopped, started, from} = still;
    faults.push(
      `${task} stood still for ${Math.round(started - stopped)} ms, ` +
        `${Math.round(started - from)} ms of them counted, ` +
        `with ${cell.model.machines.length - 1} workers that have room`,
    );
  }
  return faults;
}
