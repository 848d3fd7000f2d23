/**
 * Transports for orders to workers and for their reports: the decider either
 * calls the workers itself, or exchanges batches with helper processes that
 * make the calls.
 */
import type * as types from '@gypsumwall/types';
import type * as virtualProcess from './virtual_process.js';
import type * as virtualTimeline from './virtual_timeline.js';

/** Processor time of a call. */
export const CALL_COST_MS = 0.25;
/** Processor time of each item in a batch. */
export const BATCH_ITEM_COST_MS = 0.02;
/** Round trip between two processes. */
export const ROUND_TRIP_MS = 3;
/**
 * Time for which a helper collects answers and reports before it forwards them.
 */
const BATCH_WINDOW_MS = 5;

/** An order to start or stop a task on a worker. */
export interface Order {
  readonly workerId: types.ids.WorkerId;
  /** Called when the order reaches the worker. */
  onArrival(): void;
  /** Called at the decider when it receives the worker's answer. */
  onAnswer(): void;
}

/** The transport between one decider and the workers. */
export interface WorkerCalls {
  send(orders: readonly Order[]): void;
  /** Delivers a worker's report to the decider. */
  deliverReport(workerId: types.ids.WorkerId, apply: () => void): void;
}

/** Creates a transport in which the decider calls the workers itself. */
export function createDirectCalls(
  timeline: virtualTimeline.VirtualTimeline,
  process: virtualProcess.VirtualProcess,
): WorkerCalls {
  return {
    send(orders) {
      for (const order of orders) {
        process.enqueue(CALL_COST_MS, () => {
          timeline.schedule(ROUND_TRIP_MS / 2, () => order.onArrival());
          timeline.schedule(ROUND_TRIP_MS, () =>
            process.enqueue(0, () => order.onAnswer()),
          );
        });
      }
    },
    deliverReport: (_, apply) => process.enqueue(CALL_COST_MS, apply),
  };
}

/**
 * Creates a transport in which helpers call the workers; each worker has one
 * helper.
 */
export function createHelperCalls(
  timeline: virtualTimeline.VirtualTimeline,
  process: virtualProcess.VirtualProcess,
  helperOf: (workerId: types.ids.WorkerId) => virtualProcess.VirtualProcess,
): WorkerCalls {
  const pendingBatches = new Map<
    virtualProcess.VirtualProcess,
    (() => void)[]
  >();

  function forwardBatch(helper: virtualProcess.VirtualProcess): void {
    const items = pendingBatches.get(helper) ?? [];
    pendingBatches.delete(helper);
    helper.enqueue(CALL_COST_MS, () => {
      timeline.schedule(ROUND_TRIP_MS / 2, () => {
        const costMs = CALL_COST_MS + items.length * BATCH_ITEM_COST_MS;
        process.enqueue(costMs, () => {
          for (const item of items) item();
        });
      });
    });
  }

  function addToBatch(
    helper: virtualProcess.VirtualProcess,
    item: () => void,
  ): void {
    const items = pendingBatches.get(helper);
    if (items !== undefined) {
      items.push(item);
      return;
    }
    pendingBatches.set(helper, [item]);
    timeline.schedule(BATCH_WINDOW_MS, () => forwardBatch(helper));
  }

  function callWorker(
    helper: virtualProcess.VirtualProcess,
    order: Order,
  ): void {
    helper.enqueue(CALL_COST_MS, () => {
      timeline.schedule(ROUND_TRIP_MS / 2, () => order.onArrival());
      timeline.schedule(ROUND_TRIP_MS, () =>
        addToBatch(helper, () => order.onAnswer()),
      );
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
        process.enqueue(
          CALL_COST_MS + batch.length * BATCH_ITEM_COST_MS,
          () => {
            timeline.schedule(ROUND_TRIP_MS / 2, () => {
              for (const order of batch) callWorker(helper, order);
            });
          },
        );
      }
    },
    deliverReport(workerId, apply) {
      const helper = helperOf(workerId);
      helper.enqueue(CALL_COST_MS, () => addToBatch(helper, apply));
    },
  };
}

/**
 * Creates a transport that goes through another decider, the only one that
 * calls the workers.
 */
export function createRelayedCalls(
  timeline: virtualTimeline.VirtualTimeline,
  process: virtualProcess.VirtualProcess,
  calls: WorkerCalls,
): WorkerCalls {
  const deliverBack = (work: () => void) => () =>
    timeline.schedule(ROUND_TRIP_MS / 2, () =>
      process.enqueue(BATCH_ITEM_COST_MS, work),
    );
  return {
    send(orders) {
      calls.send(
        orders.map((order) => ({
          ...order,
          onAnswer: deliverBack(() => order.onAnswer()),
        })),
      );
    },
    deliverReport: (workerId, apply) =>
      calls.deliverReport(workerId, deliverBack(apply)),
  };
}
