/**
 * Forecasts when a new job would start while the workers are nearly full, and
 * decides whether to accept it. A job is refused if it could neither be on time
 * nor end while its caller has a use for it, and only where the forecast says so
 * with a margin: the expected run times of single jobs are often far off.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as roomReading from './room_reading.js';
import type * as waitingWork from './waiting_work.js';

/** Factor of a limit that a forecast has to exceed. */
const MARGIN = 1.5;
/** Shorter waits are within what one reading can tell; milliseconds. */
const MIN_WAIT_MS = 500;
/**
 * Least part of the used processors that the work which waits is expected to
 * get. A holder that starts little for a moment, as after a takeover, is no
 * reason to refuse work.
 */
const MIN_STARTED_SHARE = 0.25;
/**
 * Time for which work is expected to arrive as fast as now. Bursts pass, and a
 * job that could start then must not be refused; milliseconds.
 */
const MAX_BURST_MS = 10_000;
const MILLIS_PER_CORE = 1_000;

type WaitingDemand = scheduling.waitingDemand.WaitingDemand;

/** A job that a caller offers. */
export interface OfferedJob {
  /** The pool of workers on which its tasks run. */
  readonly pool: string;
  readonly priority: number;
  /** Whether it exceeds the rate that its organisation is entitled to. */
  readonly isExcess: boolean;
  /** Expected core-time of its tasks. */
  readonly coreMs: number;
  readonly limits: waitingWork.StartLimits;
}

/** What an entry knows of the work that waits. */
export interface KnownDemand {
  readonly reading: roomReading.RoomReading;
  /** Age of the reading; milliseconds. */
  readonly ageMs: number;
  /** Work that was accepted since the reading. */
  readonly accepted: Iterable<WaitingDemand>;
}

/** When all tasks of a job would have started. */
export interface StartForecast {
  /** While it ranks with the work that can be on time; milliseconds. */
  readonly onTimeMs: number;
  /** Once it ranks with late work; milliseconds. */
  readonly lateMs: number;
}

/** Work that gets workers before a job. */
interface WorkAhead {
  /** What waits now; core-milliseconds. */
  coreMs: number;
  /** What arrives in a millisecond; core-milliseconds. */
  arrivingPerMs: number;
}

/** Forecasts the start of a job by the rank that the holder would give it. */
export function forecastStart(
  job: OfferedJob,
  {reading, ageMs, accepted}: KnownDemand,
): StartForecast {
  const usedCores = reading.usedCpuMillis / MILLIS_PER_CORE;
  const rate = Math.max(
    reading.startedCoreMsPerMs,
    usedCores * MIN_STARTED_SHARE,
  );
  const onTime: WorkAhead = {coreMs: 0, arrivingPerMs: 0};
  const late: WorkAhead = {coreMs: 0, arrivingPerMs: 0};
  for (const row of accepted) addWaiting(job, row, onTime, late);
  for (const rank of reading.ranks) {
    addWaiting(job, rank, onTime, late);
    addArriving(job, rank, onTime, late);
  }

  function startMs({coreMs, arrivingPerMs}: WorkAhead): number {
    const left = Math.max(0, coreMs - rate * ageMs) + job.coreMs;
    const inBurstMs =
      rate > arrivingPerMs ? left / (rate - arrivingPerMs) : Infinity;
    return inBurstMs <= MAX_BURST_MS
      ? inBurstMs
      : (left + arrivingPerMs * MAX_BURST_MS) / rate;
  }

  return {onTimeMs: startMs(onTime), lateMs: startMs(late)};
}

/** Adds the work of a rank that waits and gets workers before the job. */
function addWaiting(
  job: OfferedJob,
  row: WaitingDemand,
  onTime: WorkAhead,
  late: WorkAhead,
): void {
  if (row.pool !== job.pool || (row.isExcess && !job.isExcess)) return;
  // What organisations are entitled to ranks before all other work.
  const isBefore = job.isExcess && !row.isExcess;
  const isAsUrgent = row.priority <= job.priority;
  if (isBefore || isAsUrgent) onTime.coreMs += row.onTimeCoreMs;
  if (isBefore) onTime.coreMs += row.lateCoreMs;
  late.coreMs += row.onTimeCoreMs;
  if (isBefore || isAsUrgent) late.coreMs += row.lateCoreMs;
}

/** Adds the jobs of a rank that arrive later and get workers before the job. */
function addArriving(
  job: OfferedJob,
  {pool, priority, isExcess, arrivingCoreMsPerMs}: roomReading.RankReading,
  onTime: WorkAhead,
  late: WorkAhead,
): void {
  if (pool !== job.pool || (isExcess && !job.isExcess)) return;
  const isBefore = job.isExcess && !isExcess;
  if (isBefore || priority < job.priority)
    onTime.arrivingPerMs += arrivingCoreMsPerMs;
  late.arrivingPerMs += arrivingCoreMsPerMs;
}

/**
 * Time by which a job would start too late for its caller; negative if it can
 * be accepted; milliseconds.
 */
export function excessMs(
  {onTimeMs, lateMs}: StartForecast,
  limits: waitingWork.StartLimits,
): number {
  const exceeds = (waitMs: number, limitMs: number) =>
    waitMs - Math.max(MIN_WAIT_MS, limitMs * MARGIN);
  return Math.min(
    exceeds(onTimeMs, limits.onTimeMs),
    exceeds(lateMs, limits.usefulMs),
  );
}
