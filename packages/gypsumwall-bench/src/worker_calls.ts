/**
 * How orders reach workers and their reports come back: by the decider's own
 * calls, or in batches through helpers that make the calls.
 */
import type * as types from '@gypsumwall/types';
import type * as virtualProcess from './virtual_process.js';
import type * as virtualTimeline from './virtual_timeline.js';

/** Processor time of a call and of one more item in a batch; milliseconds. */
export const CALL_MS = 0.25;
export const ITEM_MS = 0.02;
/** Round trip between two processes; milliseconds. */
export const ORDER_MS = 3;
/** For how long a helper gathers what it hands on; milliseconds. */
const GATHER_MS = 5;

/** An order to a worker. */
export interface Order {
  readonly workerId: types.ids.WorkerId;
  /** At the worker. */
  arrive(): void;
  /** At the decider, once the worker has answered. */
  answer(): void;
}

/** The calls of one decider to workers. */
export interface WorkerCalls {
  send(orders: readonly Order[]): void;
  /** Brings a worker's report to the decider. */
  bring(workerId: types.ids.WorkerId, apply: () => void): void;
}

/** Calls that the decider makes itself. */
export function createDirectCalls(
  timeline: virtualTimeline.VirtualTimeline,
  process: virtualProcess.VirtualProcess,
): WorkerCalls {
  return {
    send(orders) {
      for (const order of orders) {
        process.handle(CALL_MS, () => {
          timeline.later(ORDER_MS / 2, () => order.arrive());
          timeline.later(ORDER_MS, () =>
            process.handle(0, () => order.answer()),
          );
        });
      }
    },
    bring: (_, apply) => process.handle(CALL_MS, apply),
  };
}

/** Calls that helpers make, each for its own workers. */
export function createHelpedCalls(
  timeline: virtualTimeline.VirtualTimeline,
  process: virtualProcess.VirtualProcess,
  helperOf: (workerId: types.ids.WorkerId) => virtualProcess.VirtualProcess,
): WorkerCalls {
  const gathered = new Map<virtualProcess.VirtualProcess, (() => void)[]>();

  function handOn(helper: virtualProcess.VirtualProcess): void {
    const items = gathered.get(helper) ?? [];
    gathered.delete(helper);
    helper.handle(CALL_MS, () => {
      timeline.later(ORDER_MS / 2, () => {
        const costMs = CALL_MS + items.length * ITEM_MS;
        process.handle(costMs, () => {
          for (const item of items) item();
        });
      });
    });
  }

  function gather(
    helper: virtualProcess.VirtualProcess,
    item: () => void,
  ): void {
    const items = gathered.get(helper);
    if (items !== undefined) {
      items.push(item);
      return;
    }
    gathered.set(helper, [item]);
    timeline.later(GATHER_MS, () => handOn(helper));
  }

  function call(helper: virtualProcess.VirtualProcess, order: Order): void {
    helper.handle(CALL_MS, () => {
      timeline.later(ORDER_MS / 2, () => order.arrive());
      timeline.later(ORDER_MS, () => gather(helper, () => order.answer()));
    });
  }

  return {
    send(orders) {
      const batches = new Map<virtualProcess.VirtualProcess, Order[]>();
      for (const order of orders) {
        const helper = helperOf(order.workerId);
        const batch = batches.get(helper) ?? [];
        batches.set(helper, batch);
        batch.push(order);
      }
      for (const [helper, batch] of batches) {
        process.handle(CALL_MS + batch.length * ITEM_MS, () => {
          timeline.later(ORDER_MS / 2, () => {
            for (const order of batch) call(helper, order);
          });
        });
      }
    },
    bring(workerId, apply) {
      const helper = helperOf(workerId);
      helper.handle(CALL_MS, () => gather(helper, apply));
    },
  };
}

/** Calls that another decider makes; only it talks to the workers. */
export function createRelayedCalls(
  timeline: virtualTimeline.VirtualTimeline,
  process: virtualProcess.VirtualProcess,
  calls: WorkerCalls,
): WorkerCalls {
  const back = (work: () => void) => () =>
    timeline.later(ORDER_MS / 2, () => process.handle(ITEM_MS, work));
  return {
    send(orders) {
      calls.send(
        orders.map((order) => ({
          ...order,
          answer: back(() => order.answer()),
        })),
      );
    },
    bring: (workerId, apply) => calls.bring(workerId, back(apply)),
  };
}
