/** Free capacity of all shards, as each shard last reported it. */
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as virtualDecider from './virtual_decider.js';
import type * as virtualTimeline from './virtual_timeline.js';
import * as workerCalls from './worker_calls.js';

/** Interval at which a shard reports its free capacity. */
export const REPORT_INTERVAL_MS = 100;
/** Share of the workers that the strictest adviser approves. */
const APPROVED_SHARE = 0.33;

/** Free capacity of a worker, as last reported. */
export interface FreeCapacity {
  readonly id: types.ids.WorkerId;
  readonly free: types.resources.Resources;
}

/** The last reported free capacity of each shard. */
export interface ShardCapacities {
  freeCapacityOf(shard: number): readonly FreeCapacity[];
}

/**
 * Makes every shard report its free capacity; `onReport` is called after each
 * report.
 */
export function createShardCapacities(
  timeline: virtualTimeline.VirtualTimeline,
  shards: readonly virtualDecider.VirtualDecider[],
  onReport: (shard: number) => void,
): ShardCapacities {
  const reported = shards.map((shard) => readFreeCapacity(shard));

  function report(shardIndex: number): void {
    const shard = shards[shardIndex]!;
    shard.process.enqueue(workerCalls.CALL_COST_MS, () => {
      const freeCapacity = readFreeCapacity(shard);
      timeline.schedule(workerCalls.ROUND_TRIP_MS / 2, () => {
        reported[shardIndex] = freeCapacity;
        onReport(shardIndex);
      });
    });
    timeline.schedule(REPORT_INTERVAL_MS, () => report(shardIndex));
  }

  shards.forEach((_, shardIndex) => {
    const offsetMs = (REPORT_INTERVAL_MS * shardIndex) / shards.length;
    timeline.schedule(offsetMs, () => report(shardIndex));
  });
  return {freeCapacityOf: (shard) => reported[shard]!};
}

/** Returns the current free capacity of a decider's usable workers. */
export function readFreeCapacity({
  scheduler,
}: virtualDecider.VirtualDecider): FreeCapacity[] {
  const freeCapacities: FreeCapacity[] = [];
  for (const {
    info,
    free,
    isUsable,
  } of scheduler.workerRegistry.workers.values()) {
    if (isUsable) freeCapacities.push({id: info.id, free});
  }
  return freeCapacities;
}

/**
 * Estimates how many tasks of a step fit, given the share that the adviser
 * approves.
 */
export function estimateSlots(
  freeCapacities: readonly FreeCapacity[],
  {size}: scheduling.jobRequest.StepRequest,
): number {
  let slots = 0;
  for (const {free} of freeCapacities) {
    const byCpu = Math.floor(free.cpuMillis / size.cpuMillis);
    const byMemory = Math.floor(free.memoryMb / size.memoryMb);
    slots += Math.max(0, Math.min(byCpu, byMemory));
  }
  return slots * APPROVED_SHARE;
}

/** Number of tasks that must be placed together for the step to start. */
export function minSlotsToStart(
  request: scheduling.jobRequest.StepRequest,
): number {
  return request.gang ? request.taskCount : 1;
}
