/**
 * Schedules wide gangs across all shards. The coordinator places a gang on the
 * free capacity that the shards report, asks each shard involved to reserve its
 * part, and starts the gang once all of them have. If one shard refuses, the
 * reservations of the others are released.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as shardCapacities from './shard_capacities.js';
import type * as virtualDecider from './virtual_decider.js';
import type * as virtualTimeline from './virtual_timeline.js';
import * as workerCalls from './worker_calls.js';

type StartOrder = scheduling.schedulerTypes.StartOrder;

/** Dependencies of a coordinator. */
export interface GangCoordinatorParts {
  readonly timeline: virtualTimeline.VirtualTimeline;
  readonly shards: readonly virtualDecider.VirtualDecider[];
  readonly shardOf: (worker: types.ids.WorkerId) => number;
  /** Returns the coordinator's own decider. */
  readonly decider: () => virtualDecider.VirtualDecider;
}

/** The coordinator of wide gangs. */
export interface GangCoordinator {
  reserveAndStart(starts: readonly StartOrder[]): void;
  releaseAttempt(attempt: scheduling.activeJob.Attempt): void;
  /** Applies the free capacity that a shard reported for its workers. */
  applyFreeCapacity(
    freeCapacities: readonly shardCapacities.FreeCapacity[],
  ): void;
  conflictCount(): number;
}

/** Step id under which the coordinator's registry reserves what others use. */
const OTHERS_STEP = 'others';

export function createGangCoordinator(
  parts: GangCoordinatorParts,
): GangCoordinator {
  const {timeline, shards, shardOf} = parts;
  const othersUsage = new Map<types.ids.WorkerId, types.resources.Resources>();
  let conflictCount = 0;

  const registryOf = (worker: types.ids.WorkerId) =>
    shards[shardOf(worker)]!.scheduler.workerRegistry;

  function reserveAndStart(starts: readonly StartOrder[]): void {
    const gangs = new Map<string, StartOrder[]>();
    for (const start of starts) {
      const gang = gangs.get(start.attempt.stepRunId) ?? [];
      gangs.set(start.attempt.stepRunId, gang);
      gang.push(start);
    }
    for (const gang of gangs.values()) reserve(gang);
  }

  function reserve(gang: readonly StartOrder[]): void {
    const byShard = new Map<number, StartOrder[]>();
    for (const start of gang) {
      const shard = shardOf(start.attempt.workerId);
      const starts = byShard.get(shard) ?? [];
      byShard.set(shard, starts);
      starts.push(start);
    }
    const granted: StartOrder[] = [];
    const refusals: shardCapacities.FreeCapacity[] = [];
    let pendingShards = byShard.size;
    for (const [shard, starts] of byShard) {
      requestReservation(shard, starts, (refusal) => {
        if (refusal === undefined) granted.push(...starts);
        else refusals.push(...refusal);
        if (--pendingShards > 0) return;
        if (refusals.length === 0) parts.decider().sendStarts(gang);
        else rollBack(gang, granted, refusals);
      });
    }
  }

  /**
   * Asks a shard to reserve all starts or none. A refusal contains the current
   * free capacity of the workers.
   */
  function requestReservation(
    shard: number,
    starts: readonly StartOrder[],
    onAnswer: (refusal: shardCapacities.FreeCapacity[] | undefined) => void,
  ): void {
    const {process} = parts.decider();
    const sendBack = (refusal: shardCapacities.FreeCapacity[] | undefined) =>
      timeline.schedule(workerCalls.ROUND_TRIP_MS / 2, () =>
        process.enqueue(0, () => onAnswer(refusal)),
      );
    process.enqueue(workerCalls.CALL_COST_MS, () => {
      timeline.schedule(workerCalls.ROUND_TRIP_MS / 2, () => {
        const costMs =
          workerCalls.CALL_COST_MS +
          starts.length * workerCalls.BATCH_ITEM_COST_MS;
        shards[shard]!.process.enqueue(costMs, () =>
          sendBack(reserveOnShard(starts)),
        );
      });
    });
  }

  function reserveOnShard(
    starts: readonly StartOrder[],
  ): shardCapacities.FreeCapacity[] | undefined {
    const reserved: StartOrder[] = [];
    for (const start of starts) {
      const {workerId, size} = start.attempt;
      const free = registryOf(workerId).workers.get(workerId)?.free;
      if (free === undefined || !types.resources.fits(size, free)) {
        for (const {attempt} of reserved) releaseAttempt(attempt);
        return starts.map((start) => readFreeCapacity(start.attempt.workerId));
      }
      registryOf(workerId).reserve(workerId, start.attempt);
      reserved.push(start);
    }
    return undefined;
  }

  function readFreeCapacity(
    id: types.ids.WorkerId,
  ): shardCapacities.FreeCapacity {
    return {id, free: registryOf(id).workers.get(id)!.free};
  }

  function rollBack(
    gang: readonly StartOrder[],
    granted: readonly StartOrder[],
    reported: readonly shardCapacities.FreeCapacity[],
  ): void {
    conflictCount++;
    for (const {attempt} of granted) releaseAttempt(attempt);
    parts.decider().refuseStarts(gang);
    for (const freeCapacity of reported)
      applyOthersUsage(parts.decider().scheduler.workerRegistry, freeCapacity);
  }

  function releaseAttempt(attempt: scheduling.activeJob.Attempt): void {
    registryOf(attempt.workerId).release(attempt.workerId, attempt);
    shards[shardOf(attempt.workerId)]!.requestCycle();
  }

  function applyFreeCapacity(
    freeCapacities: readonly shardCapacities.FreeCapacity[],
  ): void {
    const {process, scheduler} = parts.decider();
    const costMs = workerCalls.CALL_COST_MS + freeCapacities.length * 0.001;
    process.enqueue(costMs, () => {
      process.measure(() => {
        for (const freeCapacity of freeCapacities)
          applyOthersUsage(scheduler.workerRegistry, freeCapacity);
      });
      parts.decider().requestCycle();
    });
  }

  /** Reserves in the coordinator's registry what others use on a worker. */
  function applyOthersUsage(
    registry: scheduling.workerRegistry.WorkerRegistry,
    {id, free}: shardCapacities.FreeCapacity,
  ): void {
    const previous = othersUsage.get(id) ?? types.resources.NO_RESOURCES;
    const own = registry.workers.get(id)!;
    // The reported free capacity does not include reservations that are still
    // on their way to the shard.
    const occupied = subtract(own.free, free);
    const current = {
      cpuMillis: Math.max(0, previous.cpuMillis + occupied.cpuMillis),
      memoryMb: Math.max(0, previous.memoryMb + occupied.memoryMb),
      accelerators: 0,
    };
    if (current.cpuMillis === previous.cpuMillis) return;
    registry.reserve(id, {stepRunId: OTHERS_STEP, size: current});
    registry.release(id, {stepRunId: OTHERS_STEP, size: previous});
    othersUsage.set(id, current);
  }

  return {
    reserveAndStart,
    releaseAttempt,
    applyFreeCapacity,
    conflictCount: () => conflictCount,
  };
}

function subtract(
  left: types.resources.Resources,
  right: types.resources.Resources,
): types.resources.Resources {
  return {
    cpuMillis: left.cpuMillis - right.cpuMillis,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators,
  };
}
