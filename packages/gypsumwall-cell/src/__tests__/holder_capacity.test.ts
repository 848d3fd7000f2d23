import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as cellStates from '../cell_state.js';
import * as holderCapacity from '../holder_capacity.js';
import * as decodeRecord from '../decode_record.js';
import * as storeRecords from '../store_records.js';

const {test} = nodeTest;

/** A holder whose spans of a second are given by starts and busy share. */
function createHolder(inherited?: holderCapacity.HolderCapacity) {
  let now = 0 as types.clock.MonotonicMs;
  const loop = {active: 0, idle: 0, utilization: 0};
  const state = {hasRoom: true, hasWaiting: true, published: 0};
  const meter = holderCapacity.createHolderCapacityMeter({
    clock: {...types.clock.createSystemClock(), monotonic: () => now},
    inherited,
    runs: () => 7,
    hasWaiting: () => state.hasWaiting,
    hasRoom: () => state.hasRoom,
    publish: () => {
      state.published++;
      return Promise.resolve();
    },
    readLoop: () => ({...loop}),
  });
  return {
    state,
    meter,
    async spend(seconds: number, starts: number, busyShare: number) {
      for (let second = 0; second < seconds; second++) {
        for (let nth = 0; nth < starts; nth++) meter.onStart();
        now = types.clock.after(now, 1_000);
        loop.active += 1_000 * busyShare;
        loop.idle += 1_000 * (1 - busyShare);
        meter.tick();
        await Promise.resolve();
      }
      return meter.capacity()?.startsPerSecond;
    },
  };
}

// Guards against the work of an idle holder that is taken for the cost of
// starts.
test('an idle holder is not at its limit', async () => {
  const holder = createHolder();
  assert.equal(await holder.spend(20, 3, 0.4), undefined);
  assert.equal(holder.state.published, 0);
});

test('a busy holder publishes what it starts, until it is idle again', async () => {
  const holder = createHolder();
  assert.equal(await holder.spend(3, 40, 1), 40);
  assert.equal(holder.state.published, 3);
  assert.equal(await holder.spend(4, 5, 0.3), 40);
  assert.equal(holder.state.published, 7);
  assert.equal(await holder.spend(1, 5, 0.3), undefined);
  assert.equal(holder.state.published, 8, 'entries learn of it');
  await holder.spend(3, 5, 0.3);
  assert.equal(holder.state.published, 8);
});

// Guards against a rate that an outage of the store or a takeover lowers.
test('spans without starts do not lower the rate', async () => {
  const holder = createHolder();
  await holder.spend(5, 40, 1);
  assert.equal(await holder.spend(2, 0, 0.2), 40);
  assert.equal(await holder.spend(10, 0, 1), 40);
});

// Guards against refusals of work that only waits for room.
test('a holder whose workers are full is not at its limit', async () => {
  const holder = createHolder();
  holder.state.hasRoom = false;
  assert.equal(await holder.spend(10, 40, 1), undefined);
});

// Guards against a demand that is taken for the capacity, so that admission
// shrinks with what it has refused.
test('a busy holder without waiting work is not at its limit', async () => {
  const holder = createHolder();
  holder.state.hasWaiting = false;
  assert.equal(await holder.spend(10, 40, 1), undefined);
});

// Guards against the few starts of a takeover that are taken for the capacity.
test('a rate counts once enough starts were measured', async () => {
  const holder = createHolder();
  assert.equal(await holder.spend(1, 1, 1), undefined);
  assert.ok((await holder.spend(3, 40, 1))! > 30);
});

test('a successor publishes the last known rate until it has its own', async () => {
  const holder = createHolder({startsPerSecond: 30, runs: 100});
  assert.deepEqual(holder.meter.capacity(), {startsPerSecond: 30, runs: 7});
  // One span of a takeover, with few starts, doesn't replace it.
  assert.ok((await holder.spend(1, 1, 1))! > 20);
  assert.ok((await holder.spend(30, 50, 1))! > 49);
});

// Guards against a value of one holder that outlives it beside an older build,
// whose records don't have it.
test('the capacity is read from the newest heartbeat', () => {
  const state = cellStates.createCellState();
  const read = (record: storeRecords.StoreRecord) => {
    const {key, value} = storeRecords.encode(record);
    const decoded = decodeRecord.decodeRecord(key, value).unwrapOr(record);
    state.apply(decoded, 1, types.clock.createSystemClock().monotonic());
    return state.capacity();
  };
  const capacity = {startsPerSecond: 30, runs: 100};
  assert.deepEqual(read({kind: 'heartbeat', capacity}), capacity);
  assert.equal(read({kind: 'heartbeat'}), undefined);
  const plain = storeRecords.encode({kind: 'heartbeat', capacity: undefined});
  assert.equal(plain.value, '{"v":1}');
});
