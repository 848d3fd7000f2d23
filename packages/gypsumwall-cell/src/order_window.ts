/**
 * Bounds the start orders in flight. Orders that are sent without a bound queue
 * on a slow link or in a busy process until they time out, and each of them
 * then costs a stop, a poll and another start. The bound follows the latency of
 * the answers, as in delay-based congestion control (L. Brakmo et al., TCP
 * Vegas): it grows while answers are quick, and shrinks once they have queued.
 */
import * as types from '@gypsumwall/types';

/** Orders in flight at first, at least, and at most. */
const INITIAL_SIZE = 16;
const MIN_SIZE = 4;
const MAX_SIZE = 512;
/**
 * Latency above which an answer has queued: ten times the usual one, and a
 * third of an order's timeout; milliseconds.
 */
const MAX_LATENCY_MS = 80;
/** Factors of the size after a late and after a lost answer. */
const LATE_FACTOR = 0.9;
const LOST_FACTOR = 0.7;
/**
 * The size shrinks once in this time, since the answers of one window are late
 * together; milliseconds.
 */
const SHRINK_INTERVAL_MS = 100;

/** How an order ended: `sent` is false if it was not sent. */
export type OrderResult =
  | {readonly type: 'answered' | 'lost'; readonly latencyMs: number}
  | {readonly type: 'unsent'};

/** Options of a window. */
export interface OrderWindowOptions<Order> {
  readonly clock: types.clock.Clock;
  readonly send: (order: Order) => Promise<OrderResult>;
  /** Called when no order waits any more. */
  readonly onRoom: () => void;
}

/** Orders in flight, and those that wait for one of them to be answered. */
export interface OrderWindow<Order> {
  /** Sends an order, after those that wait. */
  add(order: Order): void;
  /** Whether orders wait, so that no more should be decided. */
  isFull(): boolean;
  /** Number of orders that are in flight or wait. */
  pending(): number;
  /** Maximum number of orders in flight now. */
  size(): number;
}

/** Creates an empty window. */
export function createOrderWindow<Order>(
  options: OrderWindowOptions<Order>,
): OrderWindow<Order> {
  const {clock} = options;
  const waiting: Order[] = [];
  let inFlight = 0;
  let size = INITIAL_SIZE;
  let shrinkableAt = clock.monotonic();

  function shrink(factor: number): void {
    const now = clock.monotonic();
    if (now < shrinkableAt) return;
    size = Math.max(MIN_SIZE, size * factor);
    shrinkableAt = types.clock.after(now, SHRINK_INTERVAL_MS);
  }

  function adapt(result: OrderResult): void {
    switch (result.type) {
      case 'unsent':
        return;
      case 'lost':
        shrink(LOST_FACTOR);
        return;
      case 'answered':
        if (result.latencyMs > MAX_LATENCY_MS) shrink(LATE_FACTOR);
        else size = Math.min(MAX_SIZE, size + 1 / size);
    }
  }

  async function sendOne(order: Order): Promise<void> {
    inFlight++;
    const result = await options.send(order);
    inFlight--;
    adapt(result);
    const wasFull = waiting.length > 0;
    sendWaiting();
    if (wasFull && waiting.length === 0) options.onRoom();
  }

  function sendWaiting(): void {
    const room = Math.max(0, Math.floor(size) - inFlight);
    const next = waiting.splice(0, room);
    for (const order of next) void sendOne(order);
  }

  return {
    add(order) {
      waiting.push(order);
      sendWaiting();
    },
    isFull: () => waiting.length > 0,
    pending: () => waiting.length + inFlight,
    size: () => Math.floor(size),
  };
}
