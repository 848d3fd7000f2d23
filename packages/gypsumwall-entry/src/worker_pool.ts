/** The holder's sessions with the workers of its domain, one per worker. */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';
import type * as schedulerOptions from './scheduler_options.js';
import * as workerSession from './worker_session.js';

/** Options of `createWorkerPool`. */
export interface WorkerPoolOptions {
  readonly scheduler: schedulerOptions.DomainSchedulerOptions;
  readonly mustRunOnce: (taskId: types.ids.TaskId) => boolean;
  readonly sessionEventsOf: (
    workerId: types.ids.WorkerId,
  ) => workerSession.SessionEvents;
  /** The worker is leaving or no longer listed, and gets no new tasks. */
  readonly onUnschedulable: (workerId: types.ids.WorkerId) => void;
  /** The worker is listed as live again, and attached. */
  readonly onSchedulable: (workerId: types.ids.WorkerId) => void;
  /** The worker is no longer listed and has no tasks left. */
  readonly onRemoved: (workerId: types.ids.WorkerId) => void;
  readonly hasTasks: (workerId: types.ids.WorkerId) => boolean;
  readonly signal: AbortSignal;
}

/** Sessions by worker. */
export interface WorkerPool {
  /** Sets the workers that are on the instance list. */
  setListed(listed: readonly platform.instanceList.ListedWorker[]): void;
  session(
    workerId: types.ids.WorkerId,
  ): workerSession.WorkerSession | undefined;
  listed(
    workerId: types.ids.WorkerId,
  ): platform.instanceList.ListedWorker | undefined;
  /** Ends the session of a worker that is not listed and has no tasks. */
  removeIfUnlisted(workerId: types.ids.WorkerId): void;
  size(): number;
  attachedCount(): number;
  /** Resolves once no session has a call in flight. */
  sessionsEnded(): Promise<void>;
}

interface PooledWorker {
  readonly session: workerSession.WorkerSession;
  readonly abort: AbortController;
  listed: platform.instanceList.ListedWorker;
  isUnlisted: boolean;
}

/** Creates an empty pool. */
export function createWorkerPool(options: WorkerPoolOptions): WorkerPool {
  const {scheduler} = options;
  const workers = new Map<types.ids.WorkerId, PooledWorker>();
  const loops = new Set<Promise<void>>();

  function addWorker(listed: platform.instanceList.ListedWorker): void {
    const abort = new AbortController();
    const {durations} = scheduler;
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
      mustRunOnce: options.mustRunOnce,
      claimDeadline: scheduler.claimDeadline,
      events: options.sessionEventsOf(listed.id),
    });
    workers.set(listed.id, {listed, session, abort, isUnlisted: false});
    const loop = session.run(AbortSignal.any([abort.signal, options.signal]));
    loops.add(loop);
    void loop.finally(() => loops.delete(loop));
  }

  function updateWorker(
    worker: PooledWorker,
    listed: platform.instanceList.ListedWorker,
  ): void {
    const wasSchedulable = !worker.isUnlisted && worker.listed.state === 'live';
    worker.listed = listed;
    worker.isUnlisted = false;
    const isSchedulable = listed.state === 'live';
    if (wasSchedulable && !isSchedulable) options.onUnschedulable(listed.id);
    if (!wasSchedulable && isSchedulable && worker.session.isAttached()) {
      options.onSchedulable(listed.id);
    }
  }

  function markUnlisted(id: types.ids.WorkerId, worker: PooledWorker): void {
    if (!worker.isUnlisted) options.onUnschedulable(id);
    // An unlisted worker may still run its tasks until their leases expire.
    worker.isUnlisted = true;
    removeIfUnlisted(id);
  }

  function removeIfUnlisted(id: types.ids.WorkerId): void {
    const worker = workers.get(id);
    if (worker?.isUnlisted !== true || options.hasTasks(id)) return;
    worker.abort.abort();
    workers.delete(id);
    options.onRemoved(id);
  }

  return {
    removeIfUnlisted,
    setListed: (listed) => {
      const present = new Set(listed.map((worker) => worker.id));
      for (const worker of listed) {
        const known = workers.get(worker.id);
        if (known === undefined) addWorker(worker);
        else updateWorker(known, worker);
      }
      for (const [id, worker] of workers) {
        if (!present.has(id)) markUnlisted(id, worker);
      }
    },
    session: (id) => workers.get(id)?.session,
    listed: (id) => workers.get(id)?.listed,
    sessionsEnded: async () => {
      await Promise.all(loops);
    },
    size: () => workers.size,
    attachedCount: () =>
      [...workers.values()].filter((worker) => worker.session.isAttached())
        .length,
  };
}
