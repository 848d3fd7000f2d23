/**
 * What an entry needs to know of the workers to forecast when a job starts. The
 * holder stores it with its heartbeats while the workers are nearly full.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';

/** Work of one rank. */
export interface RankReading extends scheduling.waitingDemand.WaitingDemand {
  /** Core-time of the jobs that arrive in a millisecond; core-milliseconds. */
  readonly arrivingCoreMsPerMs: number;
}

/** The workers of a pool that accept tasks, and the work that waits for them. */
export interface RoomReading {
  readonly pool: string;
  /** Processors of the workers; thousandths of a core. */
  readonly cpuMillis: number;
  /** Processors that their tasks hold; thousandths of a core. */
  readonly usedCpuMillis: number;
  /**
   * Expected core-time of the tasks that start in a millisecond, which is how
   * fast the work that waits becomes less; core-milliseconds.
   */
  readonly startedCoreMsPerMs: number;
  readonly ranks: readonly RankReading[];
}

/** The pools that are nearly full, and when this entry read of them. */
export interface DatedReadings {
  readonly readings: readonly RoomReading[];
  readonly readAt: types.clock.MonotonicMs;
}

/**
 * Age up to which a reading counts. The holder stores one each second; an older
 * one says nothing about the workers now, so work is admitted; milliseconds.
 */
const MAX_AGE_MS = 3_000;

/** Age of readings in milliseconds; undefined if they are too old. */
export function ageOf(
  {readAt}: DatedReadings,
  now: types.clock.MonotonicMs,
): number | undefined {
  const ageMs = now - readAt;
  return ageMs <= MAX_AGE_MS ? ageMs : undefined;
}

/**
 * The readings in a stored record. Those that another build has written in
 * another form are left out, so that work is admitted.
 */
export function keepKnown(stored: unknown): readonly RoomReading[] | undefined {
  if (!Array.isArray(stored)) return undefined;
  const known = stored.filter(isReading);
  return known.length > 0 ? known : undefined;
}

function isReading(value: unknown): value is RoomReading {
  const {pool, cpuMillis, usedCpuMillis, startedCoreMsPerMs, ranks} = (value ??
    {}) as Partial<Record<keyof RoomReading, unknown>>;
  return (
    typeof pool === 'string' &&
    [cpuMillis, usedCpuMillis, startedCoreMsPerMs].every(isAmount) &&
    Array.isArray(ranks) &&
    ranks.every(isRank)
  );
}

function isRank(value: unknown): boolean {
  const {priority, onTimeCoreMs, lateCoreMs, arrivingCoreMsPerMs} = (value ??
    {}) as Partial<Record<keyof RankReading, unknown>>;
  return [priority, onTimeCoreMs, lateCoreMs, arrivingCoreMsPerMs].every(
    isAmount,
  );
}

const isAmount = (value: unknown) =>
  typeof value === 'number' && Number.isFinite(value);
