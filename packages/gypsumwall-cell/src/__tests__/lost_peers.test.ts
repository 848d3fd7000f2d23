import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as scheduling from '@gypsumwall/scheduling';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as adviceCallers from '../advice_caller.js';
import * as peerDirectories from '../peer_directory.js';
import type * as ports from '../ports.js';

const {test} = nodeTest;
/** An address that nothing listens at. */
const CLOSED = '127.0.0.1:1';

function createSteppedClock() {
  const clock = {
    now: 10_000,
    monotonic: () => clock.now as types.clock.MonotonicMs,
    wall: () => clock.now as types.clock.WallMs,
    sleepUntil: () => Promise.resolve(),
  };
  return clock;
}

function createDirectory(clock: types.clock.Clock) {
  const peers = peerDirectories.createPeerDirectory({
    self: 'self',
    clock,
    logger: telemetry.logger.createLogger('silent'),
  });
  const register = (cores: number) =>
    peers.apply('lost', {
      entryId: types.ids.brand('lost.1'),
      domain: types.ids.brand('d1'),
      address: CLOSED,
      cores,
    });
  register(1);
  return {peers, register};
}

const ask = (adviser: ports.Adviser | undefined) =>
  adviser!.ask('job.0.0', [], 50);

// Guards against one late urgent job every few seconds for as long as an entry
// is lost: whenever its backoff ended, the next call went through it again.
test('a peer that stays unreachable is tried less and less often', async () => {
  const clock = createSteppedClock();
  const {peers, register} = createDirectory(clock);
  for (const backoffMs of [2_000, 4_000, 8_000]) {
    assert.ok(result.isErr(await ask(peers.advisers().get('lost'))));
    clock.now += backoffMs - 1;
    assert.equal(peers.advisers().size, 0, `within ${backoffMs} ms`);
    clock.now += 1;
    assert.equal(peers.advisers().size, 1, `after ${backoffMs} ms`);
  }
  await ask(peers.advisers().get('lost'));
  register(1);
  assert.equal(peers.advisers().size, 1, 'it restarted');
  peers.close();
});

// Guards against urgent jobs that are late right after each takeover: no call
// has been sent through the lost holder's instance yet, so its queue is the
// shortest, but it never answers.
test('a lost holder is avoided before any call was sent through it', () => {
  const clock = createSteppedClock();
  const {peers} = createDirectory(clock);
  assert.equal(peers.maxCores(), 1);
  peers.markLost('lost');
  assert.equal(peers.advisers().size, 0);
  assert.equal(peers.maxCores(), 0, 'the cell is not left to it either');
  peers.close();
});

// Guards against an urgent job that misses its deadline because the entry asked
// for advice is lost. The job can spare half a second, and its call had a
// timeout of 1.5 s on top of the 20 ms that it takes.
test('an urgent call times out early enough to be sent elsewhere', async () => {
  const timeouts: number[] = [];
  const caller = adviceCallers.createAdviceCaller({
    scheduler: scheduling.scheduler.createScheduler({
      attemptBase: 0,
      isReconciled: () => true,
      onEvent: () => {},
    }),
    advisers: () =>
      new Map([
        [
          'a',
          {
            ask: (_step, _workers, timeoutMs) => {
              timeouts.push(timeoutMs);
              return Promise.resolve(result.ok(new Map()));
            },
          },
        ],
      ]),
    clock: createSteppedClock(),
    logger: telemetry.logger.createLogger('silent'),
    onAnswer: () => {},
  });
  await caller.ask({
    stepRun: {
      id: 'job.0.0',
      advice: {
        approvals: new Map(),
        refused: new Set(),
        asked: new Set(),
        openCalls: 1,
      },
      job: {policy: {}},
    } as unknown as scheduling.activeJob.StepRun,
    workers: [],
    callMs: 20,
    needed: true,
  });
  assert.deepEqual(timeouts, [340]);
});
