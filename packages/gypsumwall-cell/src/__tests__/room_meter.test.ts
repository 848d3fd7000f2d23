import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as roomMeters from '../room_meter.js';

const {test} = nodeTest;
const CAPACITY = {cpuMillis: 100_000, memoryMb: 400_000, accelerators: 0};
const WAITING = {
  pool: 'pool',
  priority: 0,
  isExcess: false,
  onTimeCoreMs: 5_000,
  lateCoreMs: 0,
};

function createHolder(hasInherited = false) {
  let now = 0 as types.clock.MonotonicMs;
  let free = CAPACITY;
  let waiting = [WAITING];
  let published = 0;
  const meter = roomMeters.createRoomMeter({
    clock: {...types.clock.createSystemClock(), monotonic: () => now},
    hasInherited,
    rooms: () => new Map([['pool', {free, capacity: CAPACITY}]]),
    waiting: () => waiting,
    publish() {
      published++;
      return Promise.resolve();
    },
  });
  return {
    meter,
    published: () => published,
    use(cpuMillis: number) {
      free = {...CAPACITY, cpuMillis: CAPACITY.cpuMillis - cpuMillis};
    },
    wait(rows: (typeof WAITING)[]) {
      waiting = rows;
    },
    /** Ticks for some seconds, in each of which this work starts. */
    async run(seconds: number, coreMs = 0) {
      for (let tick = 0; tick < seconds * 10; tick++) {
        now = types.clock.after(now, 100);
        meter.onStart('pool', coreMs / 10);
        meter.tick();
        await new Promise(setImmediate);
      }
    },
  };
}

// Guards against records and refusals of a cell whose workers have room.
test('a pool with room has no reading and stores none', async () => {
  const holder = createHolder();
  holder.use(80_000);
  await holder.run(5, 50_000);
  assert.equal(holder.meter.readings(), undefined);
  holder.use(99_000);
  holder.wait([]);
  await holder.run(5, 50_000);
  assert.equal(holder.meter.readings(), undefined);
  assert.equal(holder.published(), 0);
});

// Guards against readings of a holder that was replaced, and of a pool that has
// room again.
test('a reading is stored once a second, and its end once', async () => {
  const holder = createHolder(true);
  await holder.run(3);
  assert.equal(holder.published(), 1);
  holder.use(99_000);
  await holder.run(4, 90_000);
  assert.equal(holder.published(), 5);
  holder.use(50_000);
  await holder.run(4);
  assert.equal(holder.published(), 6);
});

// Guards against a forecast by the size of the pool where expected run times
// are far from the real ones.
test('a reading tells how fast the work that waits starts', async () => {
  const holder = createHolder();
  holder.use(99_000);
  await holder.run(1, 99_000);
  const rate = () => holder.meter.readings()![0]!.startedCoreMsPerMs;
  assert.ok(Math.abs(rate() - 99) < 1);
  await holder.run(6, 40_000);
  assert.ok(rate() > 38 && rate() < 45, `${rate()}`);
  assert.deepEqual(holder.meter.readings()![0]!.ranks, [
    {...WAITING, arrivingCoreMsPerMs: 0},
  ]);
});
