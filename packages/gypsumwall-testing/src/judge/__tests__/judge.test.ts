/**
 * Each case has a history with one violation, which the judge must attribute to
 * the right guarantee, and a similar valid history in which it must find
 * nothing.
 */
import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as types from '@gypsumwall/types';
import type * as historyEvent from '../../history_event.js';
import type * as machineClock from '../../machine_clock.js';
import type * as finding from '../finding.js';
import * as judge from '../judge.js';

type Body = historyEvent.EventBody;

const EVENT_INTERVAL_MS = 1_000;

/** Creates a history with one event per second. */
function historyOf(bodies: readonly Body[]): historyEvent.HistoryEvent[] {
  return bodies.map((body, number) => {
    const at = (number * EVENT_INTERVAL_MS) as machineClock.MachineMs;
    return {...body, at, source: 'test', number};
  });
}

function size(cpuMillis: number): types.resources.Resources {
  return {cpuMillis, memoryMb: 100, accelerators: 0};
}

function workerUp(workerId: string): Body {
  const incarnation = `${workerId}-1`;
  return {type: 'worker_up', workerId, incarnation, capacity: size(1_000)};
}

function taskStarted(
  workerId: string,
  taskId: string,
  cpuMillis: number,
): Body {
  const label = 'job-1';
  const attempt = '1.1';
  const taskSize = {...size(cpuMillis), memoryMb: 10};
  return {
    type: 'task_started',
    workerId,
    taskId,
    attempt,
    epoch: 1,
    size: taskSize,
    label,
  };
}

function taskEnded(
  workerId: string,
  taskId: string,
  cause: historyEvent.EndCause = 'done',
): Body {
  const used = size(1);
  const attempt = '1.1';
  return {type: 'task_ended', workerId, taskId, attempt, cause, used, ranMs: 5};
}

function endEvent(type: 'end_told' | 'end_acknowledged'): Body {
  return {type, workerId: 'w1', taskId: 'd.j/0', attempt: '1.1'};
}

function requestSent(callId: string, bodyHash: string): Body {
  const call = {entryId: 'e1', team: 't', operation: 'file-plan', key: 'k'};
  return {type: 'request_sent', callId, bodyHash, ...call};
}

function requestTold(callId: string, told: historyEvent.RequestOutcome): Body {
  return {type: 'request_told', callId, told};
}

function done(answerHash: string): historyEvent.RequestOutcome {
  return {type: 'done', answerHash, bytes: 3};
}

function notRun(reason = 'overloaded'): historyEvent.RequestOutcome {
  return {type: 'not_run', reason, message: ''};
}

function broken(neverSent: boolean): historyEvent.RequestOutcome {
  return {type: 'broken', message: '', neverSent};
}

function executionStarted(executionId: string, bodyHash: string): Body {
  const fields = {requestId: 'r', team: 't', operation: 'file-plan'};
  return {
    type: 'execution_started',
    upstreamId: 'u1',
    executionId,
    bodyHash,
    ...fields,
    key: 'k',
    authority: true,
  };
}

function executionEnded(executionId: string, answerHash: string): Body {
  const upstreamId = 'u1';
  return {
    type: 'execution_ended',
    upstreamId,
    executionId,
    answerHash,
    bytes: 3,
  };
}

function published(callId: string, base: number, revision: number): Body {
  const told = {type: 'accepted' as const, revision};
  const where = {entryId: 'e1', path: 'teams/t'};
  return {type: 'publish_told', callId, ...where, base, told};
}

function settingSeen(revision: number, askedAtStep: number): Body {
  const askedAt = (askedAtStep * EVENT_INTERVAL_MS) as machineClock.MachineMs;
  return {
    type: 'setting_seen',
    entryId: 'e2',
    path: 'teams/t',
    revision,
    askedAt,
  };
}

function jobTold(told: historyEvent.JobOutcome): Body {
  return {type: 'job_told', callId: 'c1', label: 'job-1', told};
}

const ACCEPTED = jobTold({type: 'accepted', jobId: 'd.j'});

function jobSeen(state: types.job.JobView['state'], tasks = 1): Body {
  const view = {
    jobId: 'd.j',
    state,
    tasks,
    kind: 'batch',
    running: 0,
    message: '',
  };
  return {type: 'job_seen', entryId: 'e1', view: view as never};
}

const STOPPING: Body = {type: 'entry_stopping', entryId: 'e1'};
const SETTLED: Body = {type: 'settled'};

function exited(code: number): Body {
  return {type: 'entry_exited', entryId: 'e1', code, signal: ''};
}

interface JudgeCase {
  readonly name: string;
  readonly promise: finding.PromiseName;
  readonly valid: readonly Body[];
  readonly violating: readonly Body[];
}

const CASES: readonly JudgeCase[] = [
  {
    name: 'a worker runs tasks beyond its processors',
    promise: 'capacity',
    valid: [
      workerUp('w1'),
      taskStarted('w1', 'd.j/0', 600),
      taskEnded('w1', 'd.j/0'),
      taskStarted('w1', 'd.j/1', 600),
    ],
    violating: [
      workerUp('w1'),
      taskStarted('w1', 'd.j/0', 600),
      taskStarted('w1', 'd.j/1', 600),
    ],
  },
  {
    name: 'a task runs on two workers',
    promise: 'one_place',
    valid: [
      workerUp('w1'),
      workerUp('w2'),
      taskStarted('w1', 'd.j/0', 1),
      taskEnded('w1', 'd.j/0', 'lease_lapsed'),
      taskStarted('w2', 'd.j/0', 1),
    ],
    violating: [
      workerUp('w1'),
      workerUp('w2'),
      taskStarted('w1', 'd.j/0', 1),
      taskStarted('w2', 'd.j/0', 1),
    ],
  },
  {
    name: 'a task known to be done is started again',
    promise: 'done_once',
    valid: [
      workerUp('w1'),
      taskStarted('w1', 'd.j/0', 1),
      taskEnded('w1', 'd.j/0'),
      taskStarted('w1', 'd.j/0', 1),
      endEvent('end_told'),
      endEvent('end_acknowledged'),
    ],
    violating: [
      workerUp('w1'),
      taskStarted('w1', 'd.j/0', 1),
      taskEnded('w1', 'd.j/0'),
      endEvent('end_told'),
      taskStarted('w1', 'd.j/0', 1),
      endEvent('end_acknowledged'),
    ],
  },
  {
    name: "a caller receives another request's answer",
    promise: 'whole_answer',
    valid: [
      requestSent('c1', 'b1'),
      executionStarted('x1', 'b1'),
      executionEnded('x1', 'a1'),
      requestTold('c1', done('a1')),
    ],
    violating: [
      requestSent('c1', 'b1'),
      executionStarted('x1', 'b1'),
      executionEnded('x1', 'a1'),
      requestTold('c1', done('a2')),
    ],
  },
  {
    name: 'a request that received not_run runs later',
    promise: 'not_run_is_true',
    valid: [
      requestSent('c1', 'b1'),
      requestTold('c1', notRun()),
      requestSent('c2', 'b1'),
      executionStarted('x1', 'b1'),
      requestTold('c2', {type: 'unknown', message: ''}),
    ],
    violating: [
      requestSent('c1', 'b1'),
      requestTold('c1', notRun()),
      executionStarted('x1', 'b1'),
    ],
  },
  {
    name: 'a request whose key has run receives not_run',
    promise: 'not_run_is_true',
    valid: [
      requestSent('c1', 'b1'),
      executionStarted('x1', 'b1'),
      executionEnded('x1', 'a1'),
      requestTold('c1', done('a1')),
      requestSent('c2', 'b1'),
      requestTold('c2', notRun('key_in_use')),
    ],
    violating: [
      requestSent('c1', 'b1'),
      executionStarted('x1', 'b1'),
      executionEnded('x1', 'a1'),
      requestTold('c1', done('a1')),
      requestSent('c2', 'b1'),
      requestTold('c2', notRun()),
    ],
  },
  {
    name: 'a refused job has a task',
    promise: 'not_run_is_true',
    valid: [
      workerUp('w1'),
      jobTold(notRun() as historyEvent.JobOutcome),
      jobTold({type: 'unknown', message: ''}),
      taskStarted('w1', 'd.j/0', 1),
    ],
    violating: [
      workerUp('w1'),
      jobTold(notRun() as historyEvent.JobOutcome),
      taskStarted('w1', 'd.j/0', 1),
    ],
  },
  {
    name: 'a plan is filed twice',
    promise: 'at_most_once',
    valid: [requestSent('c1', 'b1'), executionStarted('x1', 'b1')],
    violating: [
      requestSent('c1', 'b1'),
      executionStarted('x1', 'b1'),
      executionStarted('x2', 'b1'),
    ],
  },
  {
    name: 'a leaving upstream gets new work',
    promise: 'leaving_upstream',
    valid: [
      {type: 'upstream_leaving', upstreamId: 'u1'},
      requestSent('c1', 'b1'),
      executionStarted('x1', 'b1'),
    ],
    violating: [
      {type: 'upstream_leaving', upstreamId: 'u1'},
      ...Array.from({length: 6}, (): Body => ({type: 'step', text: ''})),
      requestSent('c1', 'b1'),
      executionStarted('x1', 'b1'),
    ],
  },
  {
    name: 'a planned stop breaks a call',
    promise: 'planned_stop',
    valid: [
      requestSent('c1', 'b1'),
      STOPPING,
      requestTold('c1', {type: 'unknown', message: ''}),
      requestSent('c2', 'b2'),
      requestTold('c2', broken(true)),
      exited(0),
    ],
    violating: [
      requestSent('c1', 'b1'),
      STOPPING,
      requestTold('c1', broken(false)),
      exited(0),
    ],
  },
  {
    name: 'a planned stop ends with an error',
    promise: 'planned_stop',
    valid: [STOPPING, exited(0)],
    violating: [STOPPING, exited(1)],
  },
  {
    name: 'a setting reverts',
    promise: 'configuration',
    valid: [settingSeen(1, 0), settingSeen(1, 0.5), settingSeen(2, 2)],
    violating: [settingSeen(2, 0), settingSeen(1, 0.5)],
  },
  {
    name: 'an accepted setting is not in force after the bound',
    promise: 'configuration',
    valid: [published('p1', 1, 2), settingSeen(1, 3), settingSeen(2, 9)],
    violating: [published('p1', 1, 2), settingSeen(1, 9)],
  },
  {
    name: 'two publishes on one revision are accepted',
    promise: 'configuration',
    valid: [published('p1', 1, 2), published('p2', 2, 3)],
    violating: [published('p1', 1, 2), published('p2', 1, 3)],
  },
  {
    name: 'an accepted job is never finished',
    promise: 'nothing_lost',
    valid: [
      workerUp('w1'),
      ACCEPTED,
      taskStarted('w1', 'd.j/0', 1),
      taskEnded('w1', 'd.j/0'),
      jobSeen('done'),
      SETTLED,
    ],
    violating: [ACCEPTED, jobSeen('running'), SETTLED],
  },
  {
    name: 'a job is reported done before its tasks ended',
    promise: 'nothing_lost',
    valid: [
      workerUp('w1'),
      ACCEPTED,
      taskStarted('w1', 'd.j/0', 1),
      taskEnded('w1', 'd.j/0'),
      jobSeen('done', 1),
      SETTLED,
    ],
    violating: [
      workerUp('w1'),
      ACCEPTED,
      taskStarted('w1', 'd.j/0', 1),
      taskEnded('w1', 'd.j/0'),
      jobSeen('done', 2),
      SETTLED,
    ],
  },
  {
    name: 'an entry has no record of a job that was done',
    promise: 'nothing_lost',
    valid: [
      workerUp('w1'),
      ACCEPTED,
      taskStarted('w1', 'd.j/0', 1),
      taskEnded('w1', 'd.j/0'),
      {type: 'job_missing', entryId: 'e1', jobId: 'd.j'},
      jobSeen('done'),
      SETTLED,
    ],
    violating: [
      workerUp('w1'),
      ACCEPTED,
      taskStarted('w1', 'd.j/0', 1),
      taskEnded('w1', 'd.j/0'),
      jobSeen('done'),
      {type: 'job_missing', entryId: 'e1', jobId: 'd.j'},
      SETTLED,
    ],
  },
  {
    name: 'an accepted job is never reported',
    promise: 'nothing_lost',
    valid: [ACCEPTED, {type: 'job_cancel_accepted', jobId: 'd.j'}, SETTLED],
    violating: [ACCEPTED, SETTLED],
  },
];

/**
 * The cases count in steps of one second, so the bound of the configuration is
 * fixed here.
 */
const BOUNDS = {...judge.DEFAULT_BOUNDS, configBoundMs: 5_000};

/**
 * `askedAt` of a reading counts in seconds from the first event; the reading's
 * own time must not be before it.
 */
function historyWithReadings(
  bodies: readonly Body[],
): historyEvent.HistoryEvent[] {
  return historyOf(bodies).map((event) => {
    if (event.type !== 'setting_seen') return event;
    const at = Math.max(event.at, event.askedAt) as machineClock.MachineMs;
    return {...event, at};
  });
}

for (const {name, promise, valid, violating} of CASES) {
  nodeTest.test(`finds: ${name}`, () => {
    assert.deepEqual(judge.judge(historyWithReadings(valid), BOUNDS), []);
    const found = judge.judge(historyWithReadings(violating), BOUNDS);
    assert.ok(found.length > 0, 'nothing found');
    for (const one of found) assert.equal(one.promise, promise, one.message);
  });
}
