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
/** Nothing listens there. */
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
  const peers = peerDirectories.createPeerDirectory('self', clock);
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

// Every few seconds one urgent job is late for as long as an entry is gone for
// good: each time its pass is over, the next call goes through it again.
test('a peer that stays away is tried less and less often', async () => {
  const clock = createSteppedClock();
  const {peers, register} = createDirectory(clock);
  for (const awayMs of [2_000, 4_000, 8_000]) {
    assert.ok(result.isErr(await ask(peers.advisers().get('lost'))));
    clock.now += awayMs - 1;
    assert.equal(peers.advisers().size, 0, `within ${awayMs} ms`);
    clock.now += 1;
    assert.equal(peers.advisers().size, 1, `after ${awayMs} ms`);
  }
  await ask(peers.advisers().get('lost'));
  register(1);
  assert.equal(peers.advisers().size, 1, 'it started anew');
  peers.close();
});

// Some urgent jobs are late right after each takeover: nothing has been asked
// through the lost holder's instance, so its line is short, and it never answers.
test('a lost holder is passed over before anything was asked through it', () => {
  const clock = createSteppedClock();
  const {peers} = createDirectory(clock);
  assert.equal(peers.mostCores(), 1);
  peers.noteLost('lost');
  assert.equal(peers.advisers().size, 0);
  assert.equal(peers.mostCores(), 0, 'nor is the cell left to it');
  peers.close();
});

// An urgent job has half a second to spare. The entry that asks for it is
// gone, and its call was given 1.5 s beside the 20 ms that it takes.
test('a call of an urgent job is given up in time to ask elsewhere', async () => {
  const given: number[] = [];
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
              given.push(timeoutMs);
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
  assert.deepEqual(given, [340]);
});
