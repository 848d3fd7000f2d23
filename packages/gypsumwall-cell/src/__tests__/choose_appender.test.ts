import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as chooseAppender from '../choose_appender.js';
import type * as standbyChoice from '../standby_choice.js';

const {test} = nodeTest;

function entry(
  instance: string,
  domain: string,
  cores: number,
): standbyChoice.StandbyCandidate {
  return {instance, domain: types.ids.brand(domain), cores};
}

const ENTRIES = [
  entry('a1', 'a', 0.12),
  entry('a2', 'a', 0.1),
  entry('a3', 'a', 0.1),
  entry('b1', 'b', 1.35),
];
const SUBMISSIONS_PER_S = 50;

/** The entry that appends the calls of each entry, in the order of entries. */
function appendersOf(
  holder: string | undefined,
  isStoreQuick = true,
  submissionsPerSecond = SUBMISSIONS_PER_S,
): string[] {
  return ENTRIES.map((self) => {
    const chosen = chooseAppender.chooseAppender({
      self,
      peers: ENTRIES.filter((peer) => peer !== self),
      holder,
      isStoreQuick,
      submissionsPerSecond,
    });
    return chosen ?? self.instance;
  });
}

// Guards against a holder that gets the submissions of all entries, and whose
// processor or link then leaves nothing for its own work.
test('a holder that is too small is relieved by one entry of each domain', () => {
  assert.deepEqual(appendersOf('a1'), ['a2', 'a2', 'a2', 'b1']);
});

// Guards against a queue of one append for each domain at a store that turns
// slow, where the holder could have combined them.
test('a holder that is large enough combines all appends', () => {
  assert.deepEqual(appendersOf('b1'), ['b1', 'b1', 'b1', 'b1']);
  assert.deepEqual(appendersOf('a1', true, 1), ['a1', 'a1', 'a1', 'a1']);
});

// Guards against appends of several entries in the queue of a slow store.
test('the holder combines all appends while the store is slow', () => {
  assert.deepEqual(appendersOf('a1', false), ['a1', 'a1', 'a1', 'a1']);
});

test('each entry appends by itself while there is no holder', () => {
  assert.deepEqual(appendersOf(undefined), ['a1', 'a2', 'a3', 'b1']);
});

// Guards against a choice of the busy holder itself, or of another domain.
test('the strongest other entry of the domain takes the place of the holder', () => {
  const substitutes = ENTRIES.map((self) => {
    const peers = ENTRIES.filter((peer) => peer !== self);
    return chooseAppender.chooseSubstitute(self, peers, 'a1');
  });
  assert.deepEqual(substitutes, ['a2', undefined, 'a2', undefined]);
});
