/**
 * Load: a store that becomes slow. It needs 0.24 s for an append instead of the
 * usual 4 ms, handles those of a log one by one and refuses those that would
 * wait for over 2 s. 60 entries have two jobs a second each to append.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as result from 'true-myth/result';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import * as fakeLogs from '../__fixtures__/fake_log.js';
import * as forwardingJobServices from '../forwarding_job_service.js';
import * as jobServices from '../job_service.js';
import type * as jobServiceTypes from '../job_service_types.js';
import * as jobTables from '../job_table.js';
import type * as logFollower from '../log_follower.js';
import type * as peerDirectory from '../peer_directory.js';
import type * as ports from '../ports.js';
import * as storeHealths from '../store_health.js';

const {test} = nodeTest;
const ENTRIES = 60;
const ROUNDS = 12;
const ROUND_MS = 500;
const USUAL_APPEND_MS = 4;
const SLOW_APPEND_MS = 240;
/** The round in which the store becomes slow. */
const SLOW_FROM = 2;
/** From this round on the queue of the first slow second has been processed. */
const SETTLED_FROM = 8;
const MAX_QUEUE_MS = 2_000;
const CALLER_TIMEOUT_MS = 3_000;
const clock = types.virtualClock.createVirtualClock();
const logger = telemetry.logger.createLogger('silent');

const pause = (spanMs: number) => types.clock.sleepFor(clock, spanMs);

/** A log at which appends queue up; counts those that it refuses. */
function createSlowLog() {
  const log = fakeLogs.createFakeLog('jobs');
  const append = log.append.bind(log);
  let appendMs = USUAL_APPEND_MS;
  let freeAt: number = clock.monotonic();
  let refused = 0;
  log.append = async (entries, options) => {
    const now = clock.monotonic();
    freeAt = Math.max(freeAt, now);
    if (freeAt - now > MAX_QUEUE_MS) {
      refused++;
      await pause(appendMs / 10);
      return result.err<ports.AppendOutcome, types.stepError.StepError>({
        kind: 'refused',
        step: 'append',
        peer: 'store',
        effect: 'not_run',
        message: 'too many queued appends',
      });
    }
    freeAt += appendMs;
    await pause(freeAt - now);
    return append(entries, options);
  };
  const turnSlow = () => (appendMs = SLOW_APPEND_MS);
  return {log, turnSlow, refused: () => refused};
}

function createOwnService(log: ports.KeyedLog, isHolder: boolean) {
  const follower = {
    reachableSince: () => clock.monotonic(),
    applyAppended: () => {},
    catchUp: () => Promise.resolve(true),
  } as unknown as logFollower.LogFollower;
  return jobServices.createJobService({
    jobsLog: log,
    jobs: jobTables.createJobTable({onAdded: () => {}, onCancelled: () => {}}),
    follower,
    storeHealth: storeHealths.createStoreHealth(),
    replicaAgeMs: () => Infinity,
    catchUp: () => Promise.resolve(true),
    refreshStates: () => Promise.resolve(true),
    canForward: () => !isHolder,
    clock,
    logger,
    couldEverFit: () => true,
    fitsQuota: () => true,
    checkLoad: () => ({type: 'admitted'}),
    isOutdated: () => false,
  });
}

/** Peers of which only the holder exists, and is slow. */
function peersWith(holder: jobServiceTypes.JobService) {
  const relayTo: peerDirectory.PeerDirectory['relayTo'] = async (
    _holder,
    req,
    timeoutMs,
  ) => {
    if (req.type !== 'submit') throw new Error(`unexpected: ${req.type}`);
    const answer = holder.submit(req.id, req.policy, req.request);
    const late = pause(timeoutMs).then(() => undefined);
    const res = await Promise.race([answer, late]);
    if (res === undefined) {
      return {type: 'unanswered', maybeApplied: true, isSlow: true};
    }
    return res.type === 'ok'
      ? {type: 'answered', res, maybeApplied: false}
      : {
          type: 'unanswered',
          maybeApplied: res.type === 'unknown',
          isSlow: false,
        };
  };
  return {relayTo} as unknown as peerDirectory.PeerDirectory;
}

// Guards against entries that block the holder's shared appends at a slow store
// by retrying their own.
test('jobs of many entries are stored in a slow store', async () => {
  const {log, turnSlow, refused} = createSlowLog();
  const holder = createOwnService(log, true);
  // Entries that know no holder append by themselves, and continue to do so.
  let holderIsKnown = false;
  const services = Array.from({length: ENTRIES}, () =>
    forwardingJobServices.createForwardingJobService({
      local: createOwnService(log, false),
      peers: peersWith(holder),
      clock,
      logger,
      storeReachable: () => true,
      isStoreQuick: () => true,
      holder: () => (holderIsKnown ? 'holder' : undefined),
      appender: () => (holderIsKnown ? 'holder' : undefined),
      substituteAppender: () => undefined,
      onJobRefused: () => {},
    }),
  );
  let stored = 0;
  let timedOut = 0;
  async function submit(
    service: jobServiceTypes.JobService,
    round: number,
    nth: number,
  ) {
    const id = types.ids.brand<types.ids.JobId>(`job${round}.${nth}`);
    const startedAt = clock.monotonic();
    const res = await service.submit(id, worlds.POLICY, worlds.request(1));
    if (res.type === 'ok' && round >= SETTLED_FROM) stored++;
    if (clock.monotonic() - startedAt >= CALLER_TIMEOUT_MS) timedOut++;
  }
  async function submitAll(): Promise<void> {
    const calls: Promise<void>[] = [];
    for (let round = 0; round < ROUNDS; round++) {
      if (round === SLOW_FROM) turnSlow();
      holderIsKnown = round > 0;
      for (const [nth, service] of services.entries()) {
        calls.push(submit(service, round, nth));
        await pause(ROUND_MS / ENTRIES);
      }
    }
    await Promise.all(calls);
  }
  const submitted = submitAll();
  await clock.runUntil(ROUNDS * ROUND_MS + 2 * CALLER_TIMEOUT_MS);
  await submitted;
  const settled = ENTRIES * (ROUNDS - SETTLED_FROM);
  assert.ok(stored >= settled * 0.9, `${stored} of ${settled} stored`);
  assert.equal(timedOut, 0, 'no caller is blocked until the deadline');
  assert.ok(refused() <= 2 * ENTRIES, `${refused()} appends refused`);
});
