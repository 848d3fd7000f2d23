import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as orderWindow from '../order_window.js';

const {test} = nodeTest;

function createWindow() {
  let now = 1_000;
  const inFlight: ((result: orderWindow.OrderResult) => void)[] = [];
  const clock = {
    ...types.clock.createSystemClock(),
    monotonic: () => now as types.clock.MonotonicMs,
  };
  const window = orderWindow.createOrderWindow<number>({
    clock,
    send: () => new Promise((resolve) => inFlight.push(resolve)),
    onRoom() {},
  });
  return {
    window,
    inFlight,
    pass: (spanMs: number) => void (now += spanMs),
    /** Answers all orders in flight, `rounds` times. */
    answer: async (rounds: number, result: orderWindow.OrderResult) => {
      for (let round = 0; round < rounds; round++) {
        now += 200;
        for (const resolve of inFlight.splice(0)) resolve(result);
        await new Promise(setImmediate);
      }
    },
  };
}

// Guards against a burst of orders that times out in the queue of a slow link.
test('orders in flight are bounded by the latency of the answers', async () => {
  const {window, inFlight, answer} = createWindow();
  for (let order = 0; order < 5_000; order++) window.add(order);
  assert.equal(window.room(), 0);
  const first = inFlight.length;
  await answer(1, {type: 'answered', latencyMs: 5});
  await answer(20, {type: 'answered', latencyMs: 200});
  assert.ok(inFlight.length <= first / 2, 'late answers shrink the window');
  await answer(80, {type: 'lost', latencyMs: 250});
  assert.ok(inFlight.length >= 1, 'orders are always sent');
  const least = inFlight.length;
  await answer(40, {type: 'answered', latencyMs: 5});
  assert.ok(inFlight.length > least, 'quick answers widen it');
});

test('an order that was not sent makes room for the next one', async () => {
  const {window, answer} = createWindow();
  for (let order = 0; order < 100; order++) window.add(order);
  const size = window.size();
  await answer(10, {type: 'unsent'});
  assert.equal(window.size(), size);
  assert.equal(window.pending(), 0);
  assert.equal(window.room(), 2 * size);
});

// Guards against a cell that starts 30 tasks a second because each order takes
// 0.1 s through a peer, however few are in flight.
test('a latency that does not depend on the queue is no reason to shrink', async () => {
  const {window, answer} = createWindow();
  for (let order = 0; order < 5_000; order++) window.add(order);
  const first = window.size();
  await answer(40, {type: 'answered', latencyMs: 120});
  assert.ok(window.size() > first);
});

// Guards against a cell with free workers that starts a quarter of what waits,
// because the orders for some workers go through a slow peer and others do not
// answer.
test('late answers of a part of the workers are no reason to shrink', async () => {
  const {window, inFlight, pass} = createWindow();
  for (let order = 0; order < 20_000; order++) window.add(order);
  for (let nth = 0; nth < 4_000; nth++) {
    pass(2);
    const latencyMs = nth % 4 === 0 ? 250 : 40;
    const type = nth % 40 === 0 ? 'lost' : 'answered';
    inFlight.shift()!({type, latencyMs});
    await new Promise(setImmediate);
  }
  assert.ok(window.size() > 64, `size ${window.size()}`);
});

// Guards against a slow link to a part of the workers on which every order times
// out, because the answers of the others let the window grow.
test('lost answers of a part of the workers shrink the window', async () => {
  const {window, inFlight, pass} = createWindow();
  const first = window.size();
  for (let order = 0; order < 20_000; order++) window.add(order);
  for (let nth = 0; nth < 4_000; nth++) {
    pass(2);
    const type = nth % 5 === 0 ? 'lost' : 'answered';
    inFlight.shift()!({type, latencyMs: 40});
    await new Promise(setImmediate);
  }
  assert.ok(window.size() < first, `size ${window.size()}`);
});
