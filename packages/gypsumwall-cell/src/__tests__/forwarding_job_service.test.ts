import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as worlds from '../__fixtures__/cell_world.js';
import type * as jobService from '../job_service.js';
import type * as peerDirectory from '../peer_directory.js';
import * as forwardingJobServices from '../forwarding_job_service.js';

const {test} = nodeTest;
const id = types.ids.brand<types.ids.JobId>('job');

interface Situation {
  readonly own: jobService.JobServiceAnswer<undefined>;
  readonly relayed: peerDirectory.RelayOutcome;
  /** What the holder alone comes to, if that is something else. */
  readonly byHolder?: peerDirectory.RelayOutcome;
  readonly reachable: boolean;
  /** Whether the store is found to turn the entry away at its own append. */
  readonly refusesAppend?: boolean;
  /** Whether the own copy of the logs is current. */
  readonly current?: boolean;
  readonly latencyMs?: number | 'unknown';
}

function createService(situation: Situation, asked: string[] = []) {
  let {reachable} = situation;
  const own: jobService.JobService = {
    submit: () => {
      asked.push('own');
      if (situation.refusesAppend === true) reachable = false;
      return Promise.resolve(situation.own);
    },
    cancel: () => Promise.resolve(situation.own),
    phaseOf: () => Promise.resolve({type: 'absent'}),
    finalPhaseOf: () => Promise.resolve(REFUSED),
    pendingIn: () =>
      Promise.resolve(
        situation.current === false ? REFUSED : {type: 'ok', value: 4},
      ),
    isCurrent: () => situation.current ?? true,
    storeLatencyMs: () =>
      situation.latencyMs === 'unknown'
        ? undefined
        : (situation.latencyMs ?? 5),
  };
  const peers: peerDirectory.PeerDirectory = {
    apply: () => {},
    maxCores: () => 0,
    standbyCandidates: () => [],
    markLost: () => {},
    ping: () => Promise.resolve(true),
    advisers: () => new Map(),
    close: () => {},
    relay: (_req, patience) => {
      asked.push(patience.onlyPreferred ? 'holder' : 'any peer');
      const byHolder = patience.onlyPreferred ? situation.byHolder : undefined;
      return Promise.resolve(byHolder ?? situation.relayed);
    },
  };
  return forwardingJobServices.createForwardingJobService({
    local: own,
    peers,
    clock: types.clock.createSystemClock(),
    logger: telemetry.logger.createLogger('silent'),
    storeReachable: () => reachable,
    holder: () => 'other',
  });
}

async function submit(
  situation: Situation,
): Promise<{readonly type: string; readonly asked: string[]}> {
  const asked: string[] = [];
  const service = createService(situation, asked);
  const {type} = await service.submit(id, worlds.POLICY, worlds.request(1));
  return {type, asked};
}

const REFUSED = {type: 'not_run', retryAfterMs: 1_000} as const;
const OK = {type: 'ok', value: undefined} as const;
const PEER_OK = {type: 'answered', res: OK} as const;

test('a call is answered by a peer while the store turns this entry away', async () => {
  const answer = await submit({
    own: REFUSED,
    relayed: PEER_OK,
    reachable: false,
  });
  assert.deepEqual(answer, {type: 'ok', asked: ['any peer']});
});

// The caller is told that nothing ran, and the job runs. A peer had got the
// call and its answer was lost; then the own desk refused.
test('a call that a peer may have done is not told as refused', async () => {
  const relayed = {
    type: 'unanswered',
    maybeApplied: true,
    isSlow: false,
  } as const;
  const answer = await submit({own: REFUSED, relayed, reachable: false});
  assert.equal(answer.type, 'unknown');
  const sure = {
    type: 'unanswered',
    maybeApplied: false,
    isSlow: false,
  } as const;
  const refused = await submit({own: REFUSED, relayed: sure, reachable: false});
  assert.equal(refused.type, 'not_run');
});

// The job is done, and its caller hears for six seconds that it runs; another
// hears that 4 jobs wait where 20 do. The store answers their entry again, which
// is still reading what it missed; its peers know.
test('questions go to a peer while the own copy is old', async () => {
  const relayed = {type: 'answered', res: {type: 'ok', value: 20}} as const;
  const situation = {own: OK, relayed, reachable: true};
  const asked: string[] = [];
  const old = createService({...situation, current: false}, asked);
  assert.deepEqual(await old.pendingIn('plans'), relayed.res);
  assert.deepEqual(await old.phaseOf(id, 'plans'), relayed.res);
  assert.deepEqual(asked, ['any peer', 'any peer']);
  const current = createService(situation, asked);
  assert.deepEqual(await current.pendingIn('plans'), {type: 'ok', value: 4});
  assert.equal((await current.phaseOf(id, 'plans')).type, 'absent');
  assert.equal(asked.length, 2, 'no peer was asked');
});

test('no number is told where neither the entry nor a peer is current', async () => {
  const relayed = {
    type: 'unanswered',
    maybeApplied: false,
    isSlow: false,
  } as const;
  const situation = {own: OK, relayed, reachable: true, current: false};
  const answer = await createService(situation).pendingIn('plans');
  assert.equal(answer.type, 'not_run');
});

// Load: a store ninety times slower than usual takes 0.7 s for an append and
// handles those of a log one by one; seven entries made a line of 2.5 s.
test("calls share the holder's appends while the store is slow", async () => {
  const slow = {own: OK, relayed: PEER_OK, reachable: true, latencyMs: 700};
  assert.deepEqual(await submit(slow), {type: 'ok', asked: ['holder']});
  const quick = {own: OK, relayed: PEER_OK, reachable: true};
  assert.deepEqual(await submit(quick), {type: 'ok', asked: ['own']});
});

// For as long as a failure domain is cut off, all its callers are refused,
// though every other domain could serve them. Its entries answer each other's
// questions about jobs, took that for a way to the store, told the balancer
// that they were ready, and so kept their callers.
test('only what a peer stored shows a way to the store', async () => {
  const situation = {own: REFUSED, relayed: PEER_OK, reachable: false};
  const desk = createService(situation);
  await desk.phaseOf(id, 'plans');
  assert.equal(desk.hasRelayedRecently(), false, 'after a question');
  await desk.submit(id, worlds.POLICY, worlds.request(1));
  assert.equal(desk.hasRelayedRecently(), true, 'after a job was stored');
});

// Load: 28 jobs a second through 45 entries, and a store that turns forty
// times as slow. Each entry sent one append of its own before it knew; the
// store took them one by one, refused what waited for over 2 s, and 234 jobs of
// 360 were lost.
test("a call goes through the holder where the store's pace isn't known", async () => {
  const unknown = {reachable: true, latencyMs: 'unknown'} as const;
  const answered = {...unknown, own: OK, relayed: PEER_OK};
  assert.deepEqual(await submit(answered), {type: 'ok', asked: ['holder']});
  const lost = {type: 'unanswered', maybeApplied: true, isSlow: false} as const;
  const alone = await submit({...unknown, own: OK, relayed: lost});
  assert.deepEqual(alone, {type: 'ok', asked: ['holder', 'own']});
  const doubt = await submit({
    ...unknown,
    own: REFUSED,
    byHolder: lost,
    relayed: {...lost, maybeApplied: false},
  });
  assert.equal(doubt.type, 'unknown', 'the holder may have stored it');
});

// Its append takes 0.4 s, and 0.8 s with the one before it. An entry that gave
// up on it appended itself, and so made the line longer.
test('a holder that lives and is slow is waited for', async () => {
  const slow = {type: 'unanswered', maybeApplied: true, isSlow: true} as const;
  const unknown = {reachable: true, latencyMs: 'unknown'} as const;
  const answer = await submit({...unknown, own: OK, relayed: slow});
  assert.deepEqual(answer, {type: 'unknown', asked: ['holder', 'holder']});
});

// Guards against calls that go from peer to peer while too many appends are in
// line: each peer adds one, and the line stays full after the store is sound.
test('what a full line refuses goes to the holder alone', async () => {
  const refused = {
    type: 'unanswered',
    maybeApplied: false,
    isSlow: false,
  } as const;
  const answer = await submit({
    own: REFUSED,
    relayed: refused,
    reachable: true,
  });
  assert.deepEqual(answer, {type: 'not_run', asked: ['own', 'holder']});
  const byHolder = await submit({
    own: REFUSED,
    relayed: refused,
    byHolder: PEER_OK,
    reachable: true,
  });
  assert.deepEqual(byHolder, {type: 'ok', asked: ['own', 'holder']});
});

// Guards against callers who are refused though any peer could serve them.
test('what the store turns away goes to any peer', async () => {
  const answer = await submit({
    own: REFUSED,
    relayed: PEER_OK,
    byHolder: {type: 'unanswered', maybeApplied: false, isSlow: false},
    reachable: true,
    refusesAppend: true,
  });
  assert.deepEqual(answer, {type: 'ok', asked: ['own', 'holder', 'any peer']});
});
