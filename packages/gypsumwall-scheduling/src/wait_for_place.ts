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
  /** Whether other work waits for the room that a far start takes longer. */
  readonly isContended: boolean;
}

type RunTimes = Pick<PlaceOptions, 'nearRunMs' | 'farRunMs' | 'isContended'>;

/** Why a step starts far. */
export type FarReason =
  /** The step has waited for as long as it may. */
  | 'waited_enough'
  /** Not even an immediate start at the near place would be on time. */
  | 'late'
  /** No start at the near place is foreseen. */
  | 'no_near_room'
  /** The wait isn't expected to gain enough. */
  | 'no_gain'
  /** The end far away is on time and that at the near place may not be. */
  | 'near_may_be_late';

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
  readonly tasks: number;
  /** The rack that is waited for; undefined while nothing waits. */
  readonly rack?: types.ids.RackId;
  /** The last decision holds until this moment. */
  readonly recheckAt: types.clock.MonotonicMs;
  /** Since when tasks wait without interruption. */
  since?: types.clock.MonotonicMs;
  /** Expected run time that a near start saves; milliseconds. */
  readonly savedMs: number;
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
/**
 * Where other work waits for the room, a far start delays that work by as much
 * as the step itself.
 */
const CONTENDED_WORTH = 2;
/**
 * Maximum total wait of a step, whatever its estimated run time: a job with
 * nothing running must not wait for 3 s while there is room for it, and its
 * advice and the commit of its workers take a part of that.
 */
const MAX_WAIT_MS = 2_000;

/**
 * Returns when a step that could start far now must stop waiting: after as long
 * as a near start is worth, so that the wait costs at most as much again.
 */
export function waitLimit(
  now: types.clock.MonotonicMs,
  times: RunTimes,
): types.clock.MonotonicMs {
  return types.clock.after(now, Math.min(MAX_WAIT_MS, worthMs(times)));
}

/**
 * How long a wait a near start is worth, in milliseconds: the run time that it
 * saves the step and, in a full cell, the work that waits for the same room.
 */
function worthMs({nearRunMs, farRunMs, isContended}: RunTimes): number {
  const savedMs = Math.max(0, farRunMs - nearRunMs);
  return isContended ? CONTENDED_WORTH * savedMs : savedMs;
}

/**
 * Returns the latest start at the near place for which a wait that begins now is
 * expected to pay.
 */
export function latestUsefulStart(
  options: RunTimes & Pick<PlaceOptions, 'now' | 'waitEndsAt'>,
): types.clock.MonotonicMs {
  const {now, waitEndsAt} = options;
  const gainMs = worthMs(options) - MIN_GAIN_MS;
  const byGain = types.clock.after(now, gainMs / WAIT_ERROR_FACTOR);
  return byGain < waitEndsAt ? byGain : waitEndsAt;
}

/**
 * Waits only where that is expected to gain, also if the wait turns out longer
 * than forecast. A step that would be on time far away waits only where it
 * would be on time after the wait, too.
 */
export function decidePlace(options: PlaceOptions): PlaceDecision {
  const {now, nearRunMs, farRunMs, nearStartsAt, dueAt, waitEndsAt} = options;
  const latestNearStart = types.clock.after(dueAt, -nearRunMs);
  if (now >= waitEndsAt) return startFar('waited_enough');
  if (now > latestNearStart) return startFar('late');
  if (nearStartsAt === undefined) return startFar('no_near_room');
  if (nearStartsAt > latestUsefulStart(options)) return startFar('no_gain');
  const waitMs = (nearStartsAt - now) * WAIT_ERROR_FACTOR;
  const isFarOnTime = types.clock.after(now, farRunMs) <= dueAt;
  if (isFarOnTime && types.clock.after(now, waitMs) > latestNearStart)
    return startFar('near_may_be_late');
  const until = waitEndsAt < latestNearStart ? waitEndsAt : latestNearStart;
  return {type: 'wait', until};
}

function startFar(reason: FarReason): PlaceDecision {
  return {type: 'start_far', reason};
}
