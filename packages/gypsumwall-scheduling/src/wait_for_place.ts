/**
 * Decides whether a task, or a gang, starts far from its data or group now, or
 * waits for a near place. It is a pure comparison of expected ends: the caller
 * passes in what it has forecast.
 */
import * as types from '@gypsumwall/types';

/** The choice between a far place that is free now and a near one. */
export interface PlaceOptions {
  readonly now: types.clock.MonotonicMs;
  /** Expected run time at the near place; milliseconds. */
  readonly nearRunMs: number;
  /** Expected run time at the far place; milliseconds. */
  readonly farRunMs: number;
  /** Expected start at the near place; undefined if none is foreseen. */
  readonly nearStartsAt: types.clock.MonotonicMs | undefined;
  /** Latest end of the step with which its job meets its objective. */
  readonly dueAt: types.clock.MonotonicMs;
  /** When the step has waited for as long as it may. */
  readonly waitEndsAt: types.clock.MonotonicMs;
}

/** Why a step starts far. */
export type FarReason =
  /** The step has waited for as long as it may. */
  | 'waited_enough'
  /** Not even an immediate start at the near place would be on time. */
  | 'late'
  /** No start at the near place is foreseen. */
  | 'no_near_room'
  /** The wait isn't expected to gain enough. */
  | 'no_gain';

/** What a step does. */
export type PlaceDecision =
  | {
      readonly type: 'wait';
      /** The decision holds until this moment at the latest. */
      readonly until: types.clock.MonotonicMs;
    }
  | {readonly type: 'start_far'; readonly reason: FarReason};

/** Decides between a far place and a wait for a near one. */
export type DecidePlace = (options: PlaceOptions) => PlaceDecision;

/** The wait of a step for a near place; it lasts while `tasks` is above 0. */
export interface NearWait {
  /** When the step must stop waiting, since it first could have started far. */
  readonly endsAt: types.clock.MonotonicMs;
  /** Number of its tasks that wait, by the last decision. */
  tasks: number;
  /** The rack that is waited for; undefined while nothing waits. */
  rack?: types.ids.RackId;
  /** The last decision holds until this moment. */
  recheckAt: types.clock.MonotonicMs;
  /** Since when tasks wait without interruption. */
  since?: types.clock.MonotonicMs;
  /** Expected run time that a near start saves; milliseconds. */
  savedMs: number;
}

/**
 * A wait may turn out longer than forecast by this factor and still gain, since
 * ends of tasks are only estimated.
 */
const WAIT_ERROR_FACTOR = 1.5;
/**
 * A wait gains at least this; one that gains less isn't worth the reservation
 * and the repeated forecasts.
 */
const MIN_GAIN_MS = 50;
/** Maximum total wait of a step, whatever its estimated run time. */
const MAX_WAIT_MS = 10_000;

/**
 * Returns when a step that could start far now must stop waiting. A wait as
 * long as the run time that it saves costs at most as much again as the far
 * start would have.
 */
export function waitLimit(
  now: types.clock.MonotonicMs,
  nearRunMs: number,
  farRunMs: number,
): types.clock.MonotonicMs {
  const savedMs = Math.max(0, farRunMs - nearRunMs);
  return types.clock.after(now, Math.min(MAX_WAIT_MS, savedMs));
}

/**
 * Returns the latest start at the near place for which a wait that begins now is
 * expected to pay.
 */
export function latestUsefulStart({
  now,
  nearRunMs,
  farRunMs,
  waitEndsAt,
}: Pick<
  PlaceOptions,
  'now' | 'nearRunMs' | 'farRunMs' | 'waitEndsAt'
>): types.clock.MonotonicMs {
  const gainMs = farRunMs - nearRunMs - MIN_GAIN_MS;
  const byGain = types.clock.after(now, gainMs / WAIT_ERROR_FACTOR);
  return byGain < waitEndsAt ? byGain : waitEndsAt;
}

/**
 * Waits only where the step is expected to end sooner for it, also if the wait
 * turns out longer. A step that would be on time far away therefore waits only
 * where it would be on time after the wait, too.
 */
export function decidePlace(options: PlaceOptions): PlaceDecision {
  const {now, nearRunMs, nearStartsAt, dueAt, waitEndsAt} = options;
  const latestNearStart = types.clock.after(dueAt, -nearRunMs);
  if (now >= waitEndsAt) return startFar('waited_enough');
  if (now > latestNearStart) return startFar('late');
  if (nearStartsAt === undefined) return startFar('no_near_room');
  if (nearStartsAt > latestUsefulStart(options)) return startFar('no_gain');
  const until = waitEndsAt < latestNearStart ? waitEndsAt : latestNearStart;
  return {type: 'wait', until};
}

/** Never waits. */
export function startFarAtOnce(): PlaceDecision {
  return startFar('no_gain');
}

function startFar(reason: FarReason): PlaceDecision {
  return {type: 'start_far', reason};
}
