/**
 * Bounds the start orders in flight. Orders that are sent without a bound queue
 * on a slow link or in a busy process until they time out, and each of them
 * then costs a stop, a poll and another start. The bound follows the latency of
 * the answers, as in delay-based congestion control (L. Brakmo et al., TCP
 * Vegas): it grows while answers are quick, and shrinks once most of them have
 * queued.
 */
import * as types from '@gypsumwall/types';

/** Orders in flight at first, at least, and at most. */
const INITIAL_SIZE = 32;
const MIN_SIZE = 16;
const MAX_SIZE = 512;
/**
 * Latency beyond the shortest recent one above which an answer has queued, a
 * third of an order's timeout; milliseconds.
 */
const MAX_QUEUED_MS = 80;
/**
 * How long a latency is remembered at least; milliseconds. The shortest one
 * changes when orders go through peers, which collect them.
 */
const LATENCY_MEMORY_MS = 5_000;
/**
 * Orders in flight or waiting, as a multiple of the size, up to which more are
 * accepted: those that wait are sent while the next ones are decided. What is
 * added later waits behind them, however urgent it is.
 */
const ACCEPTED_FACTOR = 2;
/**
 * Share of late and lost answers from which on the size shrinks. What queues at
 * the holder or on its link delays nearly all answers; slow or lost workers, or
 * a slow peer that relays for a part of the workers, delay their own ones only.
 */
const MAX_LATE_SHARE = 0.5;
/**
 * Share of lost answers from which on it shrinks as well: on a slow path that
 * serves a part of the workers, more orders in flight would time out without
 * end.
 */
const MAX_LOST_SHARE = 0.1;
/** Factors of the size after a late and after a lost answer. */
const LATE_FACTOR = 0.9;
const LOST_FACTOR = 0.7;
/**
 * The size shrinks once in this time, since the answers of one window are late
 * together; milliseconds.
 */
const SHRINK_INTERVAL_MS = 100;

/** How an order ended; the latency is in milliseconds. */
export type OrderResult =
  | {readonly type: 'answered' | 'lost'; readonly latencyMs: number}
  | {readonly type: 'unsent'};

/** Options of a window. */
export interface OrderWindowOptions<Order> {
  readonly clock: types.clock.Clock;
  readonly send: (order: Order) => Promise<OrderResult>;
  /** Called when there is room again. */
  readonly onRoom: () => void;
}

/** Orders in flight, and those that wait for one of them to be answered. */
export interface OrderWindow<Order> {
  /** Sends an order, after those that wait. */
  add(order: Order): void;
  /** Number of orders that should be added now at most. */
  room(): number;
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
  /** Moving means over about one window of answers. */
  let lateShare = 0;
  let lostShare = 0;
  const shortest = createShortestLatency(clock);

  function addAnswer(isLate: boolean, isLost: boolean): void {
    lateShare += (Number(isLate) - lateShare) / size;
    lostShare += (Number(isLost) - lostShare) / size;
  }

  /** Shrinks the window if most answers are late, or a part of them is lost. */
  function shrinkIfLate(factor: number): void {
    const now = clock.monotonic();
    const isLate = lateShare >= MAX_LATE_SHARE || lostShare >= MAX_LOST_SHARE;
    if (!isLate || now < shrinkableAt) return;
    size = Math.max(MIN_SIZE, size * factor);
    shrinkableAt = types.clock.after(now, SHRINK_INTERVAL_MS);
  }

  function adapt(result: OrderResult): void {
    switch (result.type) {
      case 'unsent':
        return;
      case 'lost':
        addAnswer(true, true);
        shrinkIfLate(LOST_FACTOR);
        return;
      case 'answered':
        if (shortest.queuedMs(result.latencyMs) > MAX_QUEUED_MS) {
          addAnswer(true, false);
          shrinkIfLate(LATE_FACTOR);
        } else {
          addAnswer(false, false);
          size = Math.min(MAX_SIZE, size + 1 / size);
        }
    }
  }

  async function sendOne(order: Order): Promise<void> {
    inFlight++;
    const result = await options.send(order);
    inFlight--;
    adapt(result);
    sendWaiting();
    if (room() > 0) options.onRoom();
  }

  function room(): number {
    const accepted = Math.floor(size) * ACCEPTED_FACTOR;
    return Math.max(0, accepted - inFlight - waiting.length);
  }

  function sendWaiting(): void {
    const sendable = Math.max(0, Math.floor(size) - inFlight);
    const next = waiting.splice(0, sendable);
    for (const order of next) void sendOne(order);
  }

  return {
    add(order) {
      waiting.push(order);
      sendWaiting();
    },
    room,
    pending: () => waiting.length + inFlight,
    size: () => Math.floor(size),
  };
}

interface ShortestLatency {
  /** Returns by how much a latency exceeds the shortest recent one. */
  queuedMs(latencyMs: number): number;
}

function createShortestLatency(clock: types.clock.Clock): ShortestLatency {
  let before = Infinity;
  let current = Infinity;
  let startedAt = clock.monotonic();
  return {
    queuedMs(latencyMs) {
      if (clock.monotonic() - startedAt >= LATENCY_MEMORY_MS) {
        before = current;
        current = Infinity;
        startedAt = clock.monotonic();
      }
      current = Math.min(current, latencyMs);
      return latencyMs - Math.min(before, current);
    },
  };
}
