/** What the choice between near and far places needs, in one cycle and in all. */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as nearStarts from './near_starts.js';
import * as roomForecast from './room_forecast.js';
import * as waitForPlace from './wait_for_place.js';
import type * as workerRegistry from './worker_registry.js';
import * as workerSpeeds from './worker_speeds.js';

/** Options of the choice. */
export interface NearOptions {
  /**
   * Run time of a task far from its data, or in a gang that is spread over
   * racks, divided by that at a near place. Unless it is above 1, no step waits
   * for a near place.
   */
  readonly farFactor?: number;
  /** Decides whether a step waits for a near place; by forecast if absent. */
  readonly decidePlace?: waitForPlace.DecidePlace;
}

/** Input of the choice in all cycles. */
export interface NearPolicy extends Required<NearOptions> {
  readonly starts: nearStarts.NearStarts;
  /** The attempts on a worker. */
  readonly attemptsOf: roomForecast.RoomForecastParts['attemptsOf'];
}

/** Input of the choice in one cycle. */
export interface NearChoice extends NearPolicy {
  readonly forecast: roomForecast.RoomForecast;
}

/** Returns undefined if no place is far from another. */
export function createNearPolicy(
  {farFactor = 1, decidePlace = waitForPlace.decidePlace}: NearOptions,
  parts: Pick<NearPolicy, 'starts' | 'attemptsOf'>,
): NearPolicy | undefined {
  return farFactor > 1 ? {farFactor, decidePlace, ...parts} : undefined;
}

/** Creates the choice of a cycle over the waiting steps, sorted by rank. */
export function createNearChoice(
  policy: NearPolicy | undefined,
  ordered: readonly activeJob.StepRun[],
  cycle: {
    readonly registry: workerRegistry.WorkerRegistry;
    readonly now: types.clock.MonotonicMs;
    readonly speeds?: workerSpeeds.WorkerSpeeds;
  },
): NearChoice | undefined {
  if (policy === undefined) return undefined;
  const {farFactor, attemptsOf} = policy;
  const {registry, now, speeds = workerSpeeds.UNIFORM_SPEEDS} = cycle;
  const parts = {now, ordered, registry, attemptsOf, speeds, farFactor};
  const forecast = roomForecast.createRoomForecast(parts);
  return {...policy, forecast};
}
