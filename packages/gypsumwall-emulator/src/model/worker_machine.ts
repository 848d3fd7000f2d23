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
    'id' | 'onCrash' | 'capacityNoticeMs'
  >;
  readonly heartbeatMs: number;
  /** Time between the announcement that a worker leaves and its end. */
  readonly drainMs: number;
  /** Time after which a crashed worker starts again. */
  readonly restartMs: number;
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
  /** Ends the worker; its next incarnation starts after `restartMs`. */
  crash(culprit?: string): Promise<void>;
  /** Sets the capacity, which the next heartbeat reports. */
  setCapacity(capacity: types.resources.Resources): void;
  /** Ends the worker for good and stops its heartbeats. */
  stop(): void;
}

/** Time that the system has to apply a reported capacity. */
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
  let leavesAt: types.clock.MonotonicMs | undefined;
  let {capacity} = options.worker;

  function startWorker(): void {
    incarnations += 1;
    const id = `${options.name}-${incarnations}`;
    current = worker.createWorker(context, {
      ...options.worker,
      id,
      capacity,
      capacityNoticeMs: CAPACITY_NOTICE_MS + options.heartbeatMs,
      onCrash: (taskId) => void crash(taskId),
    });
    history.record({type: 'worker_up', workerId: id, capacity});
    void sendHeartbeats(current);
  }

  async function sendHeartbeats(life: worker.Worker): Promise<void> {
    for (let sequence = 1; current === life; sequence++) {
      if (stopped.signal.aborted) return;
      publishListing(life, sequence);
      await types.clock.sleepFor(clock, options.heartbeatMs, stopped.signal);
    }
  }

  function publishListing(life: worker.Worker, sequence: number): void {
    const {pool, zone, rack, kind, address} = options;
    list.put({
      id: life.id,
      pool,
      zone,
      rack,
      kind,
      address,
      capacity,
      draining: leavesAt !== undefined,
      leavesInMs: leavesInMs(),
      clockMs: life.clockMs(),
      sequence,
    });
  }

  function leavesInMs(): number | undefined {
    if (leavesAt === undefined) return undefined;
    return Math.max(0, Math.floor(leavesAt - clock.monotonic()));
  }

  function endWorker(): worker.Worker | undefined {
    const life = current;
    current = undefined;
    life?.terminate();
    return life;
  }

  async function crash(culprit?: string): Promise<void> {
    const life = endWorker();
    if (life === undefined) return;
    history.record({type: 'worker_crashed', workerId: life.id, culprit});
    await types.clock.sleepFor(clock, options.restartMs, stopped.signal);
    if (!stopped.signal.aborted) startWorker();
  }

  startWorker();
  return {
    name: options.name,
    worker: () => current,
    fault: () => fault,
    setFault: (wanted) => void (fault = wanted),
    async leave() {
      const life = current;
      if (life === undefined) return;
      leavesAt = types.clock.after(clock.monotonic(), options.drainMs);
      history.record({type: 'worker_draining', workerId: life.id});
      publishListing(life, 0);
      await clock.sleepUntil(leavesAt, stopped.signal);
      if (current !== life) return;
      endWorker();
      list.remove(life.id);
      history.record({type: 'worker_left', workerId: life.id});
    },
    crash,
    setCapacity(wanted) {
      capacity = wanted;
      current?.setCapacity(wanted);
    },
    stop() {
      stopped.abort();
      endWorker();
    },
  };
}
