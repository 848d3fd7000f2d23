/**
 * Runs the scheduling cycles of a holder, and carries out what they decide:
 * stops, starts within the order window, and calls to the adviser.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import type * as types from '@gypsumwall/types';
import type * as adviceCaller from './advice_caller.js';
import * as batchDelay from './batch_delay.js';
import * as holderLoad from './holder_load.js';
import * as orderWindow from './order_window.js';
import * as workerRoom from './worker_room.js';
import type * as workerSession from './worker_session.js';

/**
 * Minimum pause between two scheduling cycles, so that changes that arrive
 * together are handled in one cycle; milliseconds.
 */
const CYCLE_INTERVAL_MS = 3;
/**
 * A scheduling cycle over a long queue takes milliseconds. The pause after a
 * cycle is this many times the cycle's duration, so that scheduling takes at
 * most a fifth of the processor and leaves the rest to the calls.
 */
const CYCLE_INTERVAL_FACTOR = 4;
/**
 * Tasks that could start with the advice that they have, as a multiple of the
 * orders in flight at most: enough until the next answers of the adviser.
 */
const READY_FACTOR = 4;

/** Dependencies of the loop. */
export interface SchedulingLoopParts {
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  readonly adviceCalls: adviceCaller.AdviceCaller;
  /** The session with a worker; undefined if there is none. */
  readonly session: (
    worker: types.ids.WorkerId,
  ) => workerSession.WorkerSession | undefined;
  /** Whether leases may be granted and renewed now. */
  readonly mayRenew: () => boolean;
  /** Updates what the scheduler knows of the worker list. */
  readonly checkListEntries: () => void;
  /** Stores changed progress. */
  readonly flush: () => Promise<void>;
  /** Called when a start is sent. */
  readonly onStart: (attempt: scheduling.activeJob.Attempt) => void;
  /** Recent latency of the appends of progress; milliseconds. */
  readonly commitLatencyMs: () => number;
  /** Busy share of this process's event loop, from 0 to 1. */
  readonly loopUtilization: () => number;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
}

/** Decides while it is started. */
export interface SchedulingLoop {
  start(): void;
  stop(): void;
  isStarted(): boolean;
  /** Runs a cycle soon, unless the loop is stopped. */
  requestCycle(): void;
  /** Number of start orders that are in flight or wait. */
  pendingOrders(): number;
  /** Handles what depends only on time. */
  tick(): void;
}

/** Creates a stopped loop. */
export function createSchedulingLoop(
  parts: SchedulingLoopParts,
): SchedulingLoop {
  const {scheduler, clock, logger} = parts;
  const orders =
    orderWindow.createOrderWindow<scheduling.schedulerTypes.StartOrder>({
      clock,
      send: startAttempt,
      onRoom: requestCycle,
    });
  const load = holderLoad.createHolderLoad({clock, logger, state: readState});
  let isStarted = false;
  let isCycleScheduled = false;
  let lastCycleMs = 0;

  function readState(): holderLoad.HolderState {
    const {waitingSteps, runs, near} = scheduler.counts();
    return {
      loopUtilization: parts.loopUtilization(),
      pendingOrders: orders.pending(),
      windowSize: orders.size(),
      waitingSteps,
      runs,
      usedPercent: workerRoom.usedPercent(
        workerRoom.sumRoom(scheduler.workerRegistry.workers.values()),
      ),
      nearSteps: near.steps,
      nearStarts: near.nearStarts,
      farStarts: near.farStarts,
      nearWaits: near.waitsBegun,
      nearWaitsWon: near.waitsWon,
    };
  }

  function requestCycle(): void {
    if (isCycleScheduled || !isStarted) return;
    isCycleScheduled = true;
    setTimeout(
      runCycle,
      Math.max(
        batchDelay.batchDelayMs(CYCLE_INTERVAL_MS, parts.loopUtilization()),
        lastCycleMs * CYCLE_INTERVAL_FACTOR,
      ),
    );
  }

  function runCycle(): void {
    isCycleScheduled = false;
    if (!isStarted) return;
    sendStops();
    // Each start grants a lease, so nothing is started while leases may not be
    // renewed.
    if (!parts.mayRenew()) return;
    // What is decided now would wait behind the orders that wait already.
    if (orders.room() === 0) {
      load.onSkippedCycle();
      void parts.flush();
      return;
    }
    const {starts, advice} = decide();
    void parts.flush();
    for (const order of starts) orders.add(order);
    for (const request of advice) {
      load.onAdviceCall();
      void parts.adviceCalls.ask(request);
    }
  }

  function decide(): scheduling.schedulerTypes.Decisions {
    const startedAt = clock.monotonic();
    scheduler.setCommitLatency(parts.commitLatencyMs());
    parts.checkListEntries();
    const decisions = scheduler.decide(
      startedAt,
      clock.wall(),
      parts.adviceCalls.capacity(),
      {starts: orders.room(), ready: orders.size() * READY_FACTOR},
    );
    lastCycleMs = clock.monotonic() - startedAt;
    load.onCycle(lastCycleMs);
    return decisions;
  }

  function sendStops(): void {
    for (const attempt of scheduler.takeStops()) {
      logger.info('stop_decided', {
        task: attempt.taskId,
        attempt: attempt.number,
        worker: attempt.workerId,
      });
      void parts.session(attempt.workerId)?.stopAttempt(attempt);
    }
  }

  async function startAttempt(
    order: scheduling.schedulerTypes.StartOrder,
  ): Promise<orderWindow.OrderResult> {
    const {attempt} = order;
    const session = parts.session(attempt.workerId);
    // The attempt may have been stopped while its order waited.
    const isDue = isStarted && scheduler.isStartDue(attempt);
    if (isDue && session !== undefined) {
      load.onStart();
      parts.onStart(attempt);
      return session.start(order);
    }
    scheduler.onStartAnswered(
      attempt,
      isDue ? {type: 'refused', reason: 'other'} : {type: 'unsent'},
      clock.monotonic(),
    );
    return {type: 'unsent'};
  }

  return {
    start() {
      isStarted = true;
    },
    stop() {
      isStarted = false;
    },
    isStarted: () => isStarted,
    requestCycle,
    pendingOrders: () => orders.pending(),
    tick: () => load.tick(),
  };
}
