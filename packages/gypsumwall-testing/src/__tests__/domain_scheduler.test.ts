import * as assert from 'node:assert/strict';
import * as nodeTest from 'node:test';
import * as types from '@gypsumwall/types';
import * as domainHarness from '../__fixtures__/domain_harness.js';

const {until, maxConcurrentAttempts} = domainHarness;

nodeTest.test('a start whose answer was lost runs once', async (t) => {
  // The job is done and its task ran once.
  // The worker starts the task, the answer is lost, and the next heartbeat
  // shows the task running. Placing it anew at once would have run it twice.
  const domain = domainHarness.createDomainHarness(t, ['w1', 'w2']);
  domain.startFaults.set('w1', {type: 'lose_answer'});
  domain.startFaults.set('w2', {type: 'lose_answer'});
  domain.createHolder(1);
  const jobId = domain.submit('a', 100);
  await until('done', () => domain.jobs.job(jobId)?.phase.type === 'done');
  assert.equal(maxConcurrentAttempts(domain.events()), 1);
  assert.equal(domain.starts().length, 1);
});

nodeTest.test('a start held up past the claim is refused', async (t) => {
  // The task runs once, under the new holder.
  // The old holder decides, its start hangs on the way, its claim lapses, a
  // new holder attaches and starts the task; then the old start arrives. The
  // worker refuses it: its epoch is old, and its time to start has passed.
  const domain = domainHarness.createDomainHarness(t, ['w1', 'w2']);
  let arrive = () => undefined as void;
  const until1 = new Promise<void>((resolve) => (arrive = resolve));
  domain.startFaults.set('w1', {type: 'hold', until: until1});
  domain.startFaults.set('w2', {type: 'hold', until: until1});
  const old = domain.createHolder(1);
  const jobId = domain.submit('a', 200);
  await until('decided', () => old.scheduler.activeTaskCount(jobId) === 1);
  old.deadline = undefined;
  domain.startFaults.clear();
  domain.createHolder(2);
  await until('started', () => domain.starts().length === 1);
  arrive();
  await until('done', () => domain.jobs.job(jobId)?.phase.type === 'done');
  assert.equal(maxConcurrentAttempts(domain.events()), 1);
  assert.deepEqual(
    domain.starts().map((event) => 'epoch' in event && event.epoch),
    [2],
  );
});

nodeTest.test('a task at a worker out of reach is waited out', async (t) => {
  // The plan is done, and at no moment did it run in two places.
  // It runs at a worker that the new holder can't reach. The new holder
  // starts it elsewhere only after the old lease and its grace: by then the
  // worker has stopped it itself.
  const domain = domainHarness.createDomainHarness(t, ['w1', 'w2']);
  const old = domain.createHolder(1);
  const jobId = domain.submit('a', 400);
  await until('started', () => domain.starts().length === 1);
  const first = domain.starts()[0];
  assert.ok(first !== undefined && 'workerId' in first);
  old.deadline = undefined;
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

nodeTest.test('a new holder takes over what runs', async (t) => {
  // The plan goes on undisturbed and its result is kept, told once.
  // The holder dies while it runs; the next one learns of it from the worker
  // and renews its lease.
  const domain = domainHarness.createDomainHarness(t, ['w1']);
  const old = domain.createHolder(1);
  const jobId = domain.submit('a', 600);
  await until('started', () => domain.starts().length === 1);
  await old.scheduler.close();
  domain.createHolder(2);
  await until('done', () => domain.jobs.job(jobId)?.phase.type === 'done');
  assert.equal(domain.starts().length, 1);
});

nodeTest.test('an end that the log did not take is told again', async (t) => {
  // The result is not lost and the task is not run a second time.
  // It ends while the log is down. Its end is not acknowledged, so the worker
  // tells it with each heartbeat until the record stands.
  const domain = domainHarness.createDomainHarness(t, ['w1']);
  domain.log.isAccepting = false;
  domain.createHolder(1);
  const jobId = domain.submit('a', 30);
  await until('tried', () => domain.log.appended.includes('task_ended'));
  domain.log.isAccepting = true;
  await until('done', () => domain.jobs.job(jobId)?.phase.type === 'done');
  assert.equal(domain.starts().length, 1);
});

nodeTest.test('an end from before a takeover is not run again', async (t) => {
  // As above, but the holder that heard the end dies before it is recorded;
  // the new one hears it when it attaches, while its append takes its time.
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
  // The caller cancels while tasks run, start and wait: all end, none starts.
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
  // A paused process wakes up and believes in its queue, not in its claim.
  const domain = domainHarness.createDomainHarness(t, ['w1']);
  const holder = domain.createHolder(1);
  await until('attached', () => {
    return holder.scheduler.status().attachedWorkers === 1;
  });
  holder.deadline = types.clock.after(domain.clock.monotonic(), -1);
  domain.submit('a', 10);
  await new Promise((resolve) => setImmediate(resolve));
  holder.deadline = types.clock.after(domain.clock.monotonic(), 60_000);
  const before = domain.starts().length;
  assert.equal(before, 0);
  await until('started', () => domain.starts().length === 1);
});

nodeTest.test('a worker that leaves hands its tasks on', async (t) => {
  // The plan goes on at another worker, and never runs at both.
  // The list says that its worker is leaving: the task saves its progress,
  // stops, and is placed anew; nothing new starts at the leaving worker.
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

nodeTest.test(
  'a holder that closes waits for starts on their way',
  async (t) => {
    // After a planned stop the next holder claims at once, without waiting out
    // a ttl. A start of the old one that is still on its way must have been
    // answered by then, or the new holder's first look at the worker misses it.
    const domain = domainHarness.createDomainHarness(t, ['w1']);
    let arrive = () => undefined as void;
    const held = new Promise<void>((resolve) => (arrive = resolve));
    domain.startFaults.set('w1', {type: 'hold', until: held});
    const {scheduler} = domain.createHolder(1);
    const jobId = domain.submit('a', 10);
    await until('decided', () => scheduler.activeTaskCount(jobId) === 1);
    let isClosed = false;
    const closed = scheduler.close().then(() => (isClosed = true));
    await new Promise((resolve) => setImmediate(resolve));
    assert.equal(isClosed, false);
    arrive();
    await closed;
    assert.equal(domain.starts().length, 1);
  },
);
