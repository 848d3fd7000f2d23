import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as rateMeters from '../rate_meter.js';
import * as usablePeers from '../usable_peers.js';

const {test} = nodeTest;

/** A clock that stands still. */
function createStoppedClock() {
  let now = 0;
  const monotonic = () => now as types.clock.MonotonicMs;
  return {
    clock: {...types.clock.createSystemClock(), monotonic},
    pass: (spanMs: number) => void (now += spanMs),
  };
}

// Guards against calls to a lost peer, and against one that is avoided for good,
// as the list is kept from one call to the next.
test('the kept list of usable peers equals one made anew', () => {
  const random = types.random.createRandom(1);
  const {clock, pass} = createStoppedClock();
  const peers = new Map<string, usablePeers.AvoidablePeer>();
  const kept = usablePeers.createUsablePeers(peers, clock);
  for (let change = 0; change < 500; change++) {
    const instance = `entry-${random.integer(0, 9)}`;
    const domain = types.ids.brand<types.ids.FailureDomain>('d');
    const candidate = {instance, domain, cores: 1};
    const spanMs = random.integer(0, 5) * 100;
    const backoffUntil = types.clock.after(clock.monotonic(), spanMs);
    if (random.next() < 0.2) peers.delete(instance);
    else peers.set(instance, {candidate, backoffUntil});
    kept.onChanged();
    for (let read = 0; read < 3; read++) {
      const anew = usablePeers.createUsablePeers(peers, clock).list();
      assert.deepEqual(kept.list(), anew);
      pass(random.integer(0, 80));
    }
  }
});

test('a rate counts the events of its span', () => {
  const {clock, pass} = createStoppedClock();
  const meter = rateMeters.createRateMeter(clock, 100);
  assert.equal(meter.perMs(), 0);
  for (let nth = 0; nth < 50; nth++) {
    meter.add();
    pass(10);
  }
  assert.equal(meter.perMs(), 10 / 100);
  pass(95);
  assert.equal(meter.perMs(), 0);
});
