/**
 * The state that the cell's log contains besides the progress of jobs: who
 * holds the cell, and which workers may run attempts of it.
 */
import type * as types from '@gypsumwall/types';
import * as claimView from './claim_view.js';
import * as holderHistories from './holder_history.js';
import type * as holderCapacity from './holder_capacity.js';
import type * as roomReading from './room_reading.js';
import type * as storeRecords from './store_records.js';

/** The state of a cell. */
export interface CellState {
  claim(): claimView.CellClaim | undefined;
  /** What the holder can do; undefined unless it is at its limit. */
  capacity(): holderCapacity.HolderCapacity | undefined;
  /** The pools that are nearly full; undefined if none is. */
  rooms(): roomReading.DatedReadings | undefined;
  readonly usedWorkers: ReadonlyMap<
    types.ids.WorkerId,
    storeRecords.UsedWorkerRecord
  >;
  readonly history: holderHistories.HolderHistory;
  apply(
    record: storeRecords.StoreRecord,
    offset: number,
    now: types.clock.MonotonicMs,
  ): void;
  /**
   * Drops all workers except these, because a load of the log contains all that
   * exist.
   */
  retainUsedWorkers(ids: ReadonlySet<types.ids.WorkerId>): void;
}

/** Creates the state of a cell that was never held. */
export function createCellState(): CellState {
  let claim: claimView.CellClaim | undefined;
  let capacity: holderCapacity.HolderCapacity | undefined;
  let rooms: roomReading.DatedReadings | undefined;
  const history = holderHistories.createHolderHistory();
  const usedWorkers = new Map<
    types.ids.WorkerId,
    storeRecords.UsedWorkerRecord
  >();
  return {
    claim: () => claim,
    capacity: () => capacity,
    rooms: () => rooms,
    usedWorkers,
    history,
    retainUsedWorkers(ids) {
      for (const id of usedWorkers.keys()) {
        if (!ids.has(id)) usedWorkers.delete(id);
      }
    },
    apply(record, offset, now) {
      if (record.kind === 'claim') {
        claim = claimView.foldClaim(claim, record.claim, offset);
        history.onClaim(record.claim, now);
      }
      if (record.kind === 'heartbeat') {
        history.onTakeoverRead(record.takeover, now);
        capacity = record.capacity;
        rooms = record.rooms && {readings: record.rooms, readAt: now};
      }
      if (record.kind !== 'used_worker') return;
      const {workerId, worker} = record;
      if (worker === undefined) usedWorkers.delete(workerId);
      else usedWorkers.set(workerId, {...worker, readAt: now});
    },
  };
}
