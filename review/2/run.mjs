/** See `claim.txt`. */
import * as common from '../common/cell.mjs';

/** Whether the disruption is made; `TROUBLE=0` leaves it out. */
const hasTrouble = process.env['TROUBLE'] !== '0';

const TASKS = 12;
/** Quiet time before the disruption; milliseconds. */
const QUIET_MS = 9_000;
/** Between the loss and the first stop, and between the stops; milliseconds. */
const STOP_GAP_MS = 1_300;
/** Time for which the tasks are watched afterwards; milliseconds. */
const WATCH_MS = 26_000;
const job = {
  jobId: '5c0e7a21d94b36f8',
  queue: 'watch',
  payload: 'watch the valley',
  steps: [
    {
      taskCount: TASKS,
      size: {cpuMillis: 2_000, memoryMb: 4_096, accelerators: 0},
      workMs: 1_000,
      after: [],
      gang: false,
      lasting: true,
      savesProgress: false,
    },
  ],
};
const tasks = Array.from(
  {length: TASKS},
  (_, nth) => `${job.jobId}.0.0.${nth}`,
);

/** Stops an entry as planned, and waits until its next process is ready. */
async function restart(cell, entry, note) {
  const stoppedAt = cell.clock.monotonic();
  note(`SIGTERM to ${entry.name}, which holds the cell`);
  entry.terminate();
  await common.until(() => !entry.isRunning(), 10_000);
  await common.until(() => entry.isRunning(), 10_000);
  const isReady = () => cell.balancer.listReady().includes(entry.name);
  await common.until(isReady, 10_000);
  note(`${entry.name} is ready again`);
  return {from: stoppedAt, until: cell.clock.monotonic()};
}

await common.runCase({
  folderUrl: import.meta.url,
  settings: common.smallDeployment(),
  hasTrouble,
  play: async ({cell, note}) => {
    const told = await cell.callers.submit(job);
    if (told !== 'accepted') throw new Error(`the job is ${told}`);
    const areRunning = () =>
      tasks.every((task) => common.machineOf(cell, task) !== undefined);
    if (!(await common.until(areRunning, 10_000)))
      throw new Error('the tasks do not all run');
    await common.sleep(QUIET_MS);
    const disruptions = [];
    if (hasTrouble) {
      const machine = common.machineOf(cell, tasks[0]);
      common.loseMachine(cell, machine, tasks, note);
      const lostAt = cell.clock.monotonic();
      disruptions.push({from: lostAt, until: lostAt});
      const restarts = [];
      for (let nth = 0; nth < 2; nth++) {
        await common.sleep(STOP_GAP_MS);
        const holder = await common.findHolder(cell);
        restarts.push(restart(cell, holder, note));
      }
      disruptions.push(...(await Promise.all(restarts)));
      note('the last disruption is over');
    }
    await common.sleep(WATCH_MS);
    return common.describeStill(cell, tasks, disruptions);
  },
});
