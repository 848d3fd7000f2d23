/** Cost of the holder's calls to workers: processor time and bytes. */
import * as childProcess from 'node:child_process';
import * as url from 'node:url';
import * as undici from 'undici';
import * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import type * as benchModule from './bench_module.js';
import type * as controlFakeWorker from './control_fake_worker.js';
import * as statistics from './statistics.js';

const TASKS_RUNNING = [0, 14, 50, 100];
const TASKS_STARTED = [1, 4, 16, 64];
const HOLDER: platform.worker.HolderCall = {
  epoch: 1,
  incarnation: types.ids.brand<types.ids.WorkerIncarnation>('stay-1'),
};
const LEASE = 1e9 as platform.worker.WorkerMs;
/** Calls at a time: a holder talks to many workers at once. */
const AT_ONCE = 16;

interface Cost {
  readonly cpuMicros: number;
  readonly bytes: number;
}

/** Tables of the cost of a heartbeat and of a start. */
export async function measureCalls(
  quick: boolean,
): Promise<benchModule.BenchTable[]> {
  const fake = childProcess.fork(
    url.fileURLToPath(new URL('./control_fake_worker.js', import.meta.url)),
  );
  try {
    const ready = (await nextMessage(
      fake,
    )) as controlFakeWorker.FakeWorkerReady;
    const base = `http://127.0.0.1:${ready.port}`;
    const calls = quick ? 1_000 : 5_000;
    // Code that is not yet compiled would count as the first row's cost.
    await measureHeartbeats(fake, base, 14, calls);
    const beats = [];
    for (const tasks of TASKS_RUNNING) {
      beats.push(await measureHeartbeats(fake, base, tasks, calls));
    }
    const starts = [];
    for (const tasks of TASKS_STARTED) {
      starts.push(await measureStarts(fake, base, tasks, calls));
    }
    return [
      toTable(
        'Heartbeat to a worker, by tasks running there',
        TASKS_RUNNING,
        beats,
      ),
      toTable('Call that starts tasks, by tasks in it', TASKS_STARTED, starts),
    ];
  } finally {
    fake.kill();
  }
}

function makeWorker(base: string, tasks: number): platform.worker.Worker {
  return platform.httpWorker.createHttpWorker({
    id: types.ids.brand<types.ids.WorkerId>('bench'),
    address: `${base}/tasks-${tasks}`,
    timeoutMs: 10_000,
    dispatcher: new undici.Agent({connections: AT_ONCE}),
  });
}

async function measureHeartbeats(
  fake: childProcess.ChildProcess,
  base: string,
  tasks: number,
  calls: number,
): Promise<Cost> {
  const worker = makeWorker(base, tasks);
  return costOf(fake, calls, async () => {
    const answer = await worker.heartbeat(HOLDER, LEASE, []);
    if (answer.isErr) throw new Error(answer.error.message);
  });
}

async function measureStarts(
  fake: childProcess.ChildProcess,
  base: string,
  tasks: number,
  calls: number,
): Promise<Cost> {
  const worker = makeWorker(base, tasks);
  const starts = Array.from({length: tasks}, (_, index) => ({
    taskId: types.ids.brand<types.ids.TaskId>(`merkato-hall.0123/${index}`),
    attempt: types.ids.brand<types.ids.AttemptId>(`123456.${index}`),
    size: {cpuMillis: 1_000, memoryMb: 2_048, accelerators: 0},
    work: {command: 'build-plan', args: {client: 'household-1234'}},
    leaseUntil: LEASE,
  }));
  return costOf(fake, calls, async () => {
    const answer = await worker.start(HOLDER, LEASE, starts);
    if (answer.isErr) throw new Error(answer.error.message);
  });
}

/** Cost of one call of many, with some under way at a time. */
async function costOf(
  fake: childProcess.ChildProcess,
  calls: number,
  callOnce: () => Promise<void>,
): Promise<Cost> {
  const bytesBefore = await bytesOf(fake);
  const before = process.cpuUsage();
  let left = calls;
  const caller = async () => {
    while (left > 0) {
      left -= 1;
      await callOnce();
    }
  };
  await Promise.all(Array.from({length: AT_ONCE}, caller));
  const used = process.cpuUsage(before);
  const ownMicros = used.user + used.system;
  const bytes = (await bytesOf(fake)) - bytesBefore;
  return {cpuMicros: ownMicros / calls, bytes: bytes / calls};
}

async function bytesOf(fake: childProcess.ChildProcess): Promise<number> {
  fake.send('bytes');
  return (await nextMessage(fake)) as number;
}

function nextMessage(fake: childProcess.ChildProcess): Promise<unknown> {
  fake.removeAllListeners('exit');
  return new Promise((resolve, reject) => {
    fake.once('message', resolve);
    fake.once('exit', (code) =>
      reject(new Error(`the fake worker ended with ${code}`)),
    );
  });
}

function toTable(
  title: string,
  sizes: readonly number[],
  costs: readonly Cost[],
): benchModule.BenchTable {
  const rows = sizes.map((size, index) => {
    const cost = costs[index];
    return [
      size,
      statistics.short(cost?.cpuMicros ?? NaN),
      statistics.short(cost?.bytes ?? NaN),
    ];
  });
  const slopeOf = (pick: (cost: Cost) => number) =>
    statistics.short(
      statistics.slope(
        sizes.map((x, index) => {
          const cost = costs[index];
          return {x, y: cost === undefined ? NaN : pick(cost)};
        }),
      ),
    );
  return {
    title,
    columns: ['tasks', 'CPU us a call', 'bytes a call'],
    rows: [
      ...rows,
      [
        'slope a task',
        slopeOf((cost) => cost.cpuMicros),
        slopeOf((cost) => cost.bytes),
      ],
    ],
  };
}
