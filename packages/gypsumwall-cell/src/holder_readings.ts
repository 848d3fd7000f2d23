/**
 * What a holder measures for the entries: the rate of its starts while its
 * processor is the limit, and the room of the workers while they are nearly
 * full. Both are stored with its heartbeats.
 */
import * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import * as forecastCheck from './forecast_check.js';
import * as holderCapacity from './holder_capacity.js';
import * as roomMeter from './room_meter.js';
import type * as roomReading from './room_reading.js';
import type * as storeRecords from './store_records.js';
import * as workerRoom from './worker_room.js';

/** Options of the readings. */
export interface HolderReadingsOptions {
  readonly clock: types.clock.Clock;
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  /** What the log says of the previous holder. */
  readonly inherited: {
    readonly capacity: holderCapacity.HolderCapacity | undefined;
    readonly rooms: roomReading.DatedReadings | undefined;
  };
  /** Share of the workers of the previous holder that haven't reported. */
  readonly unaccountedShare: () => number;
  /** Writes a heartbeat. */
  readonly publish: () => Promise<void>;
}

/** The readings of one holder. */
export interface HolderReadings {
  onStart(attempt: scheduling.activeJob.Attempt): void;
  /** The cell has accepted a job. */
  onAdded(job: scheduling.activeJob.ActiveJob): void;
  tick(): void;
  /** The record that shows that the holder is alive. */
  heartbeat(): Extract<storeRecords.StoreRecord, {kind: 'heartbeat'}>;
  /** How good its forecasts were; undefined without any. */
  accuracy(): forecastCheck.ForecastAccuracy | undefined;
}

/** Creates the readings of a holder that starts now. */
export function createHolderReadings({
  clock,
  scheduler,
  inherited,
  unaccountedShare,
  publish,
}: HolderReadingsOptions): HolderReadings {
  const {workers} = scheduler.workerRegistry;
  const capacity = holderCapacity.createHolderCapacityMeter({
    clock,
    inherited: inherited.capacity,
    runs: countRuns,
    hasWaiting: () => scheduler.counts().waitingSteps > 0,
    hasRoom: () => workerRoom.hasRoom(workerRoom.sumRoom(workers.values())),
    publish,
  });
  const room = roomMeter.createRoomMeter({
    clock,
    hasInherited: inherited.rooms !== undefined,
    rooms: () => workerRoom.sumRoomByPool(workers.values()),
    waiting: () => scheduler.waitingDemand(),
    publish,
  });
  const check = forecastCheck.createForecastCheck(clock);

  /**
   * Tasks that run, of jobs that end. Workers that haven't reported count with
   * their share of what ran before.
   */
  function countRuns(): number {
    const runs = scheduler.countAttempts(
      (request) => !scheduling.jobRequest.isOpenEnded(request),
    );
    return runs + (inherited.capacity?.runs ?? 0) * unaccountedShare();
  }

  function heartbeat(): ReturnType<HolderReadings['heartbeat']> {
    return {
      kind: 'heartbeat',
      capacity: capacity.capacity(),
      rooms: room.readings(),
    };
  }

  return {
    onStart({size, task}) {
      capacity.onStart();
      if (task === undefined) return;
      const {job, request} = task.stepRun;
      const {coreMsOf} = scheduling.waitingDemand;
      const coreMs = coreMsOf(size.cpuMillis, request.expectedMs, 1);
      room.onStart(job.policy.pool, coreMs);
      check.onStart(job.id);
    },
    onAdded(job) {
      const {request, policy, isExcess} = job;
      if (scheduling.jobRequest.isOpenEnded(request)) return;
      const {pool, priority} = policy;
      const coreMs = scheduling.waitingDemand.coreMsOfJob(request);
      room.onArrival({pool, priority, isExcess}, coreMs);
      check.onAdded(job, room.readings());
    },
    tick() {
      capacity.tick();
      room.tick();
    },
    heartbeat,
    accuracy: () => check.accuracy(),
  };
}
