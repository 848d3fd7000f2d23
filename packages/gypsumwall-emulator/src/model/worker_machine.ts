/** A machine and the successive incarnations of the worker on it. */
import * as types from '@gypsumwall/types';
import * as worker from './worker.js';
import type * as workerList from './worker_list.js';

/** A fault of the machine that affects orders to its worker. */
export type MachineFault =
  | {readonly type: 'none'}
  /** Orders are refused and not carried out. */
  | {readonly type: 'unhealthy'}
  /** Orders get no answer and are carried out later. */
  | {readonly type: 'late_orders'; readonly maxDelayMs: number};

/** Options of {@link createWorkerMachine}. */
export interface MachineOptions {
  readonly name: string;
  readonly pool: string;
  readonly zone: string;
  readonly rack: string;
  readonly kind: string;
  readonly address: string;
  readonly worker: Omit<
    worker.WorkerOptions,
    'id' | 'bornMs' | 'onCrash' | 'capacityNoticeMs'
  >;
  readonly heartbeatMs: number;
  /** Time from the announcement that a worker leaves to that worker's end. */
  readonly drainMs: number;
  /** Time after which a crashed worker starts again. */
  readonly restartMs: number;
  /** Whether each incarnation of its worker has the same id. */
  readonly keepsId: boolean;
}

/** A machine that runs at most one worker. */
export interface WorkerMachine {
  readonly name: string;
  /** Returns the current worker; undefined while none runs. */
  worker(): worker.Worker | undefined;
  fault(): MachineFault;
  setFault(fault: MachineFault): void;
  /** Announces that the worker leaves; resolves once it has left. */
  leave(): Promise<void>;
  /**
   * Ends the worker; its next incarnation starts after `restartMs`. `culprit`
   * is the task that caused the crash, if a task did.
   */
  crash(culprit?: string): Promise<void>;
  /** Sets the capacity, which the next heartbeat reports. */
  setCapacity(capacity: types.resources.Resources): void;
  /** Ends the worker for good and stops its heartbeats. */
  stop(): void;
}

/**
 * Time that the system under test has to learn of a new capacity after the
 * heartbeat that reports the capacity.
 */
const CAPACITY_NOTICE_MS = 3_000;

/** Creates a machine and starts its worker. */
export function createWorkerMachine(
  context: worker.WorkerContext,
  list: workerList.WorkerList,
  options: MachineOptions,
): WorkerMachine {
  const {clock, history} = context;
  const stopped = new AbortController();
  let incarnations = 0;
  let current: worker.Worker | undefined;
  let fault: MachineFault = {type: 'none'};
  let leaveDeadline: types.clock.MonotonicMs | undefined;
  let {capacity} = options.worker;

  function startWorker(): void {
    incarnations += 1;
    const id = options.keepsId
      ? options.name
      : `${options.name}-${incarnations}`;
    const bornMs = Math.floor(clock.wall());
    current = worker.createWorker(context, {
      ...options.worker,
      id,
      bornMs,
      capacity,
      capacityNoticeMs: CAPACITY_NOTICE_MS + options.heartbeatMs,
      onCrash: (taskId) => void crash(taskId),
    });
    history.record({type: 'worker_up', workerId: id, capacity});
    void sendHeartbeats(current);
  }

  async function sendHeartbeats(incarnation: worker.Worker): Promise<void> {
    for (let sequence = 1; current === incarnation; sequence++) {
      if (stopped.signal.aborted) return;
      publishListing(incarnation, sequence);
      await types.clock.sleepFor(clock, options.heartbeatMs, stopped.signal);
    }
  }

  function publishListing(incarnation: worker.Worker, sequence: number): void {
    const {pool, zone, rack, kind, address} = options;
    list.put({
      id: incarnation.id,
      bornMs: incarnation.bornMs,
      pool,
      zone,
      rack,
      kind,
      address,
      capacity,
      draining: leaveDeadline !== undefined,
      leavesInMs: remainingMs(),
      clockMs: incarnation.clockMs(),
      sequence,
    });
  }

  function remainingMs(): number | undefined {
    if (leaveDeadline === undefined) return undefined;
    return Math.max(0, Math.floor(leaveDeadline - clock.monotonic()));
  }

  function endWorker(): worker.Worker | undefined {
    const incarnation = current;
    current = undefined;
    incarnation?.terminate();
    return incarnation;
  }

  async function crash(culprit?: string): Promise<void> {
    const incarnation = endWorker();
    if (incarnation === undefined) return;
    history.record({type: 'worker_crashed', workerId: incarnation.id, culprit});
    await types.clock.sleepFor(clock, options.restartMs, stopped.signal);
    if (!stopped.signal.aborted) startWorker();
  }

  startWorker();
  return {
    name: options.name,
    worker: () => current,
    fault: () => fault,
    setFault: (newFault) => void (fault = newFault),
    async leave() {
      const incarnation = current;
      if (incarnation === undefined) return;
      leaveDeadline = types.clock.after(clock.monotonic(), options.drainMs);
      history.record({type: 'worker_draining', workerId: incarnation.id});
      publishListing(incarnation, 0);
      await clock.sleepUntil(leaveDeadline, stopped.signal);
      if (current !== incarnation) return;
      endWorker();
      list.remove(incarnation.id);
      history.record({type: 'worker_left', workerId: incarnation.id});
    },
    crash,
    setCapacity(newCapacity) {
      capacity = newCapacity;
      current?.setCapacity(newCapacity);
    },
    stop() {
      stopped.abort();
      endWorker();
    },
  };
}
