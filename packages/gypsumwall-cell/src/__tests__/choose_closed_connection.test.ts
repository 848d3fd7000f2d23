import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as types from '@gypsumwall/types';
import * as chooseClosedConnection from '../choose_closed_connection.js';

const {test} = nodeTest;
const NOW = 100_000 as types.clock.MonotonicMs;

function connect(
  state: chooseClosedConnection.ConnectionState,
  forMs: number,
): chooseClosedConnection.OpenConnection {
  return {state, since: (NOW - forMs) as types.clock.MonotonicMs};
}

const choose = (...connections: chooseClosedConnection.OpenConnection[]) =>
  chooseClosedConnection.chooseClosedConnection(connections, NOW);

// Guards against ordinary callers whose open connections pay for clients that
// hold connections without a request.
test('a client that keeps the entry waiting goes before one that pauses', () => {
  const stalling = connect('awaits_client', 3_000);
  const longer = connect('awaits_client', 9_000);
  const pausing = connect('idle', 20_000);
  assert.equal(choose(pausing, stalling, longer), longer);
  assert.equal(choose(pausing, connect('idle', 5_000)), pausing);
});

// Guards against closing connections of a burst that have just been opened, and
// calls whose outcome is open.
test('a connection that is new or busy stays', () => {
  assert.equal(choose(connect('awaits_client', 500)), undefined);
  assert.equal(choose(connect('busy', 9_000), connect('idle', 10)), undefined);
});
