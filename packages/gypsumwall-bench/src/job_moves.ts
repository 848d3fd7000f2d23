/**
 * Offers jobs that their shard can't place to the next shard with room. Only
 * a job of which nothing runs moves, and only so often.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import * as shardRooms from './shard_rooms.js';
import type * as virtualDecider from './virtual_decider.js';
import type * as virtualTimeline from './virtual_timeline.js';
import * as workerCalls from './worker_calls.js';

/** How often a shard looks for jobs to offer; milliseconds. */
const LOOK_MS = 50;
const MOST_MOVES = 3;
/** An append that hands the job over, and a call; milliseconds. */
const MOVE_MS = 16 + workerCalls.ORDER_MS;

/** What the moves work on. */
export interface JobMovesParts {
  readonly timeline: virtualTimeline.VirtualTimeline;
  readonly shards: readonly virtualDecider.VirtualDecider[];
  readonly rooms: shardRooms.ShardRooms;
}

/** Starts the looks of all shards; gives the number of moves so far. */
export function startJobMoves(parts: JobMovesParts): () => number {
  const {timeline, shards, rooms} = parts;
  const movesOf = new Map<types.ids.JobId, number>();
  let moves = 0;

  function look(nth: number): void {
    const shard = shards[nth]!;
    shard.process.handle(0, () => {
      const leaving: [scheduling.activeJob.ActiveJob, number][] = [];
      shard.process.measure(() => {
        const own = shardRooms.readRoom(shard);
        for (const job of shard.jobs.values()) {
          if ((movesOf.get(job.id) ?? 0) >= MOST_MOVES) continue;
          const target = targetOf(job, nth, own);
          if (target !== undefined) leaving.push([job, target]);
        }
      });
      for (const [job, target] of leaving) move(job, nth, target);
    });
    timeline.later(LOOK_MS, () => look(nth));
  }

  /** The next shard with room, if this one has none. */
  function targetOf(
    job: scheduling.activeJob.ActiveJob,
    nth: number,
    own: readonly shardRooms.WorkerRoom[],
  ): number | undefined {
    const request = idleRequest(job);
    if (request === undefined) return undefined;
    const needed = shardRooms.neededSlots(request);
    if (shardRooms.likelySlots(own, request) >= needed) return undefined;
    for (let step = 1; step < shards.length; step++) {
      const other = (nth + step) % shards.length;
      const slots = shardRooms.likelySlots(rooms.roomOf(other), request);
      if (slots >= needed) return other;
    }
    return undefined;
  }

  function move(
    job: scheduling.activeJob.ActiveJob,
    from: number,
    to: number,
  ): void {
    moves++;
    movesOf.set(job.id, (movesOf.get(job.id) ?? 0) + 1);
    const start = shards[from]!.giveAway(job);
    shards[from]!.process.handle(workerCalls.CALL_MS, () => {
      timeline.later(MOVE_MS, () => shards[to]!.accept(start));
    });
  }

  shards.forEach((_, nth) => look(nth));
  return () => moves;
}

/** The step that a job of which nothing runs waits with. */
function idleRequest(
  job: scheduling.activeJob.ActiveJob,
): scheduling.jobRequest.StepRequest | undefined {
  let found: scheduling.jobRequest.StepRequest | undefined;
  for (const {steps} of job.openOccurrences.values()) {
    for (const {attempts: runs, waitingIndexes: waiting, request} of steps) {
      if (runs.size > 0) return undefined;
      if (waiting.length > 0) found ??= request;
    }
  }
  return found;
}
