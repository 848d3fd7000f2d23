/**
 * Moves jobs that their shard cannot place to the next shard with enough free
 * capacity. A job moves only while none of its tasks run, and at most
 * `MAX_MOVES` times.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import * as shardCapacities from './shard_capacities.js';
import type * as virtualDecider from './virtual_decider.js';
import type * as virtualTimeline from './virtual_timeline.js';
import * as workerCalls from './worker_calls.js';

/** Interval at which a shard checks which of its jobs should move. */
const CHECK_INTERVAL_MS = 50;
const MAX_MOVES = 3;
/** Duration of a move: the append that records it, and a call. */
const MOVE_DURATION_MS = 16 + workerCalls.ROUND_TRIP_MS;

/** Dependencies of the job moves. */
export interface JobRebalancingParts {
  readonly timeline: virtualTimeline.VirtualTimeline;
  readonly shards: readonly virtualDecider.VirtualDecider[];
  readonly capacities: shardCapacities.ShardCapacities;
}

/**
 * Starts the periodic checks; the returned function gives the number of moves
 * so far.
 */
export function startJobRebalancing(parts: JobRebalancingParts): () => number {
  const {timeline, shards, capacities} = parts;
  const movesByJob = new Map<types.ids.JobId, number>();
  let moveCount = 0;

  function checkShard(shardIndex: number): void {
    const shard = shards[shardIndex]!;
    shard.process.enqueue(0, () => {
      const moving: [scheduling.activeJob.ActiveJob, number][] = [];
      shard.process.measure(() => {
        const ownCapacity = shardCapacities.readFreeCapacity(shard);
        for (const job of shard.jobs.values()) {
          if ((movesByJob.get(job.id) ?? 0) >= MAX_MOVES) continue;
          const target = findTarget(job, shardIndex, ownCapacity);
          if (target !== undefined) moving.push([job, target]);
        }
      });
      for (const [job, target] of moving) moveJob(job, shardIndex, target);
    });
    timeline.schedule(CHECK_INTERVAL_MS, () => checkShard(shardIndex));
  }

  /**
   * Returns the next shard with enough free capacity, if this shard has too
   * little.
   */
  function findTarget(
    job: scheduling.activeJob.ActiveJob,
    shardIndex: number,
    ownCapacity: readonly shardCapacities.FreeCapacity[],
  ): number | undefined {
    const request = findWaitingStep(job);
    if (request === undefined) return undefined;
    const needed = shardCapacities.minSlotsToStart(request);
    if (shardCapacities.estimateSlots(ownCapacity, request) >= needed)
      return undefined;
    for (let step = 1; step < shards.length; step++) {
      const other = (shardIndex + step) % shards.length;
      const slots = shardCapacities.estimateSlots(
        capacities.freeCapacityOf(other),
        request,
      );
      if (slots >= needed) return other;
    }
    return undefined;
  }

  function moveJob(
    job: scheduling.activeJob.ActiveJob,
    from: number,
    to: number,
  ): void {
    moveCount++;
    movesByJob.set(job.id, (movesByJob.get(job.id) ?? 0) + 1);
    const start = shards[from]!.transferOut(job);
    shards[from]!.process.enqueue(workerCalls.CALL_COST_MS, () => {
      timeline.schedule(MOVE_DURATION_MS, () => shards[to]!.accept(start));
    });
  }

  shards.forEach((_, shardIndex) => checkShard(shardIndex));
  return () => moveCount;
}

/** Returns the first step with waiting tasks, if no task of the job runs. */
function findWaitingStep(
  job: scheduling.activeJob.ActiveJob,
): scheduling.jobRequest.StepRequest | undefined {
  let found: scheduling.jobRequest.StepRequest | undefined;
  for (const {steps} of job.openOccurrences.values()) {
    for (const {attempts, waitingIndexes, request} of steps) {
      if (attempts.size > 0) return undefined;
      if (waitingIndexes.length > 0) found ??= request;
    }
  }
  return found;
}
