import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as domainAppenders from '../domain_appender.js';
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
  entry('a1', 'a', 1),
  entry('a2', 'a', 0.5),
  entry('a3', 'a', 0.5),
  entry('b1', 'b', 2),
];

function appendersOf(holder: string | undefined): string[] {
  return ENTRIES.map((self) => {
    const peers = ENTRIES.filter((peer) => peer !== self);
    return domainAppenders.chooseAppender(self, peers, holder);
  });
}

// Guards against a queue of one append for each entry at a store that turns
// slow.
test('all entries of a failure domain choose the same appender', () => {
  assert.deepEqual(appendersOf(undefined), ['a1', 'a1', 'a1', 'b1']);
});

test('the holder appends only for a failure domain without another entry', () => {
  assert.deepEqual(appendersOf('a1'), ['a2', 'a2', 'a2', 'b1']);
  assert.deepEqual(appendersOf('b1'), ['a1', 'a1', 'a1', 'b1']);
});
