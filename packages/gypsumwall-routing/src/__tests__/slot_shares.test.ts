import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fastCheck from 'fast-check';
import type * as types from '@gypsumwall/types';
import * as shareModel from '../__fixtures__/share_model.js';
import * as slotShares from '../slot_shares.js';

const LAG_TICKS = 2;
const BOUND_TICKS = 3;
const SEED = 41;

const EVENTS: ReadonlyArray<shareModel.EntryTick['event']> = [
  'none',
  'join',
  'stop',
  'crash',
  'drop',
  'relist',
  'pause',
  'resume',
];

const entryTick: fastCheck.Arbitrary<shareModel.EntryTick> = fastCheck.record({
  event: fastCheck.oneof(
    {weight: 12, arbitrary: fastCheck.constant('none' as const)},
    {weight: 3, arbitrary: fastCheck.constant('join' as const)},
    {weight: 5, arbitrary: fastCheck.constantFrom(...EVENTS)},
  ),
  readsList: fastCheck.oneof(
    {weight: 3, arbitrary: fastCheck.constant(true)},
    {weight: 1, arbitrary: fastCheck.constant(false)},
  ),
  listAgeTicks: fastCheck.nat({max: LAG_TICKS}),
  requestTicks: fastCheck.integer({min: 1, max: BOUND_TICKS}),
});

const script = fastCheck
  .integer({min: 2, max: 5})
  .chain((entries) =>
    fastCheck.array(
      fastCheck.array(entryTick, {minLength: entries, maxLength: entries}),
      {minLength: 40, maxLength: 80, size: 'max'},
    ),
  );

const makeShares = (entryId: string) =>
  slotShares.createSlotShares({
    entryId,
    listLagMs: LAG_TICKS,
    requestBoundMs: BOUND_TICKS,
  });

nodeTest.test('shares never sum to more than the slots', () => {
  // Entries join, stop, crash, pause and are dropped from a lagging list while
  // they run. If two entries count each other differently at the wrong time,
  // the upstream gets more requests than it has slots.
  fastCheck.assert(
    fastCheck.property(
      script,
      (ticks) =>
        shareModel.maxSlotsInUse(ticks, makeShares) <= shareModel.TOTAL_SLOTS,
    ),
    {seed: SEED, numRuns: 10_000},
  );
});

nodeTest.test('the model detects shares that follow each view at once', () => {
  const followsEachView = (id: string): shareModel.ModelShares => {
    let view: readonly string[] = [];
    return {
      observe: (entries) => void (view = entries),
      isStale: () => false,
      shareOf: (upstream, total) =>
        slotShares.divide(total, upstream, id, view),
    };
  };
  const found = fastCheck.check(
    fastCheck.property(
      script,
      (ticks) =>
        shareModel.maxSlotsInUse(ticks, followsEachView) <=
        shareModel.TOTAL_SLOTS,
    ),
    {seed: SEED, numRuns: 1_000},
  );
  assert.equal(found.failed, true);
});

nodeTest.test('an added entry never raises the share of another', () => {
  const ids = Array.from({length: 20}, (_, index) => `e${index}`);
  for (let count = 1; count < ids.length; count += 1) {
    const before = ids.slice(0, count);
    for (const id of before) {
      const share = slotShares.divide(8, 'u0', id, before);
      const after = slotShares.divide(8, 'u0', id, ids.slice(0, count + 1));
      assert.ok(after <= share);
    }
  }
});

nodeTest.test(
  'joined entries use all slots, even if there are more entries than slots',
  () => {
    for (const count of [1, 3, 7, 12]) {
      const ids = Array.from({length: count}, (_, index) => `e${index}`);
      const all = ids.map((id) => makeShares(id));
      for (let now = 0; now < 20; now += 1) {
        all.forEach((one) => one.observe(ids, now as types.clock.MonotonicMs));
      }
      const shares = all.map((one) => one.shareOf('u0', 8));
      assert.equal(
        shares.reduce((sum, share) => sum + share, 0),
        8,
      );
    }
  },
);

nodeTest.test(
  'an entry that missed a short absence from the list keeps its share',
  () => {
    // The list drops a running entry, which reads no list in the meantime, and
    // lists it again just when the other entry, on an old list, might use its
    // share.
    const droppedAt = 20;
    const noEvent = {
      event: 'none',
      readsList: true,
      listAgeTicks: 0,
      requestTicks: BOUND_TICKS,
    };
    const ticks = Array.from({length: 40}, (_, now): shareModel.EntryTick[] => {
      const ticksSinceDrop = now - droppedAt;
      const event = now === 0 ? ('join' as const) : ('none' as const);
      const first = {
        ...noEvent,
        event,
        readsList: ticksSinceDrop <= 1 || ticksSinceDrop >= 6,
      };
      const second = {
        ...noEvent,
        event,
        listAgeTicks: ticksSinceDrop > 0 ? LAG_TICKS : 0,
      };
      if (ticksSinceDrop === 1)
        return [{...first, listAgeTicks: LAG_TICKS}, second];
      if (ticksSinceDrop === 0)
        return [{...first, event: 'drop', readsList: false}, second];
      return [
        ticksSinceDrop === 6 ? {...first, event: 'relist'} : first,
        second,
      ];
    });
    const maxInUse = shareModel.maxSlotsInUse(ticks, makeShares);
    assert.equal(maxInUse, shareModel.TOTAL_SLOTS);
  },
);
