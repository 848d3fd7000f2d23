import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as chooseHome from '../choose_home.js';

const DOMAINS = ['bole-hall', 'piassa-hall', 'merkato-hall'];
const team = types.ids.brand<types.ids.TeamId>('night-plans');
const keys = Array.from({length: 300}, (_, index) =>
  types.ids.brand<types.ids.IdempotencyKey>(`plan-${index}`),
);
const homeOf = (key: types.ids.IdempotencyKey, domains = DOMAINS) =>
  chooseHome.chooseHome(team, key, domains);

nodeTest.test('a key has the same home at every entry', () => {
  const reversed = [...DOMAINS].reverse();
  for (const key of keys) assert.equal(homeOf(key), homeOf(key, reversed));
});

nodeTest.test('keys are spread over the domains', () => {
  for (const domain of DOMAINS) {
    const count = keys.filter((key) => homeOf(key) === domain).length;
    assert.ok(count > 60, `${count} of 300 keys at ${domain}`);
  }
});

nodeTest.test('keys move to a new domain only', () => {
  const more = [...DOMAINS, 'kazanchis-hall'];
  for (const key of keys) {
    const moved = homeOf(key, more);
    assert.ok(moved === homeOf(key) || moved === 'kazanchis-hall');
  }
});
