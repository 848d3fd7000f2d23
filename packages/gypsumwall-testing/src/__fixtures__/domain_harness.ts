/**
 * One failure domain in one process: the real scheduler with worker models, a
 * fold of jobs in place of the log, and calls that can be delayed.
 */
import type * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as entry from '@gypsumwall/entry';
import * as placement from '@gypsumwall/placement';
import type * as platform from '@gypsumwall/platform';
import * as records from '@gypsumwall/records';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as history from '../history.js';
import type * as historyEvent from '../history_event.js';
import * as workerModel from '../worker_model.js';

/** A fault of the start calls to one worker. */
export type StartFault =
  | {readonly type: 'none'}
  /** The start takes effect, but its answer is lost. */
  | {readonly type: 'lose_answer'}
  /** The start arrives only after the promise resolves. */
  | {readonly type: 'hold'; readonly until: Promise<void>};

/**
 * Durations for tests: long enough for the calls to complete, short enough to
 * wait for.
 */
export const DURATIONS: entry.schedulerOptions.SchedulerDurations = {
  workerHeartbeatMs: 20,
  taskLeaseMs: 300,
  serviceLeaseMs: 60_000,
  leaseGraceMs: 50,
  listLagMs: 0,
};

const CAPACITY = {cpuMillis: 4_000, memoryMb: 4_096, accelerators: 0};
const TEAM = types.ids.brand<types.ids.TeamId>('night-plans');
const RACK = types.ids.brand<types.ids.RackId>('rack-1');
const DOMAIN = types.ids.brand<types.ids.FailureDomain>('bole-hall');

type Scheduler = entry.domainScheduler.DomainScheduler;

/** A holder of the failure domain and the switches that a test uses. */
export interface Holder {
  readonly scheduler: Scheduler;
  /** When the claim ends; undefined if it has lapsed. */
  claimDeadline: types.clock.MonotonicMs | undefined;
  /** Ids of the workers that this holder can't reach. */
  readonly unreachable: Set<string>;
}

/** Creates a failure domain with the given workers. */
export function createDomainHarness(
  context: nodeTest.TestContext,
  workerIds: readonly string[],
) {
  const clock = types.clock.createSystemClock();
  const recorded = history.createHistory('workers');
  const recentWorkers = entry.recoveryGate.createRecentWorkers();
  const startFaults = new Map<string, StartFault>();
  const listeners = new Set<(change: records.jobFold.JobChange) => void>();
  const jobs = records.jobFold.createJobFold((change) =>
    listeners.forEach((listener) => listener(change)),
  );
  const log = {isAccepting: true, appended: [] as string[]};
  const models = new Map(
    workerIds.map((id) => [
      id,
      workerModel.createWorkerModel({
        id,
        capacity: CAPACITY,
        clockOffsetMs: 5_000,
        usageLagMs: 0,
        random: types.random.createRandom(1),
        recorded,
        checkpoints: new Map(),
      }),
    ]),
  );
  const listed = workerIds.map((id) => ({
    kind: 'worker' as const,
    id: types.ids.brand<types.ids.WorkerId>(id),
    rack: RACK,
    failureDomain: DOMAIN,
    address: `http://${id}`,
    state: 'live' as const,
    capacity: CAPACITY,
  }));
  recentWorkers.record(
    listed.map((worker) => worker.id),
    types.clock.after(clock.monotonic(), -10_000),
  );
  recentWorkers.record(
    listed.map((worker) => worker.id),
    clock.monotonic(),
  );
  let offset = 0;

  function apply(record: records.domainRecords.DomainRecord): void {
    jobs.apply(offset, record, clock.monotonic());
    offset += 1;
  }

  function createHolder(epoch: number): Holder {
    const unreachable = new Set<string>();
    let attempts = 0;
    const placer = placement.createPlacer.createPlacer();
    placer.setTeam({
      id: TEAM,
      weight: 1,
      quota: {cpuMillis: 1e6, memoryMb: 1e6, accelerators: 1},
      packing: 0.5,
    });
    const scheduler = entry.domainScheduler.createDomainScheduler({
      epoch,
      self: types.ids.brand<types.ids.EntryId>(`holder-${epoch}`),
      hadPredecessor: epoch > 1,
      durations: DURATIONS,
      clock,
      logger: telemetry.logger.createLogger('silent'),
      tracer: telemetry.tracing.createTracer({instance: `holder-${epoch}`}),
      metrics: telemetry.metrics.createNoopMetrics(),
      placer,
      jobs,
      recentWorkers,
      nextAttempt: () => {
        attempts += 1;
        return types.ids.brand<types.ids.AttemptId>(`${epoch}.${attempts}`);
      },
      makeWorker: ({id}) => reachableWorker(id, unreachable),
      claimDeadline: () => holder.claimDeadline,
      append: (record) => {
        if (log.isAccepting) apply(record);
        log.appended.push(record.type);
        return Promise.resolve(log.isAccepting);
      },
    });
    const holder: Holder = {
      scheduler,
      claimDeadline: types.clock.after(clock.monotonic(), 60_000),
      unreachable,
    };
    listeners.add((change) => scheduler.onJobChange(change));
    scheduler.setWorkers(listed);
    context.after(() => scheduler.close());
    return holder;
  }

  /** Wraps a worker model with the calls and faults of the network. */
  function reachableWorker(
    id: string,
    unreachable: Set<string>,
  ): platform.worker.Worker {
    const model = models.get(id);
    if (model === undefined) throw new Error(`no worker "${id}"`);
    const call = async <Value>(run: () => Value) => {
      await Promise.resolve();
      if (unreachable.has(id)) return result.err(failure('timeout', 'cut'));
      try {
        return result.ok<Value, types.stepError.StepError>(run());
      } catch (thrown) {
        const {message} = thrown as Error;
        const stale = message.includes('epoch');
        return result.err(failure(stale ? 'stale_epoch' : 'conflict', message));
      }
    };
    return {
      attach: (epoch) => call(() => model.attach(epoch)),
      start: async (held, startBy, tasks) => {
        const fault = startFaults.get(id) ?? {type: 'none'};
        if (fault.type === 'hold') await fault.until;
        const answer = await call(() => model.start(held, startBy, tasks));
        if (fault.type !== 'lose_answer') return answer;
        startFaults.delete(id);
        return result.err(failure('timeout', 'answer lost'));
      },
      heartbeat: (held, leaseUntil, acknowledged) =>
        call(() => model.heartbeat(held, leaseUntil, acknowledged)),
      stop: (held, attempts) => call(() => model.stop(held, attempts)),
      throttle: (held, attempt, cpuMillis) =>
        call(() => model.throttle(held, attempt, cpuMillis)),
      checkpoint: (held, attempt) =>
        call(() => model.checkpoint(held, attempt)),
    };
  }

  function submit(name: string, runMs: number, tasks = 1): types.ids.JobId {
    const jobId = types.ids.makeJobId(DOMAIN, name);
    apply({
      type: 'job_accepted',
      jobId,
      key: types.ids.brand<types.ids.IdempotencyKey>(name),
      acceptedAt: clock.wall(),
      spec: {
        team: TEAM,
        shape: {kind: 'batch', tasks},
        jobClass: 'repayment-plan',
        urgency: 'normal',
        size: {cpuMillis: 1_000, memoryMb: 512, accelerators: 0},
        estimateMs: runMs,
        work: {command: 'plan', args: {runMs}},
      },
    });
    return jobId;
  }

  /** Sends a holder a list of workers on which this worker is leaving. */
  function markLeaving(holder: Holder, workerId: string): void {
    holder.scheduler.setWorkers(
      listed.map((worker) =>
        worker.id === workerId
          ? {...worker, state: 'leaving' as const}
          : worker,
      ),
    );
  }

  const events = () => recorded.since(0);
  return {
    clock,
    jobs,
    log,
    apply,
    createHolder,
    submit,
    markLeaving,
    startFaults,
    events,
    starts: () => events().filter((event) => event.type === 'task_started'),
  };
}

function failure(
  kind: types.stepError.StepErrorKind,
  message: string,
): types.stepError.StepError {
  const effect = kind === 'timeout' ? 'unknown' : 'not_run';
  return {kind, step: 'worker.call', peer: 'model', effect, message};
}

const WAIT_TIMEOUT_MS = 5_000;

/**
 * Waits until the condition is true; throws an error with the text after a
 * timeout.
 */
export async function until(
  text: string,
  condition: () => boolean,
): Promise<void> {
  const deadline = performance.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > deadline) throw new Error(`timed out: ${text}`);
    await new Promise((resolve) => setTimeout(resolve, 2));
  }
}

/**
 * Returns the maximum number of simultaneous attempts of one task, as the
 * workers recorded them.
 */
export function maxConcurrentAttempts(
  events: readonly historyEvent.HistoryEvent[],
): number {
  const running = new Map<string, number>();
  let max = 0;
  for (const event of events) {
    if (event.type !== 'task_started' && event.type !== 'task_ended') continue;
    const change = event.type === 'task_started' ? 1 : -1;
    const now = (running.get(event.taskId) ?? 0) + change;
    running.set(event.taskId, now);
    max = Math.max(max, now);
  }
  return max;
}
