/** Measures the processor time and bytes of the holder's calls to workers. */
import * as childProcess from 'node:child_process';
import * as url from 'node:url';
import * as undici from 'undici';
import * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import type * as benchModule from './bench_module.js';
import type * as controlFakeWorker from './control_fake_worker.js';
import * as statistics from './statistics.js';

const RUNNING_TASK_COUNTS = [0, 14, 50, 100];
const STARTED_TASK_COUNTS = [1, 4, 16, 64];
const HOLDER_CALL: platform.worker.HolderCall = {
  epoch: 1,
  incarnation: types.ids.brand<types.ids.WorkerIncarnation>('stay-1'),
};
const LEASE_UNTIL = 1e9 as platform.worker.WorkerMs;
/** Number of concurrent calls; a holder calls many workers at once. */
const CONCURRENT_CALLS = 16;

interface Cost {
  readonly cpuMicros: number;
  readonly bytes: number;
}

/** Measures the cost of heartbeats and of starts, one table each. */
export async function measureCalls(
  quick: boolean,
): Promise<benchModule.BenchTable[]> {
  const fake = childProcess.fork(
    url.fileURLToPath(new URL('./control_fake_worker.js', import.meta.url)),
  );
  try {
    const ready = (await receiveMessage(
      fake,
    )) as controlFakeWorker.FakeWorkerReady;
    const baseUrl = `http://127.0.0.1:${ready.port}`;
    const calls = quick ? 1_000 : 5_000;
    // Warms up, so that the first row does not include the cost of compilation.
    await measureHeartbeats(fake, baseUrl, 14, calls);
    const heartbeats = [];
    for (const tasks of RUNNING_TASK_COUNTS) {
      heartbeats.push(await measureHeartbeats(fake, baseUrl, tasks, calls));
    }
    const starts = [];
    for (const tasks of STARTED_TASK_COUNTS) {
      starts.push(await measureStarts(fake, baseUrl, tasks, calls));
    }
    return [
      buildTable(
        'Heartbeat to a worker, by tasks running there',
        RUNNING_TASK_COUNTS,
        heartbeats,
      ),
      buildTable(
        'Call that starts tasks, by tasks in it',
        STARTED_TASK_COUNTS,
        starts,
      ),
    ];
  } finally {
    fake.kill();
  }
}

function createWorker(baseUrl: string, tasks: number): platform.worker.Worker {
  return platform.httpWorker.createHttpWorker({
    id: types.ids.brand<types.ids.WorkerId>('bench'),
    address: `${baseUrl}/tasks-${tasks}`,
    timeoutMs: 10_000,
    dispatcher: new undici.Agent({connections: CONCURRENT_CALLS}),
  });
}

async function measureHeartbeats(
  fake: childProcess.ChildProcess,
  baseUrl: string,
  tasks: number,
  calls: number,
): Promise<Cost> {
  const worker = createWorker(baseUrl, tasks);
  return measureCost(fake, calls, async () => {
    const answer = await worker.heartbeat(HOLDER_CALL, LEASE_UNTIL, []);
    if (answer.isErr) throw new Error(answer.error.message);
  });
}

async function measureStarts(
  fake: childProcess.ChildProcess,
  baseUrl: string,
  tasks: number,
  calls: number,
): Promise<Cost> {
  const worker = createWorker(baseUrl, tasks);
  const starts = Array.from({length: tasks}, (_, index) => ({
    taskId: types.ids.brand<types.ids.TaskId>(`merkato-hall.0123/${index}`),
    attempt: types.ids.brand<types.ids.AttemptId>(`123456.${index}`),
    size: {cpuMillis: 1_000, memoryMb: 2_048, accelerators: 0},
    work: {command: 'build-plan', args: {client: 'household-1234'}},
    leaseUntil: LEASE_UNTIL,
  }));
  return measureCost(fake, calls, async () => {
    const answer = await worker.start(HOLDER_CALL, LEASE_UNTIL, starts);
    if (answer.isErr) throw new Error(answer.error.message);
  });
}

/**
 * Measures the mean cost of a call, with `CONCURRENT_CALLS` in flight at a
 * time.
 */
async function measureCost(
  fake: childProcess.ChildProcess,
  calls: number,
  callOnce: () => Promise<void>,
): Promise<Cost> {
  const bytesBefore = await readByteCount(fake);
  const before = process.cpuUsage();
  let remainingCalls = calls;
  const caller = async () => {
    while (remainingCalls > 0) {
      remainingCalls -= 1;
      await callOnce();
    }
  };
  await Promise.all(Array.from({length: CONCURRENT_CALLS}, caller));
  const used = process.cpuUsage(before);
  const ownMicros = used.user + used.system;
  const bytes = (await readByteCount(fake)) - bytesBefore;
  return {cpuMicros: ownMicros / calls, bytes: bytes / calls};
}

async function readByteCount(fake: childProcess.ChildProcess): Promise<number> {
  fake.send('bytes');
  return (await receiveMessage(fake)) as number;
}

function receiveMessage(fake: childProcess.ChildProcess): Promise<unknown> {
  fake.removeAllListeners('exit');
  return new Promise((resolve, reject) => {
    fake.once('message', resolve);
    fake.once('exit', (code) =>
      reject(new Error(`the fake worker ended with ${code}`)),
    );
  });
}

function buildTable(
  title: string,
  sizes: readonly number[],
  costs: readonly Cost[],
): benchModule.BenchTable {
  const rows = sizes.map((size, index) => {
    const cost = costs[index];
    return [
      size,
      statistics.formatNumber(cost?.cpuMicros ?? NaN),
      statistics.formatNumber(cost?.bytes ?? NaN),
    ];
  });
  const slopeOf = (valueOf: (cost: Cost) => number) =>
    statistics.formatNumber(
      statistics.fitSlope(
        sizes.map((x, index) => {
          const cost = costs[index];
          return {x, y: cost === undefined ? NaN : valueOf(cost)};
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
