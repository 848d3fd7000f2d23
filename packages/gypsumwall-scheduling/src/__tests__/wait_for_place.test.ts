import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as types from '@gypsumwall/types';
import * as waitForPlace from '../wait_for_place.js';

const {test} = nodeTest;
const at = (ms: number) => ms as types.clock.MonotonicMs;

/** A task of 1 s that takes 3 s far away, with time to spare. */
const OPTIONS: waitForPlace.PlaceOptions = {
  now: at(0),
  nearRunMs: 1_000,
  farRunMs: 3_000,
  nearStartsAt: at(400),
  dueAt: at(10_000),
  waitEndsAt: at(2_000),
  isContended: false,
};

interface Case {
  readonly name: string;
  readonly options: Partial<waitForPlace.PlaceOptions>;
  readonly expected: 'wait' | waitForPlace.FarReason;
}

const CASES: readonly Case[] = [
  {name: 'a short wait saves much', options: {}, expected: 'wait'},
  {
    name: 'the wait may cost as much as it saves',
    options: {nearStartsAt: at(1_400)},
    expected: 'no_gain',
  },
  {
    name: 'the far place is nearly as good',
    options: {farRunMs: 1_500},
    expected: 'no_gain',
  },
  {
    name: 'nothing near is expected to end',
    options: {nearStartsAt: undefined},
    expected: 'no_near_room',
  },
  {
    name: 'other work waits for the room that a far start takes longer',
    options: {nearStartsAt: at(1_900), isContended: true},
    expected: 'wait',
  },
  {
    name: 'other work waits and the wait may make the step late',
    options: {nearStartsAt: at(1_900), isContended: true, dueAt: at(3_500)},
    expected: 'near_may_be_late',
  },
  {
    name: 'only the near start can be on time',
    options: {dueAt: at(1_500)},
    expected: 'wait',
  },
  {
    name: 'the step is late wherever it starts',
    options: {dueAt: at(900)},
    expected: 'late',
  },
  {
    name: 'it has waited for as long as it may',
    options: {now: at(2_000), nearStartsAt: at(2_010)},
    expected: 'waited_enough',
  },
];

// Load: near places that become free sooner or later than a far start pays.
for (const {name, options, expected} of CASES) {
  test(`near or far: ${name}`, () => {
    const decision = waitForPlace.decidePlace({...OPTIONS, ...options});
    assert.equal(decision.type === 'wait' ? 'wait' : decision.reason, expected);
  });
}

test('a wait ends with the last near start that is on time', () => {
  const decision = waitForPlace.decidePlace({...OPTIONS, dueAt: at(2_500)});
  assert.deepEqual(decision, {type: 'wait', until: at(1_500)});
});

// Guards against a step that waits without end because each forecast promises
// a near place soon.
test('the total wait is bounded by the run time that it saves', () => {
  assert.equal(waitForPlace.waitLimit(at(100), OPTIONS), at(2_100));
  const long = {...OPTIONS, nearRunMs: 60_000, farRunMs: 180_000};
  assert.equal(waitForPlace.waitLimit(at(0), long), at(2_000));
});

// Load: objectives as tight as a far start allows. Guards against a job that
// would be on time far away and is late because it waited.
test('a step that is on time far away waits only if it stays on time', () => {
  for (let farRunMs = 1_100; farRunMs <= 3_000; farRunMs += 100) {
    for (let startMs = 0; startMs <= 2_000; startMs += 50) {
      const decision = waitForPlace.decidePlace({
        ...OPTIONS,
        farRunMs,
        nearStartsAt: at(startMs),
        dueAt: at(farRunMs),
      });
      if (decision.type === 'start_far') continue;
      assert.ok(startMs * 1.4 + OPTIONS.nearRunMs <= farRunMs);
    }
  }
});
