/** The holder's sessions with the workers of its domain, one for each. */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';
import type * as schedulerOptions from './scheduler_options.js';
import * as workerSession from './worker_session.js';

/** What is needed. */
export interface WorkerPoolOptions {
  readonly scheduler: schedulerOptions.DomainSchedulerOptions;
  readonly runsOnce: (taskId: types.ids.TaskId) => boolean;
  readonly eventsOf: (
    workerId: types.ids.WorkerId,
  ) => workerSession.SessionEvents;
  /** No new work there: it leaves, or is off the list. */
  readonly onClosed: (workerId: types.ids.WorkerId) => void;
  /** Back on the list as live, and attached. */
  readonly onReopened: (workerId: types.ids.WorkerId) => void;
  /** Off the list, and nothing runs there any more. */
  readonly onForgotten: (workerId: types.ids.WorkerId) => void;
  readonly hasTasks: (workerId: types.ids.WorkerId) => boolean;
  readonly signal: AbortSignal;
}

/** The sessions. */
export interface WorkerPool {
  /** Workers as the list shows them now. */
  setListed(listed: readonly platform.instanceList.ListedWorker[]): void;
  session(
    workerId: types.ids.WorkerId,
  ): workerSession.WorkerSession | undefined;
  listed(
    workerId: types.ids.WorkerId,
  ): platform.instanceList.ListedWorker | undefined;
  /** Ends the session of a worker that is off the list. */
  forgetIfGone(workerId: types.ids.WorkerId): void;
  size(): number;
  attached(): number;
  /** Resolves when no session has a call under way any more. */
  ended(): Promise<void>;
}

interface PooledWorker {
  readonly session: workerSession.WorkerSession;
  readonly abort: AbortController;
  listed: platform.instanceList.ListedWorker;
  gone: boolean;
}

/** Makes an empty pool. */
export function createWorkerPool(options: WorkerPoolOptions): WorkerPool {
  const {scheduler} = options;
  const workers = new Map<types.ids.WorkerId, PooledWorker>();
  const loops = new Set<Promise<void>>();

  function add(listed: platform.instanceList.ListedWorker): void {
    const abort = new AbortController();
    const {durations: durations} = scheduler;
    const session = workerSession.createWorkerSession({
      workerId: listed.id,
      worker: scheduler.makeWorker(listed),
      epoch: scheduler.epoch,
      self: scheduler.self,
      clock: scheduler.clock,
      logger: scheduler.logger,
      tracer: scheduler.tracer,
      metrics: scheduler.metrics,
      heartbeatMs: durations.workerHeartbeatMs,
      leaseMs: durations.taskLeaseMs,
      graceMs: durations.leaseGraceMs,
      runsOnce: options.runsOnce,
      claimDeadline: scheduler.claimDeadline,
      events: options.eventsOf(listed.id),
    });
    workers.set(listed.id, {listed, session, abort, gone: false});
    const loop = session.run(AbortSignal.any([abort.signal, options.signal]));
    loops.add(loop);
    void loop.finally(() => loops.delete(loop));
  }

  function update(
    worker: PooledWorker,
    listed: platform.instanceList.ListedWorker,
  ): void {
    const wasOpen = !worker.gone && worker.listed.state === 'live';
    worker.listed = listed;
    worker.gone = false;
    const isOpen = listed.state === 'live';
    if (wasOpen && !isOpen) options.onClosed(listed.id);
    if (!wasOpen && isOpen && worker.session.isAttached()) {
      options.onReopened(listed.id);
    }
  }

  function drop(id: types.ids.WorkerId, worker: PooledWorker): void {
    if (!worker.gone) options.onClosed(id);
    // Off the list is not stopped: its tasks count until leases lapse.
    worker.gone = true;
    forgetIfGone(id);
  }

  function forgetIfGone(id: types.ids.WorkerId): void {
    const worker = workers.get(id);
    if (worker?.gone !== true || options.hasTasks(id)) return;
    worker.abort.abort();
    workers.delete(id);
    options.onForgotten(id);
  }

  return {
    forgetIfGone,
    setListed: (listed) => {
      const present = new Set(listed.map((worker) => worker.id));
      for (const worker of listed) {
        const known = workers.get(worker.id);
        if (known === undefined) add(worker);
        else update(known, worker);
      }
      for (const [id, worker] of workers) {
        if (!present.has(id)) drop(id, worker);
      }
    },
    session: (id) => workers.get(id)?.session,
    listed: (id) => workers.get(id)?.listed,
    ended: async () => {
      await Promise.all(loops);
    },
    size: () => workers.size,
    attached: () =>
      [...workers.values()].filter((worker) => worker.session.isAttached())
        .length,
  };
}
