/** See `claim.txt`. */
import * as common from '../common/cell.mjs';

/** Whether the disruption is made; `TROUBLE=0` leaves it out. */
const hasTrouble = process.env['TROUBLE'] !== '0';

const MACHINES = 9;
/** Time for which the other work runs first; milliseconds. */
const BUSY_MS = 5_000;
/** From the start of the tasks that last to the loss, and on; milliseconds. */
const BEFORE_LOSS_MS = 1_500;
const BEFORE_KILL_MS = 500;
/** Time for which the tasks are watched afterwards; milliseconds. */
const WATCH_MS = 24_000;

function makeJob(jobId, cpuMillis, lasting) {
  const step = {
    taskCount: MACHINES,
    size: {cpuMillis, memoryMb: 4_096, accelerators: 0},
    workMs: 60_000,
    after: [],
    gang: false,
    lasting,
    savesProgress: false,
  };
  return {jobId, queue: 'watch', payload: 'tiles', steps: [step]};
}

// A machine has room for one task of the first job, and for two of the second
// one beside it.
const build = makeJob('5c0e7a21d94b36f8', 9_000, false);
const watch = makeJob('5c0e7a21d94b36f9', 3_500, true);
const tasks = Array.from(
  {length: MACHINES},
  (_, nth) => `${watch.jobId}.0.0.${nth}`,
);

async function submit(cell, job) {
  const told = await cell.callers.submit(job);
  if (told !== 'accepted') throw new Error(`${job.jobId} is ${told}`);
  const isRunning = (nth) =>
    common.machineOf(cell, `${job.jobId}.0.0.${nth}`) !== undefined;
  const areRunning = () =>
    Array.from({length: MACHINES}, (_, nth) => nth).every(isRunning);
  if (!(await common.until(areRunning, 10_000)))
    throw new Error(`the tasks of ${job.jobId} do not all run`);
}

await common.runCase({
  folderUrl: import.meta.url,
  settings: common.smallDeployment(),
  hasTrouble,
  play: async ({cell, note}) => {
    await submit(cell, build);
    await common.sleep(BUSY_MS);
    await submit(cell, watch);
    await common.sleep(BEFORE_LOSS_MS);
    const disruptions = [];
    if (hasTrouble) {
      const machine = common.machineOf(cell, tasks[0]);
      common.loseMachine(cell, machine, tasks, note);
      const lostAt = cell.clock.monotonic();
      disruptions.push({from: lostAt, until: lostAt});
      await common.sleep(BEFORE_KILL_MS);
      const holder = await common.findHolder(cell);
      const killedAt = cell.clock.monotonic();
      note(`${holder.name}, which holds the cell, is killed`);
      holder.kill();
      await common.until(() => !holder.isRunning(), 5_000);
      await common.until(() => holder.isRunning(), 5_000);
      const isReady = () => cell.balancer.listReady().includes(holder.name);
      await common.sleep(1_000);
      await common.until(isReady, 10_000);
      note(`${holder.name} is ready again; the last disruption is over`);
      disruptions.push({from: killedAt, until: cell.clock.monotonic()});
    }
    await common.sleep(WATCH_MS);
    return common.describeStill(cell, tasks, disruptions);
  },
});
