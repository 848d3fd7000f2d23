import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as peerChoice from '../peer_choice.js';

const DOMAINS = 15;
const ENTRIES_PER_DOMAIN = 4;

function createCandidates(
  isSilent: (address: string) => boolean = () => false,
) {
  return Array.from({length: DOMAINS * ENTRIES_PER_DOMAIN}, (_, index) => ({
    address: `http://10.0.0.${index}:1`,
    failureDomain: types.ids.brand<types.ids.FailureDomain>(
      `domain-${index % DOMAINS}`,
    ),
    isSilent: isSilent(`http://10.0.0.${index}:1`),
  }));
}

nodeTest.test('all of the own domain and two of each other are chosen', () => {
  const entries = createCandidates();
  const chosenBy = new Map<string, number>();
  for (const self of entries) {
    const others = entries.filter(({address}) => address !== self.address);
    const chosen = peerChoice.choosePeers(self, others);
    assert.equal(chosen.size, ENTRIES_PER_DOMAIN - 1 + 2 * (DOMAINS - 1));
    for (const address of chosen) {
      chosenBy.set(address, (chosenBy.get(address) ?? 0) + 1);
    }
  }
  // Every entry is chosen by some entry, and none by all of them.
  assert.equal(chosenBy.size, entries.length);
  assert.ok(Math.max(...chosenBy.values()) < entries.length);
});

nodeTest.test('a silent representative is kept and another added', () => {
  const [self, ...others] = createCandidates();
  assert.ok(self !== undefined);
  const before = peerChoice.choosePeers(self, others);
  const silentAddress = [...before].find((address) =>
    others.some(
      (entry) =>
        entry.address === address && entry.failureDomain !== self.failureDomain,
    ),
  );
  const later = createCandidates((address) => address === silentAddress).slice(
    1,
  );
  const after = peerChoice.choosePeers(self, later);
  assert.equal(after.size, before.size + 1);
  assert.ok([...before].every((address) => after.has(address)));
});

nodeTest.test('more peers of other domains cost no more heartbeats', () => {
  for (const peers of [1, 8, 9, 28, 118]) {
    const rate = peers / peerChoice.slowdownFactor(peers);
    assert.ok(rate <= peerChoice.MAX_FULL_RATE_PEERS, `${peers} peers`);
  }
});
