/**
 * Asks the adviser on behalf of the scheduler, through the entry with the
 * shortest queue of calls.
 */
import * as result from 'true-myth/result';
import * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as ports from './ports.js';

/**
 * Timeout of a call: the expected duration of the call and those queued before
 * it, times this factor, plus the slack. An urgent job can spare about 500 ms.
 * With a slack of 1.5 s, jobs whose call went through a lost entry waited 1.74
 * s before the adviser was asked through another; milliseconds.
 */
const TIMEOUT_FACTOR = 2;
const ADVICE_SLACK_MS = 300;
/** Maximum age of an approval when it arrives through a peer; milliseconds. */
const ADVICE_TRANSIT_MS = 40;
/** Dependencies of an advice caller. */
export interface AdviceCallerParts {
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  /** Entries through which the adviser can be asked now, including this one. */
  readonly advisers: () => ReadonlyMap<string, ports.Adviser>;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly onAnswer: () => void;
}

/** Calls the adviser. */
export interface AdviceCaller {
  /** Sends one advice request of the scheduler and reports the answer to it. */
  ask(request: scheduling.schedulerTypes.AdviceRequest): Promise<void>;
  /** How many calls can be made now. */
  capacity(): scheduling.adviserPool.AdviceCapacity;
}

/** Creates the advice caller of a holder. */
export function createAdviceCaller(parts: AdviceCallerParts): AdviceCaller {
  const {scheduler, clock, logger} = parts;
  const pool = scheduling.adviserPool.createAdviserPool<string>();

  async function ask(
    request: scheduling.schedulerTypes.AdviceRequest,
  ): Promise<void> {
    const {stepRun, workers, callMs, needed} = request;
    const advisers = parts.advisers();
    const instance = pool.acquire([...advisers.keys()], callMs, needed);
    const adviser = instance === undefined ? undefined : advisers.get(instance);
    if (instance === undefined || adviser === undefined) {
      const never = 0 as types.clock.MonotonicMs;
      scheduler.onAdviceAnswered(request, undefined, never);
      return;
    }
    const askedAt = clock.monotonic();
    const timeoutMs =
      pool.queuedMs(instance) * TIMEOUT_FACTOR + ADVICE_SLACK_MS;
    const answer = await adviser.ask(stepRun.id, workers, timeoutMs);
    pool.release(instance, callMs);
    const now = clock.monotonic();
    const validMs = stepRun.job.policy.advice?.validMs ?? 0;
    scheduler.onAdviceAnswered(
      request,
      result.isOk(answer) ? answer.value : undefined,
      types.clock.after(now, validMs - ADVICE_TRANSIT_MS),
    );
    logger.info('advice_answered', {
      step: stepRun.id,
      by: instance,
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
    capacity: () => pool.capacity([...parts.advisers().keys()]),
  };
}
