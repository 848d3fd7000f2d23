import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as types from '@gypsumwall/types';
import * as plainStep from '../../__fixtures__/plain_step.js';
import type * as history from '../../model/history.js';
import type * as jobCatalog from '../../model/job_catalog.js';
import * as failureRules from '../failure_rules.js';
import * as taskAttempts from '../task_attempts.js';

const {test} = nodeTest;
const TASK = 'j.0.0.0';

const published = (maxAttempts: number): history.EventDetails => ({
  type: 'config_published',
  organisations: [],
  queues: [
    {name: 'q', maxAttempts},
    {name: 'other', maxAttempts: 1},
  ],
});
const sent = (
  step: Partial<jobCatalog.StepSpec> = {},
): history.EventDetails => ({
  type: 'job_sent',
  job: {
    jobId: 'j',
    queue: 'q',
    payload: '',
    steps: [plainStep.createPlainStep(step)],
  },
});
const failed: history.EventDetails = {
  type: 'state_shown',
  jobId: 'j',
  state: 'failed',
};
const begin = (
  workerId: string,
  attempt: number,
  taskId = TASK,
): history.EventDetails => ({type: 'run_started', workerId, taskId, attempt});
const end = (
  workerId: string,
  attempt: number,
  how: history.AttemptEnd,
  taskId = TASK,
): history.EventDetails => ({
  type: 'run_ended',
  workerId,
  taskId,
  attempt,
  how,
});
const crash = (workerId: string): history.EventDetails => ({
  type: 'worker_crashed',
  workerId,
});
const fail = (attempt: number, taskId = TASK) => [
  begin('w', attempt, taskId),
  end('w', attempt, 'failed', taskId),
];
const crashUnder = (workerId: string, attempt: number, taskId = TASK) => [
  begin(workerId, attempt, taskId),
  crash(workerId),
];

function countFindings(...seen: history.EventDetails[]): number {
  const events = seen.map((details, nth) => ({
    ...details,
    at: (nth * 1_000) as types.clock.MonotonicMs,
  }));
  const attempts = taskAttempts.collectTaskAttempts(events);
  const findings = failureRules.findBaselessFailures(events, attempts);
  assert.ok(findings.every(({detail}) => detail.startsWith('j: ')));
  return findings.length;
}

// Guards against a judge that takes any failed job for one that had to fail.
test('a failed job needs as many failures of one task as its queue allows', () => {
  const job = [published(2), sent({taskCount: 2})];
  const other = 'j.0.0.1';
  assert.equal(countFindings(...job, ...fail(1), ...fail(2), failed), 0);
  assert.equal(countFindings(...job, ...fail(1), failed), 1);
  assert.equal(countFindings(...job, failed, ...fail(1), ...fail(2)), 1);
  assert.equal(countFindings(...job, ...fail(1), ...fail(1, other), failed), 1);
  const stopped = [begin('w', 2), end('w', 2, 'stopped')];
  assert.equal(countFindings(...job, ...fail(1), ...stopped, failed), 1);
  const lowered = [...job, published(1), ...fail(1), failed];
  assert.equal(countFindings(...lowered), 0);
});

test('the failed members of a gang count once for each attempt', () => {
  const job = [published(2), sent({taskCount: 2, gang: true})];
  const other = 'j.0.0.1';
  const once = [...fail(1), ...fail(1, other)];
  assert.equal(countFindings(...job, ...once, failed), 1);
  assert.equal(countFindings(...job, ...once, ...fail(2, other), failed), 0);
});

test('the failures of long-running tasks do not count', () => {
  const job = [published(1), sent({lasting: true})];
  assert.equal(countFindings(...job, ...fail(1), failed), 1);
});

// Guards against a judge that counts crashes under other tasks of the job, or
// of workers on which the task did not run any more.
test('a failed job needs two workers that crashed under one task', () => {
  const job = [published(3), sent({taskCount: 2})];
  const first = crashUnder('v', 1);
  assert.equal(countFindings(...job, ...first, failed), 1);
  assert.equal(
    countFindings(...job, ...first, ...crashUnder('w', 2), failed),
    0,
  );
  const sameId = [...first, ...crashUnder('v', 2), failed];
  assert.equal(countFindings(...job, ...sameId), 0);
  const late = [...first, failed, ...crashUnder('w', 2)];
  assert.equal(countFindings(...job, ...late), 1);
  const elsewhere = crashUnder('w', 1, 'j.0.0.1');
  assert.equal(countFindings(...job, ...first, ...elsewhere, failed), 1);
  const ended = [begin('w', 2), end('w', 2, 'lapsed'), crash('w'), failed];
  assert.equal(countFindings(...job, ...first, ...ended), 1);
  const left: history.EventDetails = {type: 'worker_left', workerId: 'w'};
  assert.equal(countFindings(...job, ...first, begin('w', 2), left, failed), 1);
});

test('a job that is shown as failed only for a while is found', () => {
  const completed: history.EventDetails = {
    type: 'state_shown',
    jobId: 'j',
    state: 'completed',
  };
  assert.equal(countFindings(published(3), sent(), failed, completed), 1);
});
