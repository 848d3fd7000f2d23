import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as forecastChecks from '../forecast_check.js';
import * as refusalCounts from '../refusal_counts.js';

const {test} = nodeTest;
const READING = {
  pool: 'pool',
  cpuMillis: 100_000,
  usedCpuMillis: 98_000,
  startedCoreMsPerMs: 100,
  ranks: [
    {
      pool: 'pool',
      priority: 0,
      isExcess: false,
      onTimeCoreMs: 200_000,
      lateCoreMs: 0,
      arrivingCoreMsPerMs: 0,
    },
  ],
};

// Guards against refusals by forecasts that nobody compares with what happens.
test('forecasts are compared with the first starts of jobs', () => {
  let now = 0 as types.clock.MonotonicMs;
  const check = forecastChecks.createForecastCheck({
    ...types.clock.createSystemClock(),
    monotonic: () => now,
  });
  const jobOf = (id: string) =>
    ({
      id: types.ids.brand(id),
      request: worlds.request(1),
      policy: worlds.POLICY,
      isExcess: false,
    }) as unknown as scheduling.activeJob.ActiveJob;
  check.onAdded(jobOf('j1'), undefined);
  check.onStart(types.ids.brand('j1'));
  assert.equal(check.accuracy(), undefined, 'no forecast while there is room');
  check.onAdded(jobOf('j2'), [READING]);
  now = types.clock.after(now, 2_500);
  check.onStart(types.ids.brand('j2'));
  const expected = {forecastMs: 2_000, actualMs: 2_500, errorMs: 500};
  assert.deepEqual(check.accuracy(), expected);
  check.onStart(types.ids.brand('j2'));
  assert.deepEqual(check.accuracy(), expected, 'later tasks do not count');
});

// Guards against metrics that grow with the number of organisations.
test('refusals are counted by reason and a bounded number of organisations', () => {
  const counts = refusalCounts.createRefusalCounts();
  const organisation = (nth: number) =>
    types.ids.brand<types.ids.OrganisationId>(`o${nth}`);
  for (let nth = 0; nth < 1_000; nth++)
    counts.add('no_room', organisation(nth));
  counts.add('no_room', organisation(0));
  const all = counts.all();
  assert.equal(all.length, 201);
  assert.equal(all[0]!.count, 2);
  assert.equal(
    all.reduce((sum, {count}) => sum + count, 0),
    1_001,
  );
});
