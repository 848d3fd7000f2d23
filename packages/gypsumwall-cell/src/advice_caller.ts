/** Has the adviser asked, by whichever entry has the shortest line. */
import * as result from 'true-myth/result';
import * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';

/**
 * A call is given this many times what it and those before it in line take,
 * and the slack more. An urgent job has some 500 ms to spare: with a slack of
 * 1.5 s, those that asked through an entry that was lost waited 1.74 s before
 * they asked elsewhere; milliseconds.
 */
const PATIENCE_FACTOR = 2;
const ADVICE_SLACK_MS = 300;
/** An approval's age when it arrives through a peer, at most; milliseconds. */
const ADVICE_TRANSIT_MS = 40;
/** What a caller works on. */
export interface AdviceCallerParts {
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  /** Entries that may ask the adviser now, the own one among them. */
  readonly advisers: () => ReadonlyMap<string, ports.Adviser>;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly onAnswer: () => void;
}

/** The calls to the adviser. */
export interface AdviceCaller {
  /** Asks for one wish of the scheduler and tells it the answer. */
  ask(wish: scheduling.schedulerTypes.AdviceRequest): Promise<void>;
  /** How many calls can be made now. */
  capacity(): scheduling.adviserPool.AdviceCapacity;
}

/** Creates the caller of a holder. */
export function createAdviceCaller(parts: AdviceCallerParts): AdviceCaller {
  const {scheduler, clock, logger} = parts;
  const lanes = scheduling.adviserPool.createAdviserPool<string>();

  async function ask(
    wish: scheduling.schedulerTypes.AdviceRequest,
  ): Promise<void> {
    const {stepRun, workers, callMs, needed} = wish;
    const advisers = parts.advisers();
    const lane = lanes.acquire([...advisers.keys()], callMs, needed);
    const adviser = lane === undefined ? undefined : advisers.get(lane);
    if (lane === undefined || adviser === undefined) {
      const never = 0 as types.clock.MonotonicMs;
      scheduler.onAdviceAnswered(wish, undefined, never);
      return;
    }
    const askedAt = clock.monotonic();
    const timeoutMs = lanes.queuedMs(lane) * PATIENCE_FACTOR + ADVICE_SLACK_MS;
    const answer = await adviser.ask(stepRun.id, workers, timeoutMs);
    lanes.release(lane, callMs);
    const now = clock.monotonic();
    const validMs = stepRun.job.policy.advice?.validMs ?? 0;
    scheduler.onAdviceAnswered(
      wish,
      result.isOk(answer) ? answer.value : undefined,
      types.clock.after(now, validMs - ADVICE_TRANSIT_MS),
    );
    logger.info('advice_answered', {
      step: stepRun.id,
      by: lane,
      named: workers.length,
      approved: result.isOk(answer) ? answer.value.size : undefined,
      tookMs: Math.round(now - askedAt),
      error: result.isErr(answer)
        ? types.stepError.describeError(answer.error)
        : undefined,
    });
    parts.onAnswer();
  }

  return {
    ask,
    capacity: () => lanes.capacity([...parts.advisers().keys()]),
  };
}
