/** What deciders know of each other's free room, some time old. */
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as virtualDecider from './virtual_decider.js';
import type * as virtualTimeline from './virtual_timeline.js';
import * as workerCalls from './worker_calls.js';

/** How often a shard tells of its room; milliseconds. */
export const ROOM_INTERVAL_MS = 100;
/** Share of the workers that the strictest adviser approves. */
const APPROVED_SHARE = 0.33;

/** Free room of a worker, as told. */
export interface WorkerRoom {
  readonly id: types.ids.WorkerId;
  readonly free: types.resources.Resources;
}

/** Room of all shards, as last told. */
export interface ShardRooms {
  roomOf(shard: number): readonly WorkerRoom[];
}

/** Has every shard tell of its room; `onTold` hears of each time. */
export function createShardRooms(
  timeline: virtualTimeline.VirtualTimeline,
  shards: readonly virtualDecider.VirtualDecider[],
  onTold: (shard: number) => void,
): ShardRooms {
  const rooms = shards.map((shard) => readRoom(shard));

  function tell(nth: number): void {
    const shard = shards[nth]!;
    shard.process.handle(workerCalls.CALL_MS, () => {
      const room = readRoom(shard);
      timeline.later(workerCalls.ORDER_MS / 2, () => {
        rooms[nth] = room;
        onTold(nth);
      });
    });
    timeline.later(ROOM_INTERVAL_MS, () => tell(nth));
  }

  shards.forEach((_, nth) => {
    const offsetMs = (ROOM_INTERVAL_MS * nth) / shards.length;
    timeline.later(offsetMs, () => tell(nth));
  });
  return {roomOf: (shard) => rooms[shard]!};
}

/** The room of a decider's usable workers now. */
export function readRoom({
  scheduler,
}: virtualDecider.VirtualDecider): WorkerRoom[] {
  const rooms: WorkerRoom[] = [];
  for (const {
    info,
    free,
    isUsable: usable,
  } of scheduler.workerRegistry.workers.values()) {
    if (usable) rooms.push({id: info.id, free});
  }
  return rooms;
}

/** How many tasks of a size the room is likely to take, advice included. */
export function likelySlots(
  rooms: readonly WorkerRoom[],
  {size}: scheduling.jobRequest.StepRequest,
): number {
  let slots = 0;
  for (const {free} of rooms) {
    const byCpu = Math.floor(free.cpuMillis / size.cpuMillis);
    const byMemory = Math.floor(free.memoryMb / size.memoryMb);
    slots += Math.max(0, Math.min(byCpu, byMemory));
  }
  return slots * APPROVED_SHARE;
}

/** Tasks that must find room at once for a step to begin. */
export function neededSlots(
  request: scheduling.jobRequest.StepRequest,
): number {
  return request.gang ? request.taskCount : 1;
}
