import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as claimWorld from '../__fixtures__/claim_world.js';

const {TTL_MS} = claimWorld;

/** Runs a world until its claim is held, and tells by which machine. */
async function startWorld(machines: number) {
  const world = claimWorld.createClaimWorld(machines, 7);
  await world.run(2 * TTL_MS);
  const [holder] = world.holders();
  assert.ok(holder !== undefined, 'nobody claimed an empty domain');
  return {world, holder};
}

nodeTest.test('a killed holder is replaced by a named peer', async () => {
  // The holder dies. Its claim stays in the log; the named peer waits the
  // ttl out from when it read the last renewal, finds its own promises run
  // out, and claims.
  const {world, holder} = await startWorld(2);
  world.inject({type: 'kill', machine: holder});
  await world.run(3 * TTL_MS);
  assert.deepEqual(world.holders(), [1 - holder]);
  assert.deepEqual(world.violations(), []);
});

nodeTest.test('a released claim is taken before its ttl ends', async () => {
  // A planned stop: the holder starts nothing more, waits for the answers to
  // what it has started (here up to a ttl), then appends the release.
  const {world, holder} = await startWorld(2);
  world.inject({type: 'release', machine: holder});
  await world.run(1.5 * TTL_MS);
  assert.deepEqual(world.holders(), [1 - holder]);
  assert.deepEqual(world.violations(), []);
});

nodeTest.test(
  'a holder goes on by promises while the log is down',
  async () => {
    // The log stops answering. Each renewal by log fails; the named peer
    // promises instead, so the holder's state stays held all along.
    const {world, holder} = await startWorld(2);
    world.inject({type: 'log_down', forMs: 6 * TTL_MS});
    await world.run(5 * TTL_MS);
    assert.deepEqual(world.holders(), [holder]);
    await world.run(3 * TTL_MS);
    assert.deepEqual(world.holders(), [holder]);
    assert.deepEqual(world.violations(), []);
  },
);

nodeTest.test('one silent named peer ends a claim in an outage', async () => {
  // The log is down and the named peer can't be reached: it may be about to
  // take over, so the holder must stop by itself when its deadline comes.
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

nodeTest.test('a dead named peer does not end a claim', async () => {
  // The log is down and the named peer's process has ended: its address
  // refuses connections, which proves that it takes nothing over.
  const {world, holder} = await startWorld(2);
  world.inject({type: 'log_down', forMs: 6 * TTL_MS});
  world.inject({type: 'kill', machine: 1 - holder});
  await world.run(5 * TTL_MS);
  assert.deepEqual(world.holders(), [holder]);
  assert.deepEqual(world.violations(), []);
});

nodeTest.test('a domain whose processes all restart is taken', async () => {
  // Holder and named peer are replaced at once by processes that remember
  // nothing. Another id answers at both addresses, so both are surely gone.
  const {world} = await startWorld(2);
  world.inject({type: 'restart', machine: 0});
  world.inject({type: 'restart', machine: 1});
  await world.run(3 * TTL_MS);
  assert.equal(world.holders().length, 1);
  assert.deepEqual(world.violations(), []);
});
