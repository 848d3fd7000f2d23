/**
 * Measures at the holder how much room the workers have, and how fast the work
 * that waits for them starts. There is a reading of a pool only while it is
 * nearly full and work waits, so that a cell with room stores and decides as if
 * there were no such measure.
 */
import * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import type * as roomReading from './room_reading.js';
import * as workRates from './work_rates.js';
import * as workerRoom from './worker_room.js';

/** Length of a measured span; milliseconds. */
const SPAN_MS = 1_000;
const MILLIS_PER_CORE = 1_000;

/** Options of a meter. */
export interface RoomMeterOptions {
  readonly clock: types.clock.Clock;
  /** Whether the log has readings of the previous holder. */
  readonly hasInherited: boolean;
  readonly rooms: () => ReadonlyMap<string, workerRoom.WorkerRoom>;
  readonly waiting: () => scheduling.waitingDemand.WaitingDemand[];
  /**
   * Stores the readings. Called once a span while there are some, and once when
   * there are none any more, but not before the last call is through.
   */
  readonly publish: () => Promise<void>;
}

/** Measures the workers of one holder. */
export interface RoomMeter {
  /** A task of this expected core-time starts; core-milliseconds. */
  onStart(pool: string, coreMs: number): void;
  /** A job of this expected core-time was accepted; core-milliseconds. */
  onArrival(rank: scheduling.waitingDemand.Rank, coreMs: number): void;
  tick(): void;
  /** The pools that are nearly full while work waits; undefined if none is. */
  readings(): readonly roomReading.RoomReading[] | undefined;
}

/** Creates a meter; the first span begins now. */
export function createRoomMeter({
  clock,
  hasInherited,
  rooms,
  waiting,
  publish,
}: RoomMeterOptions): RoomMeter {
  let since = clock.monotonic();
  const started = workRates.createWorkRates();
  const arriving = workRates.createWorkRates();
  /** The ranks of the jobs that have arrived. */
  const ranks = new Map<string, scheduling.waitingDemand.Rank>();
  let current: readonly roomReading.RoomReading[] | undefined;
  let isPublishing = false;
  /** Whether the log has readings. */
  let isStored = hasInherited;

  async function publishOnce(): Promise<void> {
    isPublishing = true;
    isStored = current !== undefined;
    await publish();
    isPublishing = false;
  }

  function readRanks(
    pool: string,
    rows: readonly scheduling.waitingDemand.WaitingDemand[],
  ): roomReading.RankReading[] {
    const {keyOf} = scheduling.waitingDemand;
    const waitingByRank = new Map(rows.map((row) => [keyOf(row), row]));
    const all = new Map([...ranks, ...waitingByRank]);
    return [...all]
      .filter(([, rank]) => rank.pool === pool)
      .map(([key, rank]) => ({
        ...rank,
        onTimeCoreMs: 0,
        lateCoreMs: 0,
        ...waitingByRank.get(key),
        arrivingCoreMsPerMs: arriving.perMs(key) ?? 0,
      }));
  }

  function readPool(
    pool: string,
    {free, capacity}: workerRoom.WorkerRoom,
    rows: readonly scheduling.waitingDemand.WaitingDemand[],
  ): roomReading.RoomReading {
    const {cpuMillis} = capacity;
    const usedCpuMillis = cpuMillis - free.cpuMillis;
    return {
      pool,
      cpuMillis,
      usedCpuMillis,
      // Until starts have been measured, each used core is expected to start a
      // millisecond of work in a millisecond.
      startedCoreMsPerMs:
        started.perMs(pool) ?? usedCpuMillis / MILLIS_PER_CORE,
      ranks: readRanks(pool, rows),
    };
  }

  function measure(spanMs: number): roomReading.RoomReading[] {
    started.endSpan(spanMs);
    arriving.endSpan(spanMs);
    const full = [...rooms()].filter(([, room]) =>
      workerRoom.isNearlyFull(room),
    );
    const rows = full.length > 0 ? waiting() : [];
    return full
      .filter(([pool]) => rows.some((row) => row.pool === pool))
      .map(([pool, room]) => readPool(pool, room, rows));
  }

  return {
    onStart: (pool, coreMs) => started.add(pool, coreMs),
    onArrival(rank, coreMs) {
      const key = scheduling.waitingDemand.keyOf(rank);
      ranks.set(key, rank);
      arriving.add(key, coreMs);
    },
    tick() {
      const now = clock.monotonic();
      if (now - since < SPAN_MS) return;
      const readings = measure(now - since);
      current = readings.length > 0 ? readings : undefined;
      since = now;
      if (!isPublishing && (current !== undefined || isStored))
        void publishOnce();
    },
    readings: () => current,
  };
}
