/**
 * Decides on wide gangs for all shards: places them by the room that shards
 * tell of, has the shards reserve it, and has them start the gang once each of
 * them has; if one refuses, the others give the room back.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as shardRooms from './shard_rooms.js';
import type * as virtualDecider from './virtual_decider.js';
import type * as virtualTimeline from './virtual_timeline.js';
import * as workerCalls from './worker_calls.js';

type StartOrder = scheduling.schedulerTypes.StartOrder;

/** What a coordinator works on. */
export interface GangCoordinatorParts {
  readonly timeline: virtualTimeline.VirtualTimeline;
  readonly shards: readonly virtualDecider.VirtualDecider[];
  readonly shardOf: (worker: types.ids.WorkerId) => number;
  /** The decider of the coordinator. */
  readonly decider: () => virtualDecider.VirtualDecider;
}

/** The coordinator of wide gangs. */
export interface GangCoordinator {
  launch(starts: readonly StartOrder[]): void;
  runOver(run: scheduling.activeJob.Attempt): void;
  /** Takes over what a shard tells of its workers. */
  roomTold(rooms: readonly shardRooms.WorkerRoom[]): void;
  conflicts(): number;
}

/** Step under which the room of all others is booked at the coordinator. */
const OTHERS = 'others';

/** Creates a coordinator. */
export function createGangCoordinator(
  parts: GangCoordinatorParts,
): GangCoordinator {
  const {timeline, shards, shardOf} = parts;
  const others = new Map<types.ids.WorkerId, types.resources.Resources>();
  let conflicts = 0;

  const bookOf = (worker: types.ids.WorkerId) =>
    shards[shardOf(worker)]!.scheduler.workerRegistry;

  function launch(starts: readonly StartOrder[]): void {
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
      const part = byShard.get(shard) ?? [];
      byShard.set(shard, part);
      part.push(start);
    }
    const granted: StartOrder[] = [];
    const told: shardRooms.WorkerRoom[] = [];
    let missing = byShard.size;
    for (const [shard, part] of byShard) {
      ask(shard, part, (refusal) => {
        if (refusal === undefined) granted.push(...part);
        else told.push(...refusal);
        if (--missing > 0) return;
        if (told.length === 0) parts.decider().send(gang);
        else giveBack(gang, granted, told);
      });
    }
  }

  /** Asks a shard for room, all or none; a refusal tells what room there is. */
  function ask(
    shard: number,
    part: readonly StartOrder[],
    answer: (refusal: shardRooms.WorkerRoom[] | undefined) => void,
  ): void {
    const {process} = parts.decider();
    const back = (refusal: shardRooms.WorkerRoom[] | undefined) =>
      timeline.later(workerCalls.ORDER_MS / 2, () =>
        process.handle(0, () => answer(refusal)),
      );
    process.handle(workerCalls.CALL_MS, () => {
      timeline.later(workerCalls.ORDER_MS / 2, () => {
        const costMs = workerCalls.CALL_MS + part.length * workerCalls.ITEM_MS;
        shards[shard]!.process.handle(costMs, () => back(book(part)));
      });
    });
  }

  function book(
    part: readonly StartOrder[],
  ): shardRooms.WorkerRoom[] | undefined {
    const booked: StartOrder[] = [];
    for (const start of part) {
      const {workerId, stepRunId, size} = start.attempt;
      const free = bookOf(workerId).workers.get(workerId)?.free;
      if (free === undefined || !types.resources.fits(size, free)) {
        for (const {attempt: run} of booked) runOver(run);
        return part.map((one) => roomOf(one.attempt.workerId));
      }
      bookOf(workerId).reserve(workerId, stepRunId, size);
      booked.push(start);
    }
    return undefined;
  }

  function roomOf(id: types.ids.WorkerId): shardRooms.WorkerRoom {
    return {id, free: bookOf(id).workers.get(id)!.free};
  }

  function giveBack(
    gang: readonly StartOrder[],
    granted: readonly StartOrder[],
    told: readonly shardRooms.WorkerRoom[],
  ): void {
    conflicts++;
    for (const {attempt: run} of granted) runOver(run);
    parts.decider().refuse(gang);
    for (const room of told)
      mirror(parts.decider().scheduler.workerRegistry, room);
  }

  function runOver(run: scheduling.activeJob.Attempt): void {
    bookOf(run.workerId).release(run.workerId, run.stepRunId, run.size);
    shards[shardOf(run.workerId)]!.requestCycle();
  }

  function roomTold(rooms: readonly shardRooms.WorkerRoom[]): void {
    const {process, scheduler} = parts.decider();
    const costMs = workerCalls.CALL_MS + rooms.length * 0.001;
    process.handle(costMs, () => {
      process.measure(() => {
        for (const room of rooms) mirror(scheduler.workerRegistry, room);
      });
      parts.decider().requestCycle();
    });
  }

  /** Books on the own copy of a worker what others have on it. */
  function mirror(
    book: scheduling.workerRegistry.WorkerRegistry,
    {id, free}: shardRooms.WorkerRoom,
  ): void {
    const before = others.get(id) ?? types.resources.NO_RESOURCES;
    const own = book.workers.get(id)!;
    // What is on its way to the shard isn't in the room that it told.
    const known = minus(own.free, free);
    const now = {
      cpuMillis: Math.max(0, before.cpuMillis + known.cpuMillis),
      memoryMb: Math.max(0, before.memoryMb + known.memoryMb),
      accelerators: 0,
    };
    if (now.cpuMillis === before.cpuMillis) return;
    book.reserve(id, OTHERS, now);
    book.release(id, OTHERS, before);
    others.set(id, now);
  }

  return {launch, runOver, roomTold, conflicts: () => conflicts};
}

function minus(
  left: types.resources.Resources,
  right: types.resources.Resources,
): types.resources.Resources {
  return {
    cpuMillis: left.cpuMillis - right.cpuMillis,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators,
  };
}
