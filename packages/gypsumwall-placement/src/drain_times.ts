/** When running tasks will have given back enough room for waiting ones. */
import type * as types from '@gypsumwall/types';
import type * as bookRecords from './book_records.js';
import * as roomForecast from './room_forecast.js';

/** How long a checkpoint takes to give room back, as far as plans go. */
const CHECKPOINT_TAKES_MS = 500;

/** Where and when there will be room for all of a job's tasks. */
export interface FutureRoom {
  /** Tasks by worker. */
  readonly slots: ReadonlyMap<bookRecords.WorkerRecord, number>;
  /** Tasks to checkpoint, without which it would take longer. */
  readonly victims: readonly bookRecords.HeldRecord[];
  readonly readyAt: number;
}

/** What is looked for. */
export interface RoomSearch {
  readonly size: types.resources.Resources;
  readonly count: number;
  readonly now: number;
  /** Tasks that may be checkpointed for it. */
  readonly mayMove: (task: bookRecords.HeldRecord) => boolean;
}

interface Slot {
  readonly worker: bookRecords.WorkerRecord;
  readonly at: number;
  readonly victims: readonly bookRecords.HeldRecord[];
}

/**
 * The soonest room on the given workers, as far as tasks end when expected;
 * undefined when they can't hold as many. Services don't end, and what others
 * have reserved stays theirs.
 */
export function soonestRoom(
  workers: readonly bookRecords.WorkerRecord[],
  search: RoomSearch,
): FutureRoom | undefined {
  const {count, now} = search;
  const all: Slot[] = [];
  for (const worker of workers) all.push(...slotsOn(worker, search));
  if (all.length < count) return undefined;
  all.sort((left, right) => left.at - right.at);
  const slots = new Map<bookRecords.WorkerRecord, number>();
  const victims: bookRecords.HeldRecord[] = [];
  for (const slot of all.slice(0, count)) {
    slots.set(slot.worker, (slots.get(slot.worker) ?? 0) + 1);
    victims.push(...slot.victims);
  }
  return {slots, victims, readyAt: all[count - 1]?.at ?? now};
}

interface Ending {
  readonly task: bookRecords.HeldRecord;
  readonly at: number;
  readonly moved: boolean;
}

/** The moments at which one more task fits on a worker. */
function slotsOn(worker: bookRecords.WorkerRecord, search: RoomSearch): Slot[] {
  const {size, count, now} = search;
  const endings = endingsOn(worker, search);
  const forecast = roomForecast.createRoomForecast(worker);
  const slots: Slot[] = [];
  let victims: bookRecords.HeldRecord[] = [];
  let at = now;
  let next = 0;
  while (slots.length < count) {
    if (forecast.fits(size)) {
      slots.push({worker, at, victims});
      victims = [];
      forecast.withOne(size);
      continue;
    }
    const ending = endings[next];
    if (ending === undefined) break;
    next += 1;
    at = Math.max(at, ending.at);
    const {task} = ending;
    if (ending.moved) victims.push(task);
    forecast.without(task);
  }
  return slots;
}

/** Tasks by when they end or could be checkpointed, the soonest first. */
function endingsOn(
  worker: bookRecords.WorkerRecord,
  search: RoomSearch,
): Ending[] {
  const movedAt = search.now + CHECKPOINT_TAKES_MS;
  const endings: Ending[] = [];
  for (const task of worker.tasks) {
    if (task.spec.shape.kind === 'service') continue;
    const moved = task.endsAt > movedAt && search.mayMove(task);
    endings.push({task, moved, at: moved ? movedAt : task.endsAt});
  }
  return endings.sort((left, right) => left.at - right.at);
}
