import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as fc from 'fast-check';
import * as types from '@gypsumwall/types';
import * as fakeWorkers from '../__fixtures__/fake_worker.js';
import * as channelForms from '../channel_forms.js';
import type * as ports from '../ports.js';
import type * as workerChannel from '../worker_channel.js';

const {test} = nodeTest;
const WORKERS = ['w1', 'w2', 'w3'].map(
  (name) => fakeWorkers.createFakeWorker(name, 4).info,
);
const FORMS = [undefined, channelForms.COMPACT_TYPE];

const taskIds = fc
  .nat(6)
  .map((nth) => types.ids.brand<types.ids.TaskId>(`job${nth}.0.0.${nth}`));
const checkpoints = fc.constantFrom('', 's1', 's2');
const running = fc.uniqueArray(
  fc.record({
    taskId: taskIds,
    attempt: fc.integer({min: 1, max: 3}),
    checkpoint: checkpoints,
    percent: fc.nat(100),
  }),
  {selector: ({taskId, attempt}) => `${taskId}#${attempt}`},
);
const ends = fc.array(
  fc.record({
    sequence: fc.nat(),
    taskId: taskIds,
    attempt: fc.integer({min: 1, max: 3}),
    how: fc.constantFrom('done' as const, 'failed' as const),
    checkpoint: checkpoints,
  }),
);
const outcomes: fc.Arbitrary<workerChannel.CallOutcome> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      answer: fc.record({
        type: fc.constant('report' as const),
        clockMs: fc.nat(),
        running,
        ends,
        hasMoreEnds: fc.boolean(),
      }),
    }),
  },
  fc.constantFrom<workerChannel.CallOutcome>(
    {answer: {type: 'accepted', clockMs: 5}},
    {answer: {type: 'refused', reason: 'no_room'}},
    {answer: {type: 'gone'}},
    {answer: {type: 'fenced'}},
    {
      err: {
        kind: 'timeout',
        step: 'worker.start',
        peer: 'w1',
        effect: 'unknown',
        message: 'injected fault',
      },
    },
  ),
);
const lines = fc.array(
  fc.array(fc.tuple(fc.constantFrom(...WORKERS), outcomes)),
);

/** The order of attempts in a report has no meaning. */
function normalize(outcomes: readonly workerChannel.CallOutcome[]): unknown {
  const sorted = outcomes.map((outcome) => {
    if ('err' in outcome || outcome.answer.type !== 'report') return outcome;
    const rows = outcome.answer.running.map(
      ({taskId, attempt, checkpoint, percent}) =>
        JSON.stringify([taskId, attempt, checkpoint, percent]),
    );
    return {answer: {...outcome.answer, running: rows.sort()}};
  });
  return JSON.parse(JSON.stringify(sorted));
}

/** Both ends of a stream whose workers have been introduced. */
function openStream(mediaType: string | undefined) {
  const holder = channelForms.createHolderForm(mediaType, () => true);
  const peer = channelForms.createPeerForm(mediaType).form;
  const call = {token: 1, acknowledged: 0, waitMs: 0, timeoutMs: 10};
  const calls = WORKERS.map((worker, nth) => ({
    nth,
    worker,
    call: {type: 'poll' as const, call},
  }));
  peer.decodeCalls(holder.encodeCalls(calls, 5));
  return {holder, peer};
}

// Guards against a holder that takes changes of a report for the whole report,
// and so for attempts that do not run any more.
test('answers arrive as they were sent, in each form', () => {
  for (const mediaType of FORMS) {
    fc.assert(
      fc.property(lines, (sentLines) => {
        const {holder, peer} = openStream(mediaType);
        for (const sent of sentLines) {
          const answers = sent.map(([{id: worker}, outcome], nth) => ({
            nth,
            worker,
            ...outcome,
          }));
          const line = holder.decodeAnswers(peer.encodeAnswers(answers, true));
          assert.equal(line.isLeaving, true);
          assert.deepEqual(
            normalize(line.answers.map(({nth: _, ...outcome}) => outcome)),
            normalize(sent.map(([, outcome]) => outcome)),
          );
        }
      }),
    );
  }
});

function startOf(payload: string): workerChannel.WorkerCall {
  const call: ports.StartCall = {
    taskId: types.ids.brand('job.0.0.1'),
    attempt: 1,
    payload,
    token: 7,
    leaseUntil: 900,
    timeoutMs: 250,
    ticket: 't1',
    checkpoint: 's1',
  };
  return {type: 'start', call};
}

// Guards against a task that starts with the payload of another job: more
// payloads than the ends of a stream remember are sent, also in one line.
test('each start arrives with its own payload, in each form', () => {
  const payloads = Array.from({length: 200}, (_, nth) => `payload ${nth}`);
  for (const mediaType of FORMS) {
    const {holder, peer} = openStream(mediaType);
    const [worker] = WORKERS;
    for (const sent of [payloads, ...payloads.map((one) => [one, one])]) {
      const calls = sent.map((payload, nth) => ({
        nth,
        worker: worker!,
        call: startOf(payload),
      }));
      const received = peer.decodeCalls(holder.encodeCalls(calls, 5));
      assert.deepEqual(
        received.calls.map(({call}) => call),
        calls.map(({call}) => call),
      );
    }
  }
});

// Guards against a call that is taken for another one beside a later version.
test('a line of an unknown version is refused, in each form', () => {
  for (const mediaType of FORMS) {
    const {holder, peer} = openStream(mediaType);
    for (const line of ['{}', '{"token":1,"delayMs":1,"calls":[[1,"x",0]]}'])
      assert.throws(() => peer.decodeCalls(line));
    for (const line of ['{}', '{"answers":[[1,"x"]],"isLeaving":false}'])
      assert.throws(() => holder.decodeAnswers(line));
  }
});

const REPORT: ports.PollAnswer = {
  type: 'report',
  clockMs: 5,
  running: [],
  ends: [],
  hasMoreEnds: false,
};

/** Introduces a worker on a stream; returns what the peer is told of it. */
function introduce(
  {holder, peer}: ReturnType<typeof openStream>,
  worker: workerChannel.ChannelCall['worker'],
) {
  const call = {token: 1, acknowledged: 0, waitMs: 0, timeoutMs: 10};
  const calls = [{nth: 90, worker, call: {type: 'poll' as const, call}}];
  const received = peer.decodeCalls(holder.encodeCalls(calls, 5));
  return {workers: received.workers, called: received.calls[0]?.worker};
}

// Guards against a holder that doesn't learn, through a peer, that a worker has
// started again under its id, and against calls to the address that it had.
test('another incarnation of a worker is told apart, in each form', () => {
  for (const mediaType of FORMS) {
    const stream = openStream(mediaType);
    const first = {
      ...WORKERS[0]!,
      id: types.ids.brand<types.ids.WorkerId>('w9'),
    };
    const second = {...first, bornMs: 2, address: 'elsewhere:1'};
    const bornOf = (answer: workerChannel.WorkerAnswer) => {
      const sent = [{nth: 1, worker: first.id, answer}];
      const line = stream.peer.encodeAnswers(sent, false);
      const [decoded] = stream.holder.decodeAnswers(line).answers;
      assert.ok(decoded !== undefined && 'answer' in decoded);
      assert.equal(decoded.answer.type, answer.type);
      return 'bornMs' in decoded.answer ? decoded.answer.bornMs : undefined;
    };
    const answers: workerChannel.WorkerAnswer[] = [
      REPORT,
      {type: 'accepted', clockMs: 5},
      {type: 'refused', reason: 'no_room'},
    ];
    assert.deepEqual(introduce(stream, first).workers, [first]);
    for (const answer of answers)
      assert.equal(bornOf({...answer, bornMs: 1} as typeof answer), 1);
    assert.deepEqual(introduce(stream, first).workers, []);
    const again = introduce(stream, second);
    assert.deepEqual(again.workers, [second]);
    assert.equal(again.called, second.id);
    for (const answer of answers) {
      assert.equal(bornOf(answer), undefined);
      const own = bornOf({...answer, bornMs: 2} as typeof answer);
      assert.ok(own === 2 || own === undefined, 'as the holder named it');
      assert.equal(bornOf({...answer, bornMs: 3} as typeof answer), 3);
    }
  }
});

// Guards against a worker that can't be reached through a peer any more: a poll
// of the incarnation before is repeated after the next one was introduced, and
// all calls then go to the address that the worker had.
test('the peer calls the address of the incarnation in the call, in each form', () => {
  for (const mediaType of FORMS) {
    const stream = openStream(mediaType);
    const first = {...WORKERS[0]!, bornMs: 1};
    const second = {...first, bornMs: 2, address: 'elsewhere:1'};
    const unknown = {...first, bornMs: undefined};
    const moved = {...unknown, address: 'elsewhere:2'};
    for (const worker of [second, first, second, unknown, moved]) {
      const {address} = introduce(stream, worker).workers[0]!;
      assert.equal(address, worker.address);
      assert.deepEqual(introduce(stream, worker).workers, []);
    }
  }
});

// Guards against entries of two builds that can't call workers for each other.
test('lines without the start of an incarnation are read, in each form', () => {
  const plain = openStream(undefined);
  const compact = openStream(channelForms.COMPACT_TYPE);
  const answersOf = (form: workerChannel.HolderForm, line: string) =>
    form
      .decodeAnswers(line)
      .answers.map((one) => ('answer' in one ? one.answer.type : 'err'));
  const kinds = ['report', 'accepted', 'refused'];
  assert.deepEqual(
    answersOf(
      compact.holder,
      '{"answers":[[1,"report",0,5,[[],[],[]],[],0],[2,"accepted",5],[3,"refused","no_room"]]}',
    ),
    kinds,
  );
  assert.deepEqual(
    answersOf(
      plain.holder,
      `{"isLeaving":false,"answers":[{"nth":1,"answer":${JSON.stringify(REPORT)}},{"nth":2,"answer":{"type":"accepted","clockMs":5}},{"nth":3,"answer":{"type":"refused","reason":"no_room"}}]}`,
    ),
    kinds,
  );
});
