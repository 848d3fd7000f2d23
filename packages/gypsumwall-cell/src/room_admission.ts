/**
 * Decides by the room of the workers whether an entry accepts a job. Without a
 * recent reading, which is stored only while the workers are nearly full, all
 * jobs are accepted.
 */
import * as organisations from '@gypsumwall/organisations';
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as admissionForecast from './admission_forecast.js';
import type * as jobTable from './job_table.js';
import * as roomReading from './room_reading.js';
import * as waitingWork from './waiting_work.js';

/**
 * Jobs accepted longer ago are in the reading already: a load of the log adds
 * all jobs that aren't done; milliseconds.
 */
const MAX_ACCEPTED_AGE_MS = 3_000;
/** Bounds of the delay after which a refused caller should retry; milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 10_000;
/** Part of the longest delay over which callers are spread at least. */
const MIN_SPREAD_SHARE = 0.3;

type WaitingDemand = scheduling.waitingDemand.WaitingDemand;

/** Why a job was refused, and what the decision was based on. */
export interface RoomRefusal {
  readonly type: 'refused';
  readonly reason: 'no_room';
  readonly retryAfterMs: number;
  readonly forecast: admissionForecast.StartForecast;
  readonly limits: waitingWork.StartLimits;
  readonly isExcess: boolean;
  /** Age of the reading; milliseconds. */
  readonly ageMs: number;
  /** Part of the workers' processors that tasks hold. */
  readonly usedShare: number;
  readonly startedCoreMsPerMs: number;
}

/** Options of a room admission. */
export interface RoomAdmissionOptions {
  /** The newest readings; undefined if no pool is nearly full. */
  readonly rooms: () => roomReading.DatedReadings | undefined;
  /** The organisations of the configuration; undefined until it was read. */
  readonly organisations: () =>
    organisations.organisation.Organisations | undefined;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
}

interface RecentReading {
  readonly reading: roomReading.RoomReading;
  /** Milliseconds. */
  readonly ageMs: number;
}

/** Admits jobs at one entry. */
export interface RoomAdmission {
  /** This entry has read a job that the cell has accepted. */
  onAccepted(job: jobTable.JobEntry): void;
  /** The refusal of a job; undefined if it is accepted. */
  check(
    policy: scheduling.jobRequest.QueuePolicy,
    request: scheduling.jobRequest.JobRequest,
    organisation: types.ids.OrganisationId | undefined,
  ): RoomRefusal | undefined;
}

/** Creates an admission that knows no jobs. */
export function createRoomAdmission({
  rooms,
  organisations: configured,
  clock,
  random,
}: RoomAdmissionOptions): RoomAdmission {
  const meter = organisations.arrivalMeter.createArrivalMeter();
  let metered: organisations.organisation.Organisations | undefined;
  let newest: roomReading.DatedReadings | undefined;
  /** Work accepted since the newest readings, by rank. */
  let accepted = new Map<string, WaitingDemand>();

  /** The reading of a pool; undefined if there is no recent one. */
  function recentReading(pool: string): RecentReading | undefined {
    const dated = rooms();
    if (dated !== newest) {
      newest = dated;
      accepted = new Map();
    }
    const ageMs = dated && roomReading.ageOf(dated, clock.monotonic());
    const reading = dated?.readings.find((one) => one.pool === pool);
    if (reading === undefined || ageMs === undefined) return undefined;
    return {reading, ageMs};
  }

  function applyOrganisations(): void {
    const current = configured();
    if (current === undefined || current === metered) return;
    metered = current;
    meter.setOrganisations(current);
  }

  return {
    onAccepted({record, organisation}) {
      if (record === undefined) return;
      const {request, acceptedAt} = record;
      const ageMs = Math.max(0, clock.wall() - acceptedAt);
      if (ageMs > MAX_ACCEPTED_AGE_MS) return;
      const {priority, pool} = record.policy;
      if (recentReading(pool) === undefined) return;
      applyOrganisations();
      // Jobs of a second or more are read at once while the store is slow; they
      // would exceed a rate that their organisation keeps.
      const arrivedAt = types.clock.after(clock.monotonic(), -ageMs);
      const isExcess = meter.exceedsRate(organisation, arrivedAt);
      if (scheduling.jobRequest.isOpenEnded(request)) return;
      const {coreMsOfJob, keyOf} = scheduling.waitingDemand;
      const rank = {pool, priority, isExcess};
      const key = keyOf(rank);
      const before = accepted.get(key)?.onTimeCoreMs ?? 0;
      const onTimeCoreMs = before + coreMsOfJob(request);
      accepted.set(key, {...rank, onTimeCoreMs, lateCoreMs: 0});
    },
    check(policy, request, organisation) {
      const {pool, priority} = policy;
      const recent = recentReading(pool);
      if (recent === undefined || !isForecastable(request)) return undefined;
      applyOrganisations();
      const isExcess = meter.wouldExceedRate(organisation, clock.monotonic());
      const limits = waitingWork.startLimits(policy, request);
      const coreMs = scheduling.waitingDemand.coreMsOfJob(request);
      const job = {pool, priority, isExcess, coreMs, limits};
      const known = {...recent, accepted: accepted.values()};
      const forecast = admissionForecast.forecastStart(job, known);
      const excessMs = admissionForecast.excessMs(forecast, limits);
      // Where nothing starts and no processor is in use, there is no forecast.
      if (!Number.isFinite(excessMs) || excessMs <= 0) return undefined;
      const {reading, ageMs} = recent;
      return {
        type: 'refused',
        reason: 'no_room',
        retryAfterMs: retryAfterMs(excessMs, forecast, random),
        forecast,
        limits,
        isExcess,
        ageMs,
        usedShare: reading.usedCpuMillis / reading.cpuMillis,
        startedCoreMsPerMs: reading.startedCoreMsPerMs,
      };
    },
  };
}

/**
 * Whether the reading tells when a job starts. It doesn't tell the workers of a
 * label apart, and work without an end is of use whenever it starts.
 */
function isForecastable(request: scheduling.jobRequest.JobRequest): boolean {
  return (
    !scheduling.jobRequest.isOpenEnded(request) &&
    request.steps.every(({requiredLabel}) => requiredLabel === undefined)
  );
}

/** What a refusal was based on, for the log. */
export function describeRefusal({
  forecast,
  limits,
  isExcess,
  ageMs,
  usedShare,
  startedCoreMsPerMs,
}: RoomRefusal): Record<string, number | boolean> {
  return {
    startMs: Math.round(forecast.onTimeMs),
    maxStartMs: Math.round(limits.onTimeMs),
    lateStartMs: Math.round(forecast.lateMs),
    maxLateStartMs: Math.round(limits.usefulMs),
    isExcess,
    readingAgeMs: Math.round(ageMs),
    usedPercent: Math.round(usedShare * 100),
    startedCores: Math.round(startedCoreMsPerMs),
  };
}

/**
 * The delay until a job like this one should find room. It is spread over the
 * time that the work which ranks before takes to start: callers do not return
 * together, and those of urgent work, which has less before it, return first.
 */
function retryAfterMs(
  excessMs: number,
  {onTimeMs}: admissionForecast.StartForecast,
  random: types.random.Random,
): number {
  const earliestMs = Math.min(
    MAX_RETRY_AFTER_MS * (1 - MIN_SPREAD_SHARE),
    Math.max(MIN_RETRY_AFTER_MS, excessMs),
  );
  const spreadMs = Math.min(onTimeMs, MAX_RETRY_AFTER_MS - earliestMs);
  return earliestMs + random.next() * spreadMs;
}
