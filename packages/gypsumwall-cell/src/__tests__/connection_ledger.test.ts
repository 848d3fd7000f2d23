import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as clientLimits from '../client_limits.js';
import * as connectionLedger from '../connection_ledger.js';

const {test} = nodeTest;
const LIMIT_BYTES = 1_000;
const MAX_REQUESTS = 3;

/** A ledger whose shed connections are listed and keep what they hold. */
function createLedger() {
  const shed: string[] = [];
  const ledger = connectionLedger.createConnectionLedger<string>({
    limits: {
      ...clientLimits.deriveClientLimits({
        memoryBytes: Infinity,
        heapBytes: LIMIT_BYTES,
        descriptors: 4_100,
      }),
      maxRequestsPerConnection: MAX_REQUESTS,
      maxHeldBytes: LIMIT_BYTES,
    },
    shed: (connection, reason) => shed.push(`${connection} ${reason}`),
  });
  /** Opens a connection whose one request holds the given bytes. */
  function hold(connection: string, bytes: number) {
    ledger.open(connection);
    const charge = ledger.begin(connection)!;
    return {charge, isHeld: charge.add(bytes)};
  }
  return {ledger, shed, hold};
}

// Guards against ordinary callers that pay for a few which hold a lot.
test('the connection that holds most goes first', () => {
  const {shed, hold} = createLedger();
  hold('small', 100);
  hold('large', 600);
  assert.ok(hold('next', 400).isHeld);
  assert.deepEqual(shed, ['large too_much_held']);
});

// Guards against a caller that pushes others out by asking for ever more.
test('a connection that wants most goes itself', () => {
  const {shed, hold} = createLedger();
  const {charge} = hold('greedy', 600);
  hold('other', 300);
  assert.equal(charge.add(200), false);
  assert.deepEqual(shed, ['greedy too_much_held']);
});

// Guards against shedding every connection while handlers keep what counts.
test('nobody else goes for bytes that no closing would release', () => {
  const {shed, hold} = createLedger();
  const handled = hold('handled', 1_100);
  assert.deepEqual(shed, ['handled too_much_held']);
  handled.charge.setReleasable(false);
  for (const connection of ['first', 'second']) {
    assert.equal(hold(connection, 10).isHeld, false);
  }
  assert.deepEqual(shed.slice(1), [
    'first too_much_held',
    'second too_much_held',
  ]);
  handled.charge.end();
  assert.ok(hold('third', 10).isHeld);
});

// Guards against counting memory as free that a closed socket still holds.
test('what a shed connection holds counts until it ends', () => {
  const {ledger, shed, hold} = createLedger();
  const first = hold('first', 800);
  hold('second', 700);
  assert.deepEqual(shed, ['first too_much_held']);
  assert.ok(ledger.isFull());
  first.charge.end();
  assert.ok(!ledger.isFull());
  assert.equal(ledger.heldBytes(), 700);
});

// Guards against requests that a handler still carries out, and nobody counts.
test('a request counts until its end, after its connection is gone', () => {
  const {ledger, hold} = createLedger();
  const {charge} = hold('gone', 500);
  charge.setReleasable(false);
  ledger.close('gone');
  assert.equal(ledger.heldBytes(), 500);
  charge.end();
  charge.end();
  assert.equal(ledger.heldBytes(), 0);
});

// Guards against requests that are sent ahead without end.
test('a connection with too many requests goes', () => {
  const {ledger, shed} = createLedger();
  ledger.open('fast');
  for (let nth = 0; nth < MAX_REQUESTS; nth++) {
    assert.ok(ledger.begin('fast')?.add(1));
  }
  assert.equal(ledger.begin('fast'), undefined);
  assert.equal(ledger.begin('fast'), undefined);
  assert.deepEqual(shed, ['fast too_many_requests']);
});
