/** A machine and the worker on it, through the worker's lives. */
import * as types from '@gypsumwall/types';
import * as worker from './worker.js';
import type * as workerList from './worker_list.js';

/** How the machine treats calls. */
export type MachineFault =
  | {readonly type: 'none'}
  /** Orders are refused and not carried out. */
  | {readonly type: 'unhealthy'}
  /** Orders get no answer, and are carried out later. */
  | {readonly type: 'late_orders'; readonly latestMs: number};

/** What the machine is. */
export interface MachineOptions {
  readonly name: string;
  readonly pool: string;
  readonly zone: string;
  readonly rack: string;
  readonly kind: string;
  readonly address: string;
  readonly worker: Omit<worker.WorkerOptions, 'id'>;
  readonly heartbeatMs: number;
  /** A worker goes on for so long after its leaving was announced. */
  readonly drainMs: number;
  /** A crashed worker is back after so long. */
  readonly restartMs: number;
}

/** A machine. */
export interface WorkerMachine {
  readonly name: string;
  /** Undefined while no worker runs there. */
  worker(): worker.Worker | undefined;
  fault(): MachineFault;
  setFault(fault: MachineFault): void;
  /** Announces that the worker leaves; resolves once it has left for good. */
  leave(): Promise<void>;
  /** Ends the worker; another life begins later. */
  crash(): Promise<void>;
  /** Ends all activity of the model. */
  stop(): void;
}

/** Creates a machine with a worker on it. */
export function createWorkerMachine(
  around: worker.WorkerSurroundings,
  list: workerList.WorkerList,
  options: MachineOptions,
): WorkerMachine {
  const {clock, history} = around;
  const stopped = new AbortController();
  let lives = 0;
  let current: worker.Worker | undefined;
  let fault: MachineFault = {type: 'none'};
  let leavesAt: types.clock.MonotonicMs | undefined;

  function beginLife(): void {
    lives += 1;
    const id = `${options.name}-${lives}`;
    const {capacity} = options.worker;
    current = worker.createWorker(around, {...options.worker, id});
    history.record({type: 'worker_up', workerId: id, capacity});
    void beat(current);
  }

  async function beat(life: worker.Worker): Promise<void> {
    for (let sequence = 1; current === life; sequence++) {
      if (stopped.signal.aborted) return;
      announce(life, sequence);
      await types.clock.pause(clock, options.heartbeatMs, stopped.signal);
    }
  }

  function announce(life: worker.Worker, sequence: number): void {
    const {pool, zone, rack, kind, address} = options;
    list.put({
      id: life.id,
      pool,
      zone,
      rack,
      kind,
      address,
      capacity: options.worker.capacity,
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

  function endLife(): worker.Worker | undefined {
    const life = current;
    current = undefined;
    life?.end();
    return life;
  }

  beginLife();
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
      announce(life, 0);
      await clock.sleepUntil(leavesAt, stopped.signal);
      if (current !== life) return;
      endLife();
      list.remove(life.id);
      history.record({type: 'worker_left', workerId: life.id});
    },
    async crash() {
      const life = endLife();
      if (life === undefined) return;
      history.record({type: 'worker_crashed', workerId: life.id});
      await types.clock.pause(clock, options.restartMs, stopped.signal);
      if (!stopped.signal.aborted) beginLife();
    },
    stop() {
      stopped.abort();
      endLife();
    },
  };
}
