import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as domainHarness from '../__fixtures__/domain_harness.js';

const {until, maxConcurrentAttempts} = domainHarness;

nodeTest.test('a start whose answer was lost runs once', async (t) => {
  // Failure: a task runs twice because the answer to its start was lost. The
  // worker starts the task, and the next heartbeat shows it running; placing it
  // again immediately would run it a second time.
  const domain = domainHarness.createDomainHarness(t, ['w1', 'w2']);
  domain.startFaults.set('w1', {type: 'lose_answer'});
  domain.startFaults.set('w2', {type: 'lose_answer'});
  domain.createHolder(1);
  const jobId = domain.submit('a', 100);
  await until('done', () => domain.jobs.job(jobId)?.phase.type === 'done');
  assert.equal(maxConcurrentAttempts(domain.events()), 1);
  assert.equal(domain.starts().length, 1);
});

nodeTest.test('a late start from an earlier epoch is refused', async (t) => {
  // Failure: a delayed start of an old holder runs a task a second time. The
  // old holder's start is delayed in the network, its claim lapses, a new
  // holder attaches and starts the task, and then the old start arrives. The
  // worker refuses it, because its epoch is old and its start deadline has
  // passed.
  const domain = domainHarness.createDomainHarness(t, ['w1', 'w2']);
  let deliver = () => undefined as void;
  const delivery = new Promise<void>((resolve) => (deliver = resolve));
  domain.startFaults.set('w1', {type: 'hold', until: delivery});
  domain.startFaults.set('w2', {type: 'hold', until: delivery});
  const old = domain.createHolder(1);
  const jobId = domain.submit('a', 200);
  await until('decided', () => old.scheduler.activeTaskCount(jobId) === 1);
  old.claimDeadline = undefined;
  domain.startFaults.clear();
  domain.createHolder(2);
  await until('started', () => domain.starts().length === 1);
  deliver();
  await until('done', () => domain.jobs.job(jobId)?.phase.type === 'done');
  assert.equal(maxConcurrentAttempts(domain.events()), 1);
  assert.deepEqual(
    domain.starts().map((event) => 'epoch' in event && event.epoch),
    [2],
  );
});

nodeTest.test('an unreachable task restarts after its lease', async (t) => {
  // Failure: a task runs on two workers because the new holder can't reach the
  // first one. The new holder starts the task elsewhere only after the old
  // lease and its grace period; the unreachable worker has stopped it by then.
  const domain = domainHarness.createDomainHarness(t, ['w1', 'w2']);
  const old = domain.createHolder(1);
  const jobId = domain.submit('a', 400);
  await until('started', () => domain.starts().length === 1);
  const first = domain.starts()[0];
  assert.ok(first !== undefined && 'workerId' in first);
  old.claimDeadline = undefined;
  await old.scheduler.close();
  const heldAt = performance.now();
  const next = domain.createHolder(2);
  next.unreachable.add(first.workerId);
  await until('again', () => domain.starts().length === 2);
  const waitedMs = performance.now() - heldAt;
  const {taskLeaseMs} = domainHarness.DURATIONS;
  assert.ok(waitedMs >= taskLeaseMs, `started again after ${waitedMs} ms`);
  await until('done', () => domain.jobs.job(jobId)?.phase.type === 'done');
  assert.equal(maxConcurrentAttempts(domain.events()), 1);
});

nodeTest.test('a new holder takes over running tasks', async (t) => {
  // Failure: a failover interrupts a running task or loses its result. The
  // holder dies while the task runs; the next holder finds the task on the
  // worker and renews its lease.
  const domain = domainHarness.createDomainHarness(t, ['w1']);
  const old = domain.createHolder(1);
  const jobId = domain.submit('a', 600);
  await until('started', () => domain.starts().length === 1);
  await old.scheduler.close();
  domain.createHolder(2);
  await until('done', () => domain.jobs.job(jobId)?.phase.type === 'done');
  assert.equal(domain.starts().length, 1);
});

nodeTest.test('an end that was not logged is reported again', async (t) => {
  // Failure: a result is lost, or its task run again, because the task ended
  // while the log was unavailable. The holder doesn't acknowledge the end, so
  // the worker reports it with each heartbeat until the record is committed.
  const domain = domainHarness.createDomainHarness(t, ['w1']);
  domain.log.isAccepting = false;
  domain.createHolder(1);
  const jobId = domain.submit('a', 30);
  await until('tried', () => domain.log.appended.includes('task_ended'));
  domain.log.isAccepting = true;
  await until('done', () => domain.jobs.job(jobId)?.phase.type === 'done');
  assert.equal(domain.starts().length, 1);
});

nodeTest.test('a task that ended before a failover runs once', async (t) => {
  // As above, but the holder that received the end dies before it is recorded.
  // The new holder receives the end when it attaches, and its append takes a
  // while.
  const domain = domainHarness.createDomainHarness(t, ['w1']);
  domain.log.isAccepting = false;
  const old = domain.createHolder(1);
  const jobId = domain.submit('a', 30);
  await until('tried', () => domain.log.appended.includes('task_ended'));
  await old.scheduler.close();
  const next = domain.createHolder(2);
  await until('taken', () => next.scheduler.status().recovered);
  domain.log.isAccepting = true;
  await until('done', () => domain.jobs.job(jobId)?.phase.type === 'done');
  assert.equal(domain.starts().length, 1);
});

nodeTest.test('a cancelled job stops and never starts again', async (t) => {
  // The caller cancels while tasks are running, starting and queued: all of
  // them end and none starts.
  const domain = domainHarness.createDomainHarness(t, ['w1']);
  const {scheduler} = domain.createHolder(1);
  const jobId = domain.submit('a', 60_000, 50);
  await until('some run', () => domain.starts().length > 0);
  domain.apply({type: 'job_cancelled', jobId});
  await until('none active', () => scheduler.activeTaskCount(jobId) === 0);
  const started = domain.starts().length;
  const other = domain.submit('b', 10);
  await until('next', () => domain.jobs.job(other)?.phase.type === 'done');
  assert.equal(domain.starts().length, started + 1);
});

nodeTest.test('a holder whose claim lapsed starts nothing', async (t) => {
  // Failure: a process that was paused resumes and starts the tasks in its
  // queue although its claim has lapsed.
  const domain = domainHarness.createDomainHarness(t, ['w1']);
  const holder = domain.createHolder(1);
  await until('attached', () => {
    return holder.scheduler.status().attachedWorkers === 1;
  });
  holder.claimDeadline = types.clock.after(domain.clock.monotonic(), -1);
  domain.submit('a', 10);
  await new Promise((resolve) => setImmediate(resolve));
  holder.claimDeadline = types.clock.after(domain.clock.monotonic(), 60_000);
  const before = domain.starts().length;
  assert.equal(before, 0);
  await until('started', () => domain.starts().length === 1);
});

nodeTest.test('tasks of a leaving worker move to another one', async (t) => {
  // Failure: a task of a leaving worker is lost, or runs on two workers. The
  // list shows the worker as leaving: the task saves its progress, stops and is
  // placed again; nothing new starts on the leaving worker.
  const domain = domainHarness.createDomainHarness(t, ['w1', 'w2']);
  const holder = domain.createHolder(1);
  const jobId = domain.submit('a', 300);
  await until('started', () => holder.scheduler.status().activeTasks === 1);
  await until('runs', () => domain.starts().length === 1);
  const first = domain.starts()[0];
  assert.ok(first !== undefined && 'workerId' in first);
  domain.markLeaving(holder, first.workerId);
  await until('done', () => domain.jobs.job(jobId)?.phase.type === 'done');
  const places = domain
    .starts()
    .map((event) => 'workerId' in event && event.workerId);
  assert.equal(places.length, 2);
  assert.notEqual(places[1], first.workerId);
  assert.equal(maxConcurrentAttempts(domain.events()), 1);
});

nodeTest.test('a holder that closes waits for starts in flight', async (t) => {
  // After a planned stop the next holder claims the domain immediately,
  // without waiting for the claim's TTL. A start of the old holder that is
  // still in flight must have been answered by then, or the new holder's
  // first attach to the worker misses its task.
  const domain = domainHarness.createDomainHarness(t, ['w1']);
  let deliver = () => undefined as void;
  const delivery = new Promise<void>((resolve) => (deliver = resolve));
  domain.startFaults.set('w1', {type: 'hold', until: delivery});
  const {scheduler} = domain.createHolder(1);
  const jobId = domain.submit('a', 10);
  await until('decided', () => scheduler.activeTaskCount(jobId) === 1);
  let isClosed = false;
  const closed = scheduler.close().then(() => (isClosed = true));
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(isClosed, false);
  deliver();
  await closed;
  assert.equal(domain.starts().length, 1);
});
