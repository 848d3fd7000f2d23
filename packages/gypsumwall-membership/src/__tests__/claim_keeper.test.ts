import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as claimWorld from '../__fixtures__/claim_world.js';

const {TTL_MS} = claimWorld;

/** Runs a world until its claim is held; returns the holder's machine too. */
async function startWorld(machines: number) {
  const world = claimWorld.createClaimWorld(machines, 7);
  await world.run(2 * TTL_MS);
  const [holder] = world.holders();
  assert.ok(holder !== undefined, 'nobody claimed an empty domain');
  return {world, holder};
}

nodeTest.test('a killed holder is replaced by a named peer', async () => {
  // The holder is killed and its claim stays in the log. The named peer waits
  // one ttl from when it read the last renewal, finds that its own promises have
  // expired, and claims.
  const {world, holder} = await startWorld(2);
  world.inject({type: 'kill', machine: holder});
  await world.run(3 * TTL_MS);
  assert.deepEqual(world.holders(), [1 - holder]);
  assert.deepEqual(world.violations(), []);
});

nodeTest.test('a released claim is taken before its ttl ends', async () => {
  // A planned stop: the holder starts no more tasks, waits for the answers to
  // its starts (here up to a ttl), then appends the release.
  const {world, holder} = await startWorld(2);
  world.inject({type: 'release', machine: holder});
  await world.run(1.5 * TTL_MS);
  assert.deepEqual(world.holders(), [1 - holder]);
  assert.deepEqual(world.violations(), []);
});

nodeTest.test('a holder renews by promises while the log is down', async () => {
  // The log stops answering and each renewal through it fails. The named peer
  // promises instead, so the holder keeps the claim all the time.
  const {world, holder} = await startWorld(2);
  world.inject({type: 'log_down', forMs: 6 * TTL_MS});
  await world.run(5 * TTL_MS);
  assert.deepEqual(world.holders(), [holder]);
  await world.run(3 * TTL_MS);
  assert.deepEqual(world.holders(), [holder]);
  assert.deepEqual(world.violations(), []);
});

nodeTest.test('one silent named peer ends a claim in an outage', async () => {
  // The log is down and the named peer is unreachable. It may be about to take
  // over, so the holder must stop at its own deadline.
  const {world, holder} = await startWorld(2);
  world.inject({type: 'log_down', forMs: 6 * TTL_MS});
  world.inject({
    type: 'cut_between',
    machine: holder,
    other: 1 - holder,
    forMs: 6 * TTL_MS,
  });
  await world.run(3 * TTL_MS);
  assert.deepEqual(world.holders(), []);
  await world.run(6 * TTL_MS);
  assert.equal(world.holders().length, 1);
  assert.deepEqual(world.violations(), []);
});

nodeTest.test('an ended named peer does not end a claim', async () => {
  // The log is down and the named peer's process has ended. Its address refuses
  // connections, which proves that it can't take over the claim.
  const {world, holder} = await startWorld(2);
  world.inject({type: 'log_down', forMs: 6 * TTL_MS});
  world.inject({type: 'kill', machine: 1 - holder});
  await world.run(5 * TTL_MS);
  assert.deepEqual(world.holders(), [holder]);
  assert.deepEqual(world.violations(), []);
});

nodeTest.test(
  'a domain whose processes all restart is claimed again',
  async () => {
    // Holder and named peer are replaced at the same time by processes without
    // state. Other ids answer at both addresses, which proves that both ended.
    const {world} = await startWorld(2);
    world.inject({type: 'restart', machine: 0});
    world.inject({type: 'restart', machine: 1});
    await world.run(3 * TTL_MS);
    assert.equal(world.holders().length, 1);
    assert.deepEqual(world.violations(), []);
  },
);
