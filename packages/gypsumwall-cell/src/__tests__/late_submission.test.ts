import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as ports from '../ports.js';

const {test} = nodeTest;
const id = types.ids.brand<types.ids.JobId>('job');
const SETTLE_MS = 1_500;

// Guards against a job that runs after its caller was told that it is gone: its
// submission was unanswered when it was cancelled, and is carried out later.
test('a job that is cancelled while its submission is open does not run', async () => {
  const world = worlds.createCellWorld();
  const worker = await world.addWorker('w', 4);
  const late: ports.KeyedEntry[] = [];
  let isLate = true;
  const jobs = {
    ...world.store.jobs,
    append: (
      ...call: Parameters<ports.KeyedLog['append']>
    ): ports.Answer<ports.AppendOutcome> => {
      const isSubmission = call[0].some(({key}) => key === `j${id}`);
      if (!isLate || !isSubmission) return world.store.jobs.append(...call);
      late.push(...call[0]);
      return new Promise((resolve) =>
        setTimeout(
          () =>
            resolve(
              result.err({
                kind: 'timeout',
                step: 'append',
                peer: 'store',
                effect: 'unknown',
                message: 'no answer',
              }),
            ),
          call[1].timeoutMs,
        ),
      );
    },
  };
  const entry = world.addEntry('a', {...world.store, jobs});
  try {
    await worlds.until(() => entry.status().holdsCell, 'a holder');
    await worlds.until(() => entry.status().storeReachable, 'the store');
    const {jobService} = entry;
    const submitted = await jobService.submit(
      id,
      worlds.POLICY,
      worlds.request(1),
    );
    assert.equal(submitted.type, 'unknown');
    isLate = false;
    const cancelled = await jobService.cancel(id, 'plans');
    await world.store.jobs.append([late[0]!], {timeoutMs: 100});
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    assert.equal(
      worker.running.size,
      0,
      `the task runs; cancel: ${cancelled.type}`,
    );
  } finally {
    world.stop();
  }
});
