/**
 * Holds a cell: schedules its jobs on its workers while the claim is this
 * process's. It ends when a newer claim is read, when the store or a worker
 * refuses its epoch, or when it hands the cell over.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as adviceCaller from './advice_caller.js';
import type * as cellHolderTypes from './cell_holder_types.js';
import * as cellWriter from './cell_writer.js';
import * as claimView from './claim_view.js';
import * as freshness from './recent_submissions.js';
import type * as jobTable from './job_table.js';
import * as leaseLength from './lease_length.js';
import * as logFollower from './log_follower.js';
import type * as storeRecords from './store_records.js';
import * as failoverBarrier from './failover_barrier.js';
import * as workerRoster from './worker_roster.js';
import * as workerSession from './worker_session.js';

/**
 * A holder whose appends aren't confirmed renews leases for this long. While
 * the store is away nobody can take over, and letting leases go would throw
 * all running work away; outages of 9 s were seen. A successor waits this long
 * and a lease more for workers that it can't reach; milliseconds.
 */
const RENEW_UNCONFIRMED_MS = 12_000;
/** An unconfirmed holder looks at its majority from then on; milliseconds. */
const MAJORITY_CHECK_MS = 1_500;
/**
 * By then a holder that lost its majority knows: the check above, and a look
 * of 1.2 s that must fail first; milliseconds.
 */
const MAJORITY_LOST_MS = 3_000;
/** A worker's clock may be 2% slow; with that and a margin a lease has passed. */
const SLOW_CLOCK_FACTOR = 1.05;
/** Pause between two passes, so that what comes together is decided together. */
const CYCLE_INTERVAL_MS = 3;
/**
 * A pass over a long line of work takes milliseconds. The pause after it is
 * this many times as long, so that deciding takes a fifth of the processor at
 * most and the rest is left for the calls.
 */
const CYCLE_INTERVAL_FACTOR = 4;
/** How often time alone may change a decision; milliseconds. */
const TICK_MS = 100;
/** The list of workers changes seldom; a span between reads; milliseconds. */
const LIST_PAUSE_MS = 200;
const LIST_WAIT_MS = 1_000;
/** Attempts below this were numbered by earlier holders. */
const ATTEMPTS_PER_GENERATION = 1_000;
/** How long a hand-over waits for orders on their way; milliseconds. */
const HAND_OVER_WAIT_MS = 400;
/** How often it looks meanwhile whether they are answered; milliseconds. */
const ORDERS_LOOK_MS = 10;

/** Creates the holder of a claim that was just read. */
export function createCellHolder(
  options: cellHolderTypes.CellHolderOptions,
): cellHolderTypes.CellHolder {
  const {claim, clock, logger, jobs} = options;
  const token = claimView.tokenOf(claim);
  const claimedAt = clock.monotonic();
  const stopping = new AbortController();
  const scheduler = scheduling.scheduler.createScheduler({
    attemptBase: claim.generation * ATTEMPTS_PER_GENERATION,
    isReconciled: (worker) => gate.isAccounted(worker),
    onEvent: (event) => logger.info(event.type, {...event, type: undefined}),
  });
  const writer = cellWriter.createCellWriter({
    log: options.cellLog,
    epoch: token,
    storeHealth: options.storeHealth,
    clock,
    logger,
    onFenced: depose,
  });
  const roster = workerRoster.createWorkerRoster({
    clock,
    logger,
    scheduler,
    decode: options.decodeWorker,
    isUsedPool: options.isUsedPool,
    longestStopMs: options.longestStopMs,
    listExpiryMs: options.listExpiryMs,
    onLeft: (id) => gate.account(id, clock.monotonic()),
    openSession,
    write: (records) => writer.write(records),
    flush,
    onChange: requestCycle,
  });
  const gate = failoverBarrier.createFailoverBarrier(
    [...options.state.usedWorkers.keys()],
    {
      latestAt: types.clock.after(
        claimedAt,
        RENEW_UNCONFIRMED_MS + options.leaseMs * SLOW_CLOCK_FACTOR,
      ),
      afterMajorityMs: MAJORITY_LOST_MS + options.leaseMs * SLOW_CLOCK_FACTOR,
    },
    () => {
      scheduler.onWorkerReconciled();
      if (gate.unaccounted() > 0) return;
      roster.forgetSilent();
      logger.info('takeover_complete', {
        tookMs: Math.round(clock.monotonic() - claimedAt),
      });
    },
  );
  const workerFollower = logFollower.createLogFollower({
    log: options.workerLog,
    clock,
    logger,
    storeHealth: options.storeHealth,
    onRecords: (records, reloaded) =>
      // What is read now wasn't there when the log was last read to its end.
      roster.applyList(
        records,
        reloaded,
        workerFollower.completeUntilReading(),
      ),
    pauseMs: () => LIST_PAUSE_MS,
    readWaitMs: LIST_WAIT_MS,
  });
  const adviceCalls = adviceCaller.createAdviceCaller({
    scheduler,
    advisers: options.advisers,
    clock,
    logger,
    onAnswer: requestCycle,
  });
  const recentSubmissions = freshness.createRecentSubmissions({
    clock,
    confirmedAt: () => writer.confirmedAt(),
    takeUp: (job) => takeUp(job, false),
  });
  /** Jobs whose end is stored and whose requests aren't needed any more. */
  let over: types.ids.JobId[] = [];
  let lastWrite: Promise<void> = Promise.resolve();
  let ordersOnTheirWay = 0;
  let passPlanned = false;
  let lastPassMs = 0;
  let deciding = false;
  let tickTimer: NodeJS.Timeout | undefined;

  function depose(): void {
    if (stopping.signal.aborted) return;
    logger.warn('cell_lost', {generation: claim.generation, token});
    stop();
    options.onFenced();
  }

  function openSession(
    worker: scheduling.workerRegistry.WorkerInfo,
  ): workerSession.WorkerSession {
    return workerSession.createWorkerSession({
      worker,
      link: options.connect(worker),
      token,
      leaseMs: () => leaseMsOn(worker.id),
      longestLeaseMs: options.leaseMs,
      clock,
      logger,
      scheduler,
      mayRenew,
      confirmedAt: () => writer.confirmedAt(),
      onChange: requestCycle,
      stored: flush,
      onFirstReport: () => gate.account(worker.id, clock.monotonic()),
      onFenced: depose,
      onGone: () => {
        roster.gone(worker.id);
        gate.account(worker.id, clock.monotonic());
      },
      onLeasePassed: () => roster.leasePassed(worker.id),
    });
  }

  function leaseMsOn(id: types.ids.WorkerId): number {
    return leaseLength.leaseLength({
      longestMs: options.leaseMs,
      runsLasting: scheduler.hostsLongRunningTasks(id),
      isLeaving:
        scheduler.workerRegistry.workers.get(id)?.info.draining ?? false,
    });
  }

  /** See the gate of a takeover for what rests on this. */
  function mayRenew(): boolean {
    const unconfirmedMs = clock.monotonic() - writer.confirmedAt();
    if (unconfirmedMs > RENEW_UNCONFIRMED_MS) return false;
    return unconfirmedMs < MAJORITY_CHECK_MS || roster.reachableShare() > 0.5;
  }

  /** Stores what has changed; resolves when all before stands too. */
  function flush(): Promise<void> {
    const dirty = scheduler.takeDirty();
    if (dirty.length === 0) return lastWrite;
    const records = dirty.map((job): storeRecords.StoreRecord => ({
      kind: 'progress',
      ...job,
    }));
    lastWrite = writer.write(records).then(() => {
      scheduler.onStored(dirty);
      for (const {jobId, progress} of dirty) {
        if (scheduling.jobProgress.isOver(progress.phase)) over.push(jobId);
      }
      requestCycle();
    });
    return lastWrite;
  }

  function requestCycle(): void {
    if (passPlanned || !deciding) return;
    passPlanned = true;
    setTimeout(
      pass,
      Math.max(CYCLE_INTERVAL_MS, lastPassMs * CYCLE_INTERVAL_FACTOR),
    );
  }

  function pass(): void {
    passPlanned = false;
    if (!deciding || stopping.signal.aborted) return;
    sendStops();
    // A start takes a lease along, so nothing can start without.
    if (!mayRenew()) return;
    const startedAt = clock.monotonic();
    const decisions = scheduler.decide(
      startedAt,
      clock.wall(),
      adviceCalls.capacity(),
    );
    lastPassMs = clock.monotonic() - startedAt;
    void flush();
    for (const order of decisions.starts) void startRun(order);
    for (const wish of decisions.advice) void adviceCalls.ask(wish);
  }

  function sendStops(): void {
    for (const run of scheduler.takeStops()) {
      logger.info('stop_decided', {
        task: run.taskId,
        attempt: run.number,
        worker: run.workerId,
      });
      void roster.session(run.workerId)?.stopRun(run);
    }
  }

  async function startRun(
    order: scheduling.schedulerTypes.StartOrder,
  ): Promise<void> {
    const session = roster.session(order.attempt.workerId);
    if (session === undefined) {
      const refused = {type: 'refused', reason: 'other'} as const;
      scheduler.onStartAnswered(order.attempt, refused, clock.monotonic());
      return;
    }
    ordersOnTheirWay++;
    await session.start(order);
    ordersOnTheirWay--;
  }

  function takeUp(job: jobTable.JobEntry, inherited: boolean): void {
    const {record} = job;
    if (record === undefined || scheduler.hasJob(job.id)) return;
    const wall = clock.wall();
    const now = clock.monotonic();
    const ageMs = inherited ? Math.max(0, wall - record.acceptedAt) : 0;
    const policy = options.policyOf(record.policy.queue) ?? record.policy;
    const acceptedAt = types.clock.after(now, -ageMs);
    const {request} = record;
    const {progress} = job;
    scheduler.addJob(
      {id: job.id, request, policy, acceptedAt, inherited, progress},
      now,
      wall,
    );
  }

  function tick(): void {
    const now = clock.monotonic();
    recentSubmissions.tick();
    gate.tick(now);
    roster.tick(now);
    requestCycle();
  }

  function stop(): void {
    deciding = false;
    stopping.abort();
    clearInterval(tickTimer);
    workerFollower.stop();
    roster.close();
    writer.stop();
  }

  return {
    claim,
    async start() {
      void writer.run();
      // Everything that was accepted before the claim has to be known.
      while (!stopping.signal.aborted && !(await options.catchUpJobs())) {
        await types.clock.sleepFor(clock, TICK_MS, stopping.signal);
      }
      if (stopping.signal.aborted) return;
      for (const job of jobs.all()) takeUp(job, true);
      scheduler.onWorkerReconciled();
      deciding = true;
      roster.inherit(options.state.usedWorkers.values());
      void workerFollower.run();
      tickTimer = setInterval(tick, TICK_MS);
      logger.info('cell_held', {
        generation: claim.generation,
        token,
        jobs: scheduler.counts().jobs,
        usedWorkers: gate.unaccounted(),
      });
    },
    jobAdded(job) {
      if (!deciding) return;
      recentSubmissions.add(job);
      requestCycle();
    },
    jobCancelled(id) {
      scheduler.cancelJob(id);
      requestCycle();
    },
    policiesChanged() {
      scheduler.updatePolicies(options.policyOf);
      requestCycle();
    },
    takeEnded() {
      const taken = over;
      over = [];
      return taken;
    },
    dropProgress: (ids) =>
      writer.write(
        ids.map((jobId) => ({
          kind: 'progress',
          jobId,
          queue: '',
          progress: undefined,
        })),
      ),
    async handOver() {
      deciding = false;
      const until = types.clock.after(clock.monotonic(), HAND_OVER_WAIT_MS);
      while (ordersOnTheirWay > 0 && clock.monotonic() < until) {
        await types.clock.sleepFor(clock, ORDERS_LOOK_MS);
      }
      const released: storeRecords.ClaimRecord = {
        holder: claim.holder,
        instance: claim.instance,
        generation: claim.generation,
        state: 'released',
      };
      await Promise.race([
        Promise.all([
          flush(),
          writer.write([{kind: 'claim', claim: released}]),
        ]),
        types.clock.sleepFor(clock, HAND_OVER_WAIT_MS),
      ]);
      stop();
    },
    stop,
    counts: () => scheduler.counts(),
  };
}
