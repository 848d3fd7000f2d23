import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';
import * as models from '../__fixtures__/worker_move_model.js';

const {test} = nodeTest;
const SEED = 20;
const RUNS = 20_000;
const MAX_GROUPS = 80;

type Names = readonly models.Operation['name'][];

/** Without these groups a sequence achieves nothing. */
const CORE_GROUPS: readonly Names[] = [
  ['claim', 'adopt'],
  ['confirm', 'order', 'deliver'],
  ['tick', 'confirm', 'settle'],
];

const OTHER_GROUPS: readonly Names[] = [
  ...models.ENTRY_OPERATIONS.map((name) => [name]),
  ...models.OTHER_OPERATIONS.map((name) => [name]),
  ['order', 'deliver', 'answer'],
  ['confirm', 'renew', 'deliver', 'tick'],
  ['poll', 'deliver', 'answer'],
  ['stop', 'deliver', 'answer'],
  ['confirm', 'release'],
  ['tick', 'settle'],
];

/** Entries that take part; 0 and 1 belong to one shard. */
const ENTRIES: readonly number[][] = [
  [0, 1],
  [0, 1, 2],
  [0, 1, 2, 3],
  [0, 2],
];

/**
 * Uses few kinds of groups and entries at a time (swarm testing): with all of
 * them, sequences that omit the operations ending a long wait are rare.
 */
const OPERATIONS: fc.Arbitrary<models.Operation[]> = fc
  .record({
    groups: fc.uniqueArray(fc.constantFrom(...OTHER_GROUPS), {
      minLength: 1,
      maxLength: 8,
    }),
    entries: fc.constantFrom(...ENTRIES),
  })
  .chain(({groups, entries}) =>
    fc.array(
      fc.record({
        names: fc.constantFrom(...CORE_GROUPS, ...groups),
        entry: fc.constantFrom(...entries),
        pick: fc.constantFrom(models.NEWEST, models.NEWEST, 0, 1, 2),
      }),
      {maxLength: MAX_GROUPS, size: 'max'},
    ),
  )
  .map((drawn) =>
    drawn.flatMap(({names, entry, pick}) =>
      names.map((name) => ({
        name,
        pick: models.isEntryOperation(name) ? entry : pick,
      })),
    ),
  );

/**
 * Tries many interleavings; returns the shortest one found that violates a
 * rule.
 */
function search(options: models.ModelOptions) {
  const property = fc.property(OPERATIONS, (operations) => {
    const model = models.createWorkerMoveModel(options);
    for (const operation of operations) {
      model.apply(operation);
      assert.equal(model.brokenRule(), undefined);
    }
  });
  return fc.check(property, {seed: SEED, numRuns: RUNS});
}

/** Applies operations given as `name` or `name pick`. */
function play(options: models.ModelOptions, script: string) {
  const model = models.createWorkerMoveModel(options);
  for (const step of script.trim().split(/\s*,\s*/)) {
    const [name, pick] = step.split(' ');
    model.apply({
      name: name as models.Operation['name'],
      pick: Number(pick ?? 0),
    });
  }
  return model;
}

for (const fenced of [true, false]) {
  const worker = fenced ? 'fencing worker' : 'worker without fences';

  // Guards against moves and claims that let two shards use one worker.
  test(`${worker}: no interleaving runs a task twice or overbooks`, () => {
    const found = search({fenced, fault: 'none'});
    assert.equal(found.failed, false, JSON.stringify(found.counterexample));
  });

  const faults: models.Fault[] = [
    'lease_not_awaited',
    'open_orders_move',
    'silence_means_refused',
    'renewal_before_answer',
    'release_without_epoch',
  ];
  if (!fenced) faults.push('poll_without_fence');
  for (const fault of faults) {
    test(`${worker}: the search finds ${fault}`, () => {
      assert.equal(search({fenced, fault}).failed, true);
    });
  }

  // Guards against tokens that increase only within one shard's log.
  test(`${worker}: accepts orders of the shard that it moved to`, () => {
    const model = play(
      {fenced, fault: 'none'},
      `claim 0, claim 1, poll 1, deliver, answer,
       tick, tick, tick, tick, tick, confirm 1, settle 1, release 1,
       claim 2, adopt 2, order 2, deliver`,
    );
    assert.equal(model.startsOf(1), 1);
  });
}

const EXPIRED_LEASE = `
  claim 0, order 0, deliver, answer, tick, tick, confirm 0,
  claim 1, poll 1, deliver, answer, renew 1, deliver, tick, settle 0`;

// Guards against a holder that considers a lease expired which its successor
// has renewed: the successor keeps the attempt, and the holder starts the task
// again.
test('an expired lease counts only after a later append', () => {
  const unconfirmed = {
    fenced: true,
    fault: 'expired_lease_not_confirmed',
  } as const;
  assert.notEqual(play(unconfirmed, EXPIRED_LEASE).brokenRule(), undefined);
  const noFault = {fenced: true, fault: 'none'} as const;
  assert.equal(play(noFault, EXPIRED_LEASE).brokenRule(), undefined);
});
