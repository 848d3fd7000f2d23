import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as clocks from '../clock.js';

const {test} = nodeTest;
const LONG_MS = 60_000;

// Guards against a loop that goes on after its stop, and one that ends because
// another wait of its signal did.
test('an abort ends all waits of its signal and no others', async () => {
  const clock = clocks.createSystemClock();
  const signals = [new AbortController(), new AbortController()] as const;
  const ended: number[] = [];
  const wait = async (nth: 0 | 1) => {
    await clocks.sleepFor(clock, LONG_MS, signals[nth].signal);
    ended.push(nth);
  };
  const waits = [wait(0), wait(0), wait(0)];
  const other = wait(1);
  await clocks.sleepFor(clock, 1, signals[0].signal);
  signals[0].abort();
  await Promise.all(waits);
  assert.deepEqual(ended, [0, 0, 0]);
  await clocks.sleepFor(clock, LONG_MS, signals[0].signal);
  signals[1].abort();
  await other;
});

// Guards against memory and processor time that grow with the number of waits of
// a loop that runs as long as its process.
test('a signal has one listener for all its waits', async () => {
  const clock = clocks.createSystemClock();
  const {signal} = new AbortController();
  const addListener = nodeTest.mock.method(signal, 'addEventListener');
  for (let nth = 0; nth < 20; nth++) await clocks.sleepFor(clock, 1, signal);
  assert.equal(addListener.mock.callCount(), 1);
});
