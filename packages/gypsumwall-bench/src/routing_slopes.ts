/**
 * Measures how the cost of routing grows with the number of upstreams, teams
 * and waiting requests.
 */
import * as v8 from 'node:v8';
import * as vm from 'node:vm';
import * as platform from '@gypsumwall/platform';
import * as routing from '@gypsumwall/routing';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as benchModule from './bench_module.js';
import * as routingRun from './routing_run.js';
import * as workload from './routing_workload.js';

const UPSTREAM_COUNTS = [30, 100, 300, 1_000];
const HEAP_UPSTREAM_COUNTS = [300, 1_000, 3_000, 10_000];
const VIEW_UPDATES = 200;
/**
 * Number of teams into which each of the two teams of the workload is split.
 */
const TEAM_SPLITS = [1, 6, 60, 300];
const QUEUE_LENGTHS = [1_000, 3_000, 10_000, 30_000];
const REQUESTS_PER_RUN = 6_000;
const LIST_LAG_MS = 1_000;

/** Runs the garbage collector, so that only reachable objects are measured. */
const collectGarbage = (() => {
  v8.setFlagsFromString('--expose-gc');
  return vm.runInNewContext('gc') as () => void;
})();

/** Measures all slopes and returns them as one table. */
export async function measureSlopes(
  seeds: readonly number[],
  createMeasuredRouter: routingRun.CreateRouter,
): Promise<benchModule.BenchTable> {
  const rows: Array<readonly (string | number)[]> = [];
  for (const upstreams of UPSTREAM_COUNTS) {
    rows.push([
      `CPU us/request at 0.7x, ${upstreams} upstreams`,
      await measureCpuMicros(seeds, createMeasuredRouter, 0.7, upstreams, 1),
    ]);
  }
  for (const teamSplit of TEAM_SPLITS) {
    rows.push([
      `CPU us/request at 2x, 30 upstreams, ${2 * teamSplit} teams`,
      await measureCpuMicros(seeds, createMeasuredRouter, 2, 30, teamSplit),
    ]);
  }
  for (const upstreams of UPSTREAM_COUNTS) {
    rows.push([
      `CPU us/view, 6 entries, ${upstreams} upstreams, nothing changed`,
      await measureViewMicros(upstreams),
    ]);
  }
  for (const upstreams of HEAP_UPSTREAM_COUNTS) {
    rows.push([
      `bytes/upstream, ${upstreams} upstreams, HTTP client without connections`,
      await measureBytesPerUpstream(upstreams),
    ]);
  }
  for (const waiting of QUEUE_LENGTHS) {
    rows.push([
      `bytes/queued request, ${waiting} queued, body not counted`,
      await measureBytesPerQueuedRequest(waiting),
    ]);
  }
  return {title: 'Slopes', columns: ['what', 'median'], rows};
}

async function measureCpuMicros(
  seeds: readonly number[],
  createMeasuredRouter: routingRun.CreateRouter,
  load: number,
  upstreams: number,
  teamSplit: number,
): Promise<number> {
  const cell = {entries: 1, upstreams, slots: 4};
  // The span is chosen so that the number of requests is the same at any size.
  const workMs = REQUESTS_PER_RUN * workload.MEAN_SERVICE_MS;
  const spanMs = workMs / (load * upstreams * cell.slots);
  const measured: number[] = [];
  for (const seed of seeds) {
    const figures = await routingRun.runOnce({
      seed,
      createRouter: createMeasuredRouter,
      cell,
      spanMs,
      load,
      teamSplit,
      fault: 'none',
    });
    measured.push(figures.cpuMicros);
  }
  measured.sort((left, right) => left - right);
  return measured[measured.length >> 1] ?? 0;
}

async function measureViewMicros(upstreams: number): Promise<number> {
  const clock = types.virtualClock.createVirtualClock();
  const listed = routingRun.listUpstreams({entries: 6, upstreams, slots: 8});
  const router = createRouter(clock, () => ({
    execute: () => new Promise(() => undefined),
    setMaxConnections: () => undefined,
    close: () => Promise.resolve(),
  }));
  const entries = Array.from({length: 6}, (_, index) => `e${index}`);
  const view = {upstreams: listed, entries};
  for (let now = 0; now <= 3 * LIST_LAG_MS; now += LIST_LAG_MS) {
    await clock.runUntil(now);
    router.setView(view);
  }
  const before = process.cpuUsage();
  for (let count = 0; count < VIEW_UPDATES; count += 1) router.setView(view);
  const used = process.cpuUsage(before);
  return (used.user + used.system) / VIEW_UPDATES;
}

async function measureBytesPerUpstream(upstreams: number): Promise<number> {
  const clock = types.virtualClock.createVirtualClock();
  const listed = routingRun.listUpstreams({entries: 1, upstreams, slots: 8});
  const before = readHeapBytes();
  const router = createRouter(clock, (upstream, connections) =>
    platform.httpUpstream.createHttpUpstream({
      id: upstream.id,
      address: upstream.address,
      connections,
      clock,
    }),
  );
  router.setView({upstreams: listed, entries: ['e0']});
  const heldBytes = readHeapBytes() - before;
  await router.close();
  return Math.round(heldBytes / upstreams);
}

async function measureBytesPerQueuedRequest(waiting: number): Promise<number> {
  const clock = types.virtualClock.createVirtualClock();
  const listed = routingRun.listUpstreams({entries: 1, upstreams: 1, slots: 1});
  const router = createRouter(clock, () => ({
    execute: () => new Promise(() => undefined),
    setMaxConnections: () => undefined,
    close: () => Promise.resolve(),
  }));
  const view = {upstreams: listed, entries: ['e0']};
  for (let now = 0; now <= 3 * LIST_LAG_MS; now += LIST_LAG_MS) {
    await clock.runUntil(now);
    router.setView(view);
  }
  const before = readHeapBytes();
  for (let sent = 0; sent < waiting; sent += 1) {
    void router.route(makeRequest(clock, sent));
  }
  const queued = router.status().queued;
  const heldBytes = readHeapBytes() - before;
  return Math.round(heldBytes / queued);
}

function createRouter(
  clock: types.clock.Clock,
  makeUpstream: routing.routerOptions.RouterOptions['makeUpstream'],
): routing.router.Router {
  return routing.createRouter.createRouter({
    entryId: 'e0',
    clock,
    makeUpstream,
    random: types.random.createRandom(1),
    logger: telemetry.logger.createLogger('silent'),
    listLagMs: LIST_LAG_MS,
    requestBoundMs: LIST_LAG_MS,
    defaults: {weight: 1, maxQueuedRequests: Infinity, retryBudget: 0.1},
  });
}

function makeRequest(
  clock: types.clock.Clock,
  count: number,
): routing.router.RoutedRequest {
  return {
    requestId: `r${count}`,
    team: types.ids.brand<types.ids.TeamId>('skyroute'),
    operation: 'airspace-check',
    urgency: 'urgent',
    idempotent: true,
    estimateMs: 1,
    body: NO_BODY,
    deadline: types.clock.after(clock.monotonic(), 1e9 + count),
  };
}

const NO_BODY = new Uint8Array();

function readHeapBytes(): number {
  // Objects freed by the first collection may make others unreachable.
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
