/**
 * Counts starts at near and far places and the waits for near ones, and reports
 * each wait to the log.
 */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as jobRequest from './job_request.js';
import * as nearPlace from './near_place.js';
import type * as placements from './placements.js';
import type * as waitForPlace from './wait_for_place.js';

/** Counts since the scheduler was created. */
export interface NearCounts {
  /** Steps of accepted jobs that run slower in some places than in others. */
  readonly steps: number;
  /** Starts of tasks of such steps. */
  readonly nearStarts: number;
  readonly farStarts: number;
  readonly waitsBegun: number;
  /** Waits that ended with a start at the near place. */
  readonly waitsWon: number;
  /** Waits after which tasks started far. */
  readonly waitsLost: number;
  /** Time waited; milliseconds. */
  readonly waitedMs: number;
  /** Expected run time saved by the waits that were won; milliseconds. */
  readonly savedMs: number;
}

/** A wait for a near place begins or ends. */
export type NearEvent =
  | {
      readonly type: 'near_wait_begun';
      readonly step: string;
      readonly queue: string;
      /** Undefined if it is not known in which rack the room will be. */
      readonly rack: types.ids.RackId | undefined;
      /** Number of tasks that wait. */
      readonly tasks: number;
      /** Expected time until the end with a far start, and with the wait. */
      readonly farEndInMs: number;
      readonly nearEndInMs: number | undefined;
      /** Maximum duration of the wait. */
      readonly waitsAtMostMs: number;
    }
  | {
      readonly type: 'near_wait_ended';
      readonly step: string;
      readonly queue: string;
      readonly outcome: 'near' | waitForPlace.FarReason;
      readonly waitedMs: number;
      /** Expected run time that a near start saves. */
      readonly savedMs: number;
    };

/** The expected ends that a wait is based on, and its latest end. */
export interface WaitForecast {
  /** Undefined if no near place is foreseen. */
  readonly rack: types.ids.RackId | undefined;
  readonly farEndsAt: types.clock.MonotonicMs;
  readonly nearEndsAt: types.clock.MonotonicMs | undefined;
  readonly until: types.clock.MonotonicMs;
}

/** Records starts and waits. */
export interface NearStarts {
  onJobAdded(request: jobRequest.JobRequest): void;
  /** Tasks of a step wait, by a new decision. */
  onWaits(
    stepRun: activeJob.StepRun,
    wait: WaitForecast,
    now: types.clock.MonotonicMs,
  ): void;
  /** No task of a step waits any longer, by a new decision. */
  onStartsFar(
    stepRun: activeJob.StepRun,
    reason: waitForPlace.FarReason,
    now: types.clock.MonotonicMs,
  ): void;
  /** Tasks start. */
  onPlaced(
    placed: readonly placements.Placement[],
    now: types.clock.MonotonicMs,
  ): void;
  counts(): NearCounts;
}

/** Creates counters at zero. */
export function createNearStarts(
  onEvent: (event: NearEvent) => void,
): NearStarts {
  let steps = 0;
  let nearStarts = 0;
  let farStarts = 0;
  let waitsBegun = 0;
  let waitsWon = 0;
  let waitsLost = 0;
  let waitedMs = 0;
  let savedMs = 0;

  function endWait(
    stepRun: activeJob.StepRun,
    outcome: 'near' | waitForPlace.FarReason,
    now: types.clock.MonotonicMs,
  ): void {
    const {nearWait} = stepRun;
    if (nearWait?.since === undefined) return;
    const spentMs = now - nearWait.since;
    nearWait.since = undefined;
    waitedMs += spentMs;
    if (outcome === 'near') {
      waitsWon++;
      savedMs += nearWait.savedMs;
    } else waitsLost++;
    onEvent({
      type: 'near_wait_ended',
      step: stepRun.id,
      queue: stepRun.job.policy.queue,
      outcome,
      waitedMs: Math.round(spentMs),
      savedMs: Math.round(nearWait.savedMs),
    });
  }

  function countStarts(
    stepRun: activeJob.StepRun,
    placed: readonly placements.Placement[],
    now: types.clock.MonotonicMs,
  ): void {
    const {request} = stepRun;
    const workers = placed.map(({worker}) => worker);
    const near = request.gang
      ? nearPlace.isNear(request, workers)
        ? workers.length
        : 0
      : workers.filter((one) => nearPlace.isNear(request, [one])).length;
    nearStarts += near;
    farStarts += workers.length - near;
    const isWon = near > 0 && stepRun.waitingIndexes.length === 0;
    if (isWon) endWait(stepRun, 'near', now);
  }

  return {
    onJobAdded(request) {
      steps += request.steps.filter(nearPlace.hasNearPlace).length;
    },
    onWaits(stepRun, {rack, farEndsAt, nearEndsAt, until}, now) {
      const {nearWait} = stepRun;
      if (nearWait === undefined || nearWait.since !== undefined) return;
      nearWait.since = now;
      waitsBegun++;
      onEvent({
        type: 'near_wait_begun',
        step: stepRun.id,
        queue: stepRun.job.policy.queue,
        rack,
        tasks: nearWait.tasks,
        farEndInMs: Math.round(farEndsAt - now),
        nearEndInMs: nearEndsAt && Math.round(nearEndsAt - now),
        waitsAtMostMs: Math.round(until - now),
      });
    },
    onStartsFar: endWait,
    onPlaced(placed, now) {
      const byStep = new Map<activeJob.StepRun, placements.Placement[]>();
      for (const placement of placed) {
        const {stepRun} = placement;
        if (!nearPlace.hasNearPlace(stepRun.request)) continue;
        const others = byStep.get(stepRun);
        if (others === undefined) byStep.set(stepRun, [placement]);
        else others.push(placement);
      }
      for (const [stepRun, ofStep] of byStep) countStarts(stepRun, ofStep, now);
    },
    counts: () => ({
      steps,
      nearStarts,
      farStarts,
      waitsBegun,
      waitsWon,
      waitsLost,
      waitedMs,
      savedMs,
    }),
  };
}
