/**
 * The holder of a cell: schedules the cell's jobs on its workers as long as
 * this process owns the claim. It ends when a newer claim is read, when the
 * store or a worker rejects its fencing token, or when it hands the cell over.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as adviceCaller from './advice_caller.js';
import type * as cellHolderTypes from './cell_holder_types.js';
import * as cellWriter from './cell_writer.js';
import * as claimView from './claim_view.js';
import * as pollDelays from './poll_delay.js';
import * as recentSubmissions from './recent_submissions.js';
import type * as jobTable from './job_table.js';
import * as earlierLeases from './earlier_leases.js';
import * as leaseBounds from './lease_bounds.js';
import * as logFollower from './log_follower.js';
import * as schedulingLoop from './scheduling_loop.js';
import type * as storeRecords from './store_records.js';
import * as failoverBarrier from './failover_barrier.js';
import type * as unansweredStarts from './unanswered_starts.js';
import * as unansweredWorkers from './unanswered_workers.js';
import * as holderReadings from './holder_readings.js';
import * as workerRoster from './worker_roster.js';
import * as workerRoutes from './worker_routes.js';
import * as workerSession from './worker_session.js';

/**
 * Interval at which decisions that depend only on time are checked;
 * milliseconds.
 */
const TICK_MS = 100;
/**
 * Pause between reads of the worker list, which changes rarely, and how long a
 * read waits for a change; milliseconds.
 */
const LIST_PAUSE_MS = 200;
const LIST_READ_WAIT_MS = 1_000;
/**
 * Size of the range of attempt numbers that each holder has. Numbers below its
 * range belong to earlier holders.
 */
const ATTEMPTS_PER_GENERATION = 1_000;
/**
 * How long after its last confirmed append a holder answers queries about jobs
 * without reading the log; milliseconds. A holder that was replaced answers
 * with old states for as long.
 */
const MAX_UNCONFIRMED_ANSWER_MS = 1_500;
/**
 * How long a handover waits for orders in flight, and then for its appends;
 * milliseconds.
 */
const HANDOVER_TIMEOUT_MS = 400;
/**
 * Interval at which a handover checks whether these orders were answered;
 * milliseconds.
 */
const ORDERS_CHECK_INTERVAL_MS = 10;

/** Creates the holder of a claim that was just read. */
export function createCellHolder(
  options: cellHolderTypes.CellHolderOptions,
): cellHolderTypes.CellHolder {
  const {claim, clock, logger, jobs} = options;
  const token = claimView.tokenOf(claim);
  const claimedAt = clock.monotonic();
  const inherited = earlierLeases.createEarlierLeases({
    usedWorkers: options.state.usedWorkers,
    holders: options.state.history.holders(),
    keepsBoundsSince: claim.keepsBoundsSince ?? claim.generation,
    maxMs: options.leaseMs,
  });
  const stopping = new AbortController();
  const scheduler = scheduling.scheduler.createScheduler({
    readMs: () => performance.now(),
    attemptBase: claim.generation * ATTEMPTS_PER_GENERATION,
    isReconciled: (worker) => barrier.isAccounted(worker),
    organisationOf: (id) => jobs.get(id)?.organisation,
    farFactor: options.farFactor,
    canStoreRanges: options.peersReadRanges,
    onEvent: (event) => logger.info(event.type, {...event, type: undefined}),
  });
  const writer = cellWriter.createCellWriter({
    log: options.cellLog,
    epoch: token,
    storeHealth: options.storeHealth,
    loopUtilization: options.loopUtilization,
    claimSentAt: options.claimSentAt,
    heartbeat,
    clock,
    logger,
    onFenced: stopFenced,
    onAppended: options.onAppended,
  });
  const routes = workerRoutes.createWorkerRoutes({
    cores: options.cores,
    peers: options.relayPeers,
    connect: options.connect,
    loopUtilization: options.loopUtilization,
    sendsPayload: options.sendsPayload,
    clock,
    logger,
  });
  const pollDelay = pollDelays.createPollDelay();
  const roster = workerRoster.createWorkerRoster({
    clock,
    logger,
    scheduler,
    decode: options.decodeWorker,
    isUsedPool: options.isUsedPool,
    longestStopMs: options.longestStopMs,
    listExpiryMs: options.listExpiryMs,
    listReadUntil: () => workerFollower.completeUntil(),
    onLeft: (id) => barrier.markGone(id, clock.monotonic()),
    openSession,
    write: (records) => writer.write(records),
    flush,
    onChange: requestCycle,
  });
  const barrier = failoverBarrier.createFailoverBarrier(
    inherited.workers,
    inherited.bounds,
    () => {
      scheduler.onWorkerReconciled();
      if (barrier.unaccounted() > 0) return;
      roster.removeSilent();
      logger.info('takeover_complete', {
        tookMs: Math.round(clock.monotonic() - claimedAt),
      });
    },
    inherited.byWorker,
  );
  const unanswered = unansweredWorkers.createUnansweredWorkers({
    generation: claim.generation,
    workers: inherited.workers,
    isSilent: (id) => roster.session(id)?.isSilent() === true,
    hasMajority: () => barrier.hasMajority(),
    publish: () => writer.write([heartbeat()]),
  });
  const workerFollower = logFollower.createLogFollower({
    log: options.workerLog,
    clock,
    logger,
    storeHealth: options.storeHealth,
    onRecords: (records, reloaded) =>
      // The records read now were written after the log was last read to its
      // end.
      roster.applyList(
        records,
        reloaded,
        workerFollower.completeUntilReading(),
      ),
    pauseMs: () => LIST_PAUSE_MS,
    readWaitMs: LIST_READ_WAIT_MS,
  });
  const adviceCalls = adviceCaller.createAdviceCaller({
    scheduler,
    advisers: options.advisers,
    clock,
    logger,
    onAnswer: requestCycle,
  });
  const submissions = recentSubmissions.createRecentSubmissions({
    clock,
    confirmedAt: () => writer.confirmedAt(),
    admit: (job) => admitJob(job, false),
  });
  /** Jobs whose end is stored, and whose requests can be dropped. */
  let ended: types.ids.JobId[] = [];
  let lastWrite: Promise<void> = Promise.resolve();
  const readings = holderReadings.createHolderReadings({
    clock,
    scheduler,
    inherited: {
      capacity: options.state.capacity(),
      rooms: options.state.rooms(),
    },
    unaccountedShare: () =>
      barrier.unaccounted() / Math.max(1, inherited.workers.length),
    publish: () => writer.write([heartbeat()]),
  });
  const loop = schedulingLoop.createSchedulingLoop({
    scheduler,
    adviceCalls,
    session: (worker) => roster.session(worker),
    mayRenew,
    checkListEntries: () => roster.checkListEntries(),
    flush,
    onStart: (attempt) => readings.onStart(attempt),
    commitLatencyMs: () => writer.latencyMs(),
    loopUtilization: options.loopUtilization,
    clock,
    logger,
  });
  let tickTimer: NodeJS.Timeout | undefined;
  let isReleasing = false;

  function heartbeat(): storeRecords.StoreRecord {
    return {...readings.heartbeat(), takeover: unanswered.takeover()};
  }

  function stopFenced(): void {
    if (stopping.signal.aborted) return;
    logger.warn('cell_lost', {generation: claim.generation, token});
    stop();
    options.onFenced();
  }

  function openSession(
    worker: scheduling.workerRegistry.WorkerInfo,
    isRecorded: boolean,
    earlierStarts?: readonly unansweredStarts.UnansweredStart[],
  ): workerSession.WorkerSession {
    const {id} = worker;
    const leases = leaseBounds.createWorkerLeases({
      maxMs: options.leaseMs,
      generation: claim.generation,
      earlierMs: inherited.longestMs(id) ?? 0,
      // A new record has no bound.
      boundMs: isRecorded ? inherited.boundMs(id) : undefined,
      view: () => leaseViewOf(id),
      firstSentAt: () => writer.firstSentAt(),
      store: (bound) =>
        writer.write([
          {
            kind: 'used_worker',
            workerId: id,
            worker: {info: worker, ...bound},
          },
        ]),
      clock,
    });
    return workerSession.createWorkerSession({
      worker,
      link: routes.connect(worker),
      token,
      pollDelay,
      leaseMs: () => leases.grantMs(),
      maxLeaseMs: inherited.longestMs(id) ?? options.leaseMs,
      clock,
      logger,
      scheduler,
      mayRenew,
      confirmedAt: () => writer.confirmedAt(),
      onChange: requestCycle,
      flush,
      beforeFirstReport: () => unanswered.onAnswered(id),
      onFirstReport: () => barrier.markAccounted(worker.id, clock.monotonic()),
      onFenced: stopFenced,
      onGone: () => {
        roster.onGone(worker.id);
        barrier.markGone(worker.id, clock.monotonic());
      },
      isOwnBirth: (bornMs) => roster.isOwnBirth(id, bornMs),
      earlierStarts,
      onLeaseExpired: () => roster.onLeaseExpired(worker.id),
    });
  }

  function leaseViewOf(id: types.ids.WorkerId): leaseBounds.WorkerView {
    const listed = scheduler.workerRegistry.workers.get(id)?.info;
    return {
      hasLongRunning: scheduler.hostsLongRunningTasks(id),
      isLeaving: listed?.draining ?? false,
    };
  }

  /**
   * Whether leases may be renewed. The failover barrier of a successor relies
   * on these limits.
   */
  function mayRenew(): boolean {
    const now = clock.monotonic();
    // The release tells a successor that nothing is granted any more.
    if (isReleasing) return false;
    const unconfirmedMs = now - writer.confirmedAt();
    if (unconfirmedMs > leaseBounds.RENEW_UNCONFIRMED_MS) return false;
    const isRecent = unconfirmedMs < leaseBounds.MAJORITY_CHECK_MS;
    const since = types.clock.after(now, -leaseBounds.MAX_ANSWER_AGE_MS);
    return isRecent || roster.reachableShare(since) > 0.5;
  }

  /**
   * Stores changed progress; resolves once this and all earlier progress is
   * stored.
   */
  function flush(): Promise<void> {
    const dirty = scheduler.takeDirty();
    if (dirty.length === 0) return lastWrite;
    const records = dirty.map((job): storeRecords.StoreRecord => ({
      kind: 'progress',
      organisation: jobs.get(job.jobId)?.organisation,
      ...job,
    }));
    lastWrite = writer.write(records).then(() => {
      scheduler.onStored(dirty);
      for (const {jobId, progress} of dirty) {
        if (scheduling.jobProgress.isOver(progress.phase)) ended.push(jobId);
      }
      requestCycle();
    });
    return lastWrite;
  }

  function requestCycle(): void {
    loop.requestCycle();
  }

  function admitJob(job: jobTable.JobEntry, inherited: boolean): void {
    const {record} = job;
    if (record === undefined || scheduler.hasJob(job.id)) return;
    const wall = clock.wall();
    const now = clock.monotonic();
    const ageMs = inherited ? Math.max(0, wall - record.acceptedAt) : 0;
    const policy = options.policyOf(record.policy.queue) ?? record.policy;
    const {queue, maxFailures: limit} = policy;
    const {maxFailures: before} = record.policy;
    if (limit !== before)
      logger.info('failure_limit_changed', {job: job.id, queue, limit, before});
    const acceptedAt = types.clock.after(now, -ageMs);
    const {request, organisation} = record;
    const {id, progress} = job;
    scheduler.addJob(
      {id, organisation, request, policy, acceptedAt, inherited, progress},
      now,
      wall,
    );
    const added = scheduler.jobs.get(id);
    if (added !== undefined && !inherited) readings.onAdded(added);
  }

  function applyOrganisations(): void {
    const organisations = options.organisations();
    if (organisations !== undefined)
      scheduler.updateOrganisations(organisations);
  }

  function tick(): void {
    const now = clock.monotonic();
    submissions.tick();
    barrier.tick(now);
    roster.tick(now);
    loop.tick();
    readings.tick();
    unanswered.tick();
    requestCycle();
  }

  function stop(): void {
    loop.stop();
    stopping.abort();
    clearInterval(tickTimer);
    workerFollower.stop();
    roster.close();
    routes.close();
    writer.stop();
  }

  return {
    claim,
    async start() {
      void writer.run();
      // All jobs that were accepted before the claim must be known first.
      while (!stopping.signal.aborted && !(await options.catchUpJobs())) {
        await types.clock.sleepFor(clock, TICK_MS, stopping.signal);
      }
      if (stopping.signal.aborted) return;
      applyOrganisations();
      for (const job of jobs.all()) admitJob(job, true);
      scheduler.onWorkerReconciled();
      loop.start();
      // The lines of the workers would displace it.
      logger.info('cell_held', {
        generation: claim.generation,
        token,
        jobs: scheduler.counts().jobs,
        usedWorkers: barrier.unaccounted(),
      });
      roster.inherit(options.state.usedWorkers.values());
      void workerFollower.run();
      tickTimer = setInterval(tick, TICK_MS);
    },
    onJobAdded(job) {
      if (!loop.isStarted()) return;
      submissions.add(job);
      requestCycle();
    },
    onJobCancelled(id) {
      scheduler.cancelJob(id);
      requestCycle();
    },
    isConfirmed: () =>
      clock.monotonic() - writer.confirmedAt() < MAX_UNCONFIRMED_ANSWER_MS,
    onConfigChanged() {
      scheduler.updatePolicies(options.policyOf);
      applyOrganisations();
      requestCycle();
    },
    takeEndedJobs() {
      const taken = ended;
      ended = [];
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
      loop.stop();
      const until = types.clock.after(clock.monotonic(), HANDOVER_TIMEOUT_MS);
      while (loop.pendingOrders() > 0 && clock.monotonic() < until) {
        await types.clock.sleepFor(clock, ORDERS_CHECK_INTERVAL_MS);
      }
      const released: storeRecords.ClaimRecord = {
        holder: claim.holder,
        instance: claim.instance,
        generation: claim.generation,
        state: 'released',
        keepsBoundsSince: claim.keepsBoundsSince,
      };
      isReleasing = true;
      unanswered.listAll();
      await Promise.race([
        Promise.all([
          flush(),
          writer.write([heartbeat(), {kind: 'claim', claim: released}]),
        ]),
        types.clock.sleepFor(clock, HANDOVER_TIMEOUT_MS),
      ]);
      stop();
    },
    stop,
    counts: () => scheduler.counts(),
    unusableListEntries: () => roster.unusableEntries(),
    forecastAccuracy: () => readings.accuracy(),
    explain: (question) => scheduler.explain(question, clock.monotonic()),
    speedSummary: () => scheduler.speedSummary(),
  };
}
