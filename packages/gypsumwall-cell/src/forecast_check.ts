/**
 * Compares at the holder when jobs were forecast to start with when they did,
 * for the jobs that arrive while their pool is nearly full.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import * as admissionForecast from './admission_forecast.js';
import type * as roomReading from './room_reading.js';
import * as waitingWork from './waiting_work.js';

/** Jobs that are followed at a time; the oldest are dropped. */
const MAX_JOBS = 2_000;
/** Weight of one job in the means. */
const WEIGHT = 0.05;

/** How good the forecasts were, as moving means. */
export interface ForecastAccuracy {
  /** Forecast time to the first start of a job; milliseconds. */
  readonly forecastMs: number;
  /** Time that it took; milliseconds. */
  readonly actualMs: number;
  /** Mean distance of the two; milliseconds. */
  readonly errorMs: number;
}

/** Checks the forecasts of one holder. */
export interface ForecastCheck {
  onAdded(
    job: scheduling.activeJob.ActiveJob,
    readings: readonly roomReading.RoomReading[] | undefined,
  ): void;
  onStart(job: types.ids.JobId): void;
  /** Undefined until a job has started that a forecast was made for. */
  accuracy(): ForecastAccuracy | undefined;
}

interface Expected {
  readonly at: types.clock.MonotonicMs;
  readonly forecastMs: number;
}

/** Creates a check without forecasts. */
export function createForecastCheck(clock: types.clock.Clock): ForecastCheck {
  const expected = new Map<types.ids.JobId, Expected>();
  let accuracy: ForecastAccuracy | undefined;

  return {
    onAdded({id, policy, request, isExcess}, readings) {
      const {pool, priority} = policy;
      const reading = readings?.find((one) => one.pool === pool);
      if (reading === undefined) return;
      const limits = waitingWork.startLimits(policy, request);
      const {onTimeMs} = admissionForecast.forecastStart(
        {pool, priority, isExcess, coreMs: 0, limits},
        {reading, ageMs: 0, accepted: []},
      );
      expected.set(id, {at: clock.monotonic(), forecastMs: onTimeMs});
      if (expected.size <= MAX_JOBS) return;
      const [oldest] = expected.keys();
      expected.delete(oldest!);
    },
    onStart(id) {
      const made = expected.get(id);
      if (made === undefined) return;
      expected.delete(id);
      const {forecastMs} = made;
      const actualMs = clock.monotonic() - made.at;
      const errorMs = Math.abs(actualMs - forecastMs);
      const before = accuracy ?? {forecastMs, actualMs, errorMs};
      const mean = (old: number, value: number) => old + (value - old) * WEIGHT;
      accuracy = {
        forecastMs: mean(before.forecastMs, forecastMs),
        actualMs: mean(before.actualMs, actualMs),
        errorMs: mean(before.errorMs, errorMs),
      };
    },
    accuracy: () => accuracy,
  };
}
