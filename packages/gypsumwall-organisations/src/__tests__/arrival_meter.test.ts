import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as arrivalMeter from '../arrival_meter.js';
import type * as organisation from '../organisation.js';

const {test} = nodeTest;
const ID = types.ids.brand<types.ids.OrganisationId>('small');
const at = (ms: number) => ms as types.clock.MonotonicMs;

// Guards against refusing every job of an organisation with a small weight while
// the cell is full.
test('an organisation with a weight below 1 may send at its rate', () => {
  const meter = arrivalMeter.createArrivalMeter();
  const small = {weight: 0.5} as organisation.Organisation;
  meter.setOrganisations(new Map([[ID, small]]));
  assert.equal(meter.wouldExceedRate(ID, at(0)), false);
  assert.equal(meter.exceedsRate(ID, at(0)), false);
  assert.equal(meter.exceedsRate(ID, at(1_000)), true);
  assert.equal(meter.exceedsRate(ID, at(2_000)), false);
});
