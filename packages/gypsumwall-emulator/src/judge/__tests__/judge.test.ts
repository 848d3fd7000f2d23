import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import type * as types from '@gypsumwall/types';
import * as plainStep from '../../__fixtures__/plain_step.js';
import type * as history from '../../model/history.js';
import type * as jobCatalog from '../../model/job_catalog.js';
import * as judge from '../judge.js';
import * as keyRules from '../key_rules.js';
import * as quotaRules from '../quota_rules.js';

const {test} = nodeTest;
const STEP = plainStep.createPlainStep();

function createJob(step: Partial<jobCatalog.StepSpec>): jobCatalog.JobSpec {
  return {jobId: 'j', queue: 'q', payload: '', steps: [{...STEP, ...step}]};
}

/** Creates events that are one second apart. */
function createEvents(...seen: history.EventDetails[]): history.HistoryEvent[] {
  return seen.map((details, nth) => ({
    ...details,
    at: (nth * 1_000) as types.clock.MonotonicMs,
  }));
}

const attemptOn = (workerId: string, attempt: number) => ({
  workerId,
  taskId: 'j.0.0.0',
  attempt,
});
const started = (workerId: string, attempt: number): history.EventDetails => ({
  type: 'run_started',
  ...attemptOn(workerId, attempt),
});
const ended = (
  workerId: string,
  attempt: number,
  how: history.AttemptEnd,
): history.EventDetails => ({
  type: 'run_ended',
  ...attemptOn(workerId, attempt),
  how,
});
const acknowledged = (
  workerId: string,
  attempt: number,
  how: history.AttemptEnd,
): history.EventDetails => ({
  type: 'end_acknowledged',
  ...attemptOn(workerId, attempt),
  how,
});
const shown = (state: history.JobState): history.EventDetails => ({
  type: 'state_shown',
  jobId: 'j',
  state,
});
const told = (how: 'accepted' | 'refused'): history.EventDetails => ({
  type: 'job_told',
  jobId: 'j',
  told: how,
});
const sent = (
  step: Partial<jobCatalog.StepSpec> = {},
): history.EventDetails => ({
  type: 'job_sent',
  job: createJob(step),
});
const filler: history.EventDetails = {type: 'disruption', what: 'none'};
const fillers = (count: number): history.EventDetails[] =>
  Array.from({length: count}, () => filler);

function brokenPromises(seen: readonly history.EventDetails[]): string[] {
  return judge.judge(createEvents(...seen)).map(({promise}) => promise);
}

test('a job that completes after a retry breaks no promise', () => {
  const seen = [
    sent(),
    told('accepted'),
    started('w', 1),
    ended('w', 1, 'failed'),
    started('v', 2),
    ended('v', 2, 'done'),
    acknowledged('v', 2, 'done'),
    shown('completed'),
  ];
  assert.deepEqual(brokenPromises(seen), []);
});

test('overlapping attempts are found, also if the earlier one never ended', () => {
  const seen = [started('w', 1), started('v', 2), ended('v', 2, 'done')];
  assert.deepEqual(brokenPromises(seen), ['no task runs twice at a time']);
});

test('a start after an acknowledged end is found', () => {
  const seen = [
    started('w', 1),
    ended('w', 1, 'done'),
    acknowledged('w', 1, 'done'),
    started('v', 2),
  ];
  assert.deepEqual(brokenPromises(seen), ['no task runs twice at a time']);
});

test('an attempt may start after the earlier one was lost with its worker', () => {
  const seen = [
    started('w', 1),
    {type: 'worker_left', workerId: 'w'} as const,
    started('v', 2),
  ];
  assert.deepEqual(brokenPromises(seen), []);
});

test('accepted jobs that are unknown later, unfinished or shown as completed too early are found', () => {
  const promise = 'nothing accepted is lost';
  const accepted = [sent(), told('accepted')];
  assert.deepEqual(brokenPromises(accepted), [promise]);
  const forgotten = [...accepted, ...fillers(4), shown('absent')];
  assert.deepEqual(brokenPromises(forgotten), [promise, promise]);
  assert.deepEqual(brokenPromises([...accepted, shown('completed')]), [
    promise,
  ]);
});

test('a long-running task that is down for too long is found', () => {
  const job = [sent({lasting: true}), told('accepted'), started('w', 1)];
  const failed = ended('w', 1, 'failed');
  const shownRunning = shown('running');
  const lateRestart = [
    ...job,
    failed,
    ...fillers(10),
    started('v', 2),
    shownRunning,
  ];
  assert.deepEqual(brokenPromises(lateRestart), [
    'lasting tasks run again in time',
  ]);
  const noRestart = [...job, failed, ...fillers(10), shownRunning];
  assert.deepEqual(brokenPromises(noRestart), [
    'lasting tasks run again in time',
  ]);
  const timelyRestart = [
    ...job,
    failed,
    ...fillers(7),
    started('v', 2),
    shownRunning,
  ];
  assert.deepEqual(brokenPromises(timelyRestart), []);
});

test('an incomplete gang is found unless a disruption is near', () => {
  const seen = [started('w', 1), ended('w', 1, 'alone')];
  assert.deepEqual(brokenPromises(seen), ['gangs start whole']);
  assert.deepEqual(brokenPromises([...seen, filler]), []);
});

test('a task of a refused job is found', () => {
  const seen = [sent(), told('refused'), started('w', 1)];
  assert.deepEqual(brokenPromises(seen), [
    'nothing runs that was not asked for',
  ]);
});

test('a task that starts before the step that it depends on is done is found', () => {
  const steps = [STEP, {...STEP, after: [0]}];
  const job = {jobId: 'j', queue: 'q', payload: '', steps};
  const later: history.EventDetails = {
    type: 'run_started',
    workerId: 'v',
    taskId: 'j.0.1.0',
    attempt: 1,
  };
  const before: history.EventDetails[] = [
    {type: 'job_sent', job},
    started('w', 1),
  ];
  const early = [...before, later, ended('w', 1, 'done')];
  assert.deepEqual(brokenPromises(early), ['steps keep their order']);
  assert.deepEqual(
    brokenPromises([...before, ended('w', 1, 'done'), later]),
    [],
  );
});

const crashed = (workerId: string): history.EventDetails => ({
  type: 'worker_crashed',
  workerId,
  culprit: 'j.0.0.0',
});

test('a task that is started too often after three crashes is found', () => {
  const crash = {index: 0, afterMs: 10};
  const job = [sent({crash}), told('accepted')];
  const starts = (count: number) =>
    Array.from({length: count}, (_none, nth) => [
      started(`w${nth}`, nth + 1),
      crashed(`w${nth}`),
    ]).flat();
  const givenUp = [...job, ...starts(5), shown('failed')];
  assert.deepEqual(brokenPromises(givenUp), []);
  const tooManyStarts = [...job, ...starts(6), shown('failed')];
  const promise = 'tasks that crash workers are given up';
  assert.deepEqual(brokenPromises(tooManyStarts), [promise]);
});

test('a job that is shown as failed after an unrelated crash is found', () => {
  const seen = [
    sent(),
    told('accepted'),
    started('w', 1),
    {type: 'worker_crashed', workerId: 'w'} as const,
    shown('failed'),
  ];
  assert.deepEqual(brokenPromises(seen), [
    'nothing accepted is lost',
    'jobs fail only for a cause',
  ]);
});

const published = (cpuMillis: number, key: string): history.EventDetails => ({
  type: 'config_published',
  organisations: [
    {name: 'north', keys: [key], weight: 1, quota: {cpuMillis, memoryMb: 0}},
  ],
  queues: [],
});

// Guards against a judge that misses starts above a quota, or that counts a
// quota which was lowered a moment ago as in force everywhere.
test('a start above each quota that may be in force is found', () => {
  const job = {...createJob({taskCount: 9}), organisation: 'north'};
  const begin = (index: number): history.EventDetails => ({
    type: 'run_started',
    workerId: 'w',
    taskId: `j.0.0.${index}`,
    attempt: 1,
  });
  const exceeded = (...seen: history.EventDetails[]) =>
    quotaRules.findExceededQuotas(createEvents(...seen)).length;
  const sent: history.EventDetails = {type: 'job_sent', job};
  const starts = [0, 1, 2].map(begin);
  assert.equal(exceeded(published(1_000, 'k'), sent, ...starts), 1);
  assert.equal(exceeded(published(2_000, 'k'), sent, ...starts), 0);
  const lowered = [published(2_000, 'k'), sent, published(1_000, 'k')];
  assert.equal(exceeded(...lowered, ...starts), 0);
  const pauses = starts.map(() => shown('running'));
  assert.equal(exceeded(...lowered, ...pauses, ...starts), 1);
});

// Guards against findings about calls that an entry receives late, after their
// key was revoked.
test('a call may be judged by any configuration in force until its answer', () => {
  const used = (key: string, sentSecond: number): history.EventDetails => ({
    type: 'key_used',
    key,
    sentAt: (sentSecond * 1_000) as types.clock.MonotonicMs,
    isAccepted: false,
  });
  const early = createEvents(published(0, 'key'), filler, used('key', 1));
  const late = createEvents(
    published(0, 'key'),
    filler,
    published(0, 'other-key'),
    used('key', 1),
  );
  assert.equal(keyRules.findMisjudgedKeys(early).length, 1);
  assert.equal(keyRules.findMisjudgedKeys(late).length, 0);
});

// Guards against a judge that misses calls with revoked keys.
test('a call that is judged by an outdated key is found, without the key', () => {
  const used = (key: string, second: number, isAccepted: boolean) => ({
    type: 'key_used' as const,
    key,
    sentAt: (second * 1_000) as types.clock.MonotonicMs,
    isAccepted,
  });
  const found = keyRules.findMisjudgedKeys(
    createEvents(
      published(0, 'old-key'),
      published(0, 'new-key'),
      used('old-key', 3, true),
      used('new-key', 3, false),
      used('old-key', 5, true),
      used('new-key', 5, false),
      used('new-key', 6, true),
    ),
  );
  assert.equal(found.length, 2);
  assert.doesNotMatch(JSON.stringify(found), /-key/);
});
