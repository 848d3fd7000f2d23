/**
 * Holds a cell: schedules its jobs on its workers while the claim is this
 * process's. It ends when a newer claim is read, when the store or a worker
 * refuses its epoch, or when it hands the cell over.
 */
import * as result from 'true-myth/result';
import * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as cellState from './cell_state.js';
import * as cellWriter from './cell_writer.js';
import * as claimView from './claim_view.js';
import type * as jobTable from './job_table.js';
import * as logFollower from './log_follower.js';
import type * as ports from './ports.js';
import type * as storePulse from './store_pulse.js';
import type * as storeRecords from './store_records.js';
import * as suspensionWatch from './suspension_watch.js';
import * as takeOver from './take_over.js';
import * as takeoverGate from './takeover_gate.js';
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
const PASS_GAP_MS = 3;
/** How often time alone may change a decision; milliseconds. */
const TICK_MS = 100;
/** The list of workers changes seldom; a span between reads; milliseconds. */
const LIST_PAUSE_MS = 200;
const LIST_WAIT_MS = 1_000;
/** Attempts below this were numbered by earlier holders. */
const ATTEMPTS_PER_GENERATION = 1_000;
/** Time given to the adviser beside its own; milliseconds. */
const ADVICE_SLACK_MS = 1_500;
/** An approval's age when it arrives through a peer, at most; milliseconds. */
const ADVICE_TRANSIT_MS = 40;
/** How long a hand-over waits for orders on their way; milliseconds. */
const HAND_OVER_WAIT_MS = 400;

/** What a holder is made with. */
export interface CellHolderOptions {
  readonly claim: claimView.CellClaim;
  readonly cellLog: ports.KeyedLog;
  readonly workerLog: ports.KeyedLog;
  readonly decodeWorker: workerRoster.RosterOptions['decode'];
  readonly connect: (
    worker: scheduling.workerBook.WorkerInfo,
  ) => ports.WorkerLink;
  /** Entries that may ask the adviser now, this one among them. */
  readonly advisers: () => ReadonlyMap<string, ports.Adviser>;
  readonly jobs: jobTable.JobTable;
  readonly state: cellState.CellState;
  /** Reads the jobs' log to its end. */
  readonly catchUpJobs: () => Promise<boolean>;
  readonly policyOf: (
    queue: string,
  ) => scheduling.jobRequest.QueuePolicy | undefined;
  readonly leaseMs: number;
  readonly pulse: storePulse.StorePulse;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly onDeposed: () => void;
}

/** A cell's holder. */
export interface CellHolder {
  readonly claim: claimView.CellClaim;
  /** Takes inherited work over; resolves once it decides. */
  start(): Promise<void>;
  jobAdded(job: jobTable.JobEntry): void;
  jobCancelled(id: types.ids.JobId): void;
  policiesChanged(): void;
  /** Jobs whose end is stored, handed over once. */
  takeEnded(): types.ids.JobId[];
  /** Drops jobs from the cell's log that are over for long. */
  dropProgress(ids: readonly types.ids.JobId[]): Promise<void>;
  /** Lets another entry take the cell at once, and ends. */
  handOver(): Promise<void>;
  stop(): void;
  counts(): scheduling.schedulerTypes.SchedulerCounts;
}

/** Creates the holder of a claim that was just read. */
export function createCellHolder(options: CellHolderOptions): CellHolder {
  const {claim, clock, logger, jobs} = options;
  const token = claimView.tokenOf(claim);
  const claimedAt = clock.monotonic();
  const stopping = new AbortController();
  const suspension = suspensionWatch.createSuspensionWatch(clock);
  const lanes = scheduling.adviceLanes.createAdviceLanes<string>();
  const scheduler = scheduling.scheduler.createScheduler({
    attemptBase: claim.generation * ATTEMPTS_PER_GENERATION,
    isAccounted: (worker) => gate.isAccounted(worker),
    onEvent: (event) => logger.info(event.type, {...event, type: undefined}),
  });
  const writer = cellWriter.createCellWriter({
    log: options.cellLog,
    epoch: token,
    pulse: options.pulse,
    clock,
    logger,
    onFenced: depose,
  });
  const roster = workerRoster.createWorkerRoster({
    clock,
    logger,
    scheduler,
    decode: options.decodeWorker,
    openSession,
    write: (records) => writer.write(records),
    onChange: kick,
  });
  const gate = takeoverGate.createTakeoverGate(
    [...options.state.usedWorkers.keys()],
    {
      latestAt: types.clock.after(
        claimedAt,
        RENEW_UNCONFIRMED_MS + options.leaseMs * SLOW_CLOCK_FACTOR,
      ),
      afterMajorityMs: MAJORITY_LOST_MS + options.leaseMs * SLOW_CLOCK_FACTOR,
    },
    () => {
      scheduler.workerAccounted();
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
    pulse: options.pulse,
    onRecords: (records, reloaded) => roster.applyList(records, reloaded),
    pauseMs: () => LIST_PAUSE_MS,
    readWaitMs: LIST_WAIT_MS,
  });
  /** Jobs read while this process couldn't be sure to hold the cell. */
  let unconfirmed: {job: jobTable.JobEntry; at: types.clock.MonotonicMs}[] = [];
  /** Jobs whose end is stored and whose requests aren't needed any more. */
  let over: types.ids.JobId[] = [];
  let lastWrite: Promise<void> = Promise.resolve();
  let ordersOnTheirWay = 0;
  let passPlanned = false;
  let deciding = false;
  let tickTimer: NodeJS.Timeout | undefined;

  function depose(): void {
    if (stopping.signal.aborted) return;
    logger.warn('cell_lost', {generation: claim.generation, token});
    stop();
    options.onDeposed();
  }

  function openSession(
    worker: scheduling.workerBook.WorkerInfo,
  ): workerSession.WorkerSession {
    return workerSession.createWorkerSession({
      worker,
      link: options.connect(worker),
      token,
      leaseMs: options.leaseMs,
      clock,
      logger,
      scheduler,
      mayRenew,
      onChange: kick,
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
      scheduler.stored(dirty);
      for (const {jobId, progress} of dirty) {
        if (scheduling.jobProgress.isOver(progress.phase)) over.push(jobId);
      }
      kick();
    });
    return lastWrite;
  }

  function kick(): void {
    if (passPlanned || !deciding) return;
    passPlanned = true;
    setTimeout(pass, PASS_GAP_MS);
  }

  function pass(): void {
    passPlanned = false;
    if (!deciding || stopping.signal.aborted) return;
    sendStops();
    // A start takes a lease along, so nothing can start without.
    if (!mayRenew()) return;
    const decisions = scheduler.decide(clock.monotonic(), clock.wall());
    void flush();
    for (const order of decisions.starts) void startRun(order);
    for (const wish of decisions.advice) void askAdviser(wish);
  }

  function sendStops(): void {
    for (const run of scheduler.takeStops()) {
      logger.info('stop_decided', {
        task: run.taskId,
        attempt: run.attempt,
        worker: run.workerId,
      });
      void roster.session(run.workerId)?.stopRun(run);
    }
  }

  async function startRun(
    order: scheduling.schedulerTypes.StartOrder,
  ): Promise<void> {
    const session = roster.session(order.run.workerId);
    if (session === undefined) {
      const refused = {type: 'refused', reason: 'other'} as const;
      scheduler.startAnswered(order.run, refused, clock.monotonic());
      return;
    }
    ordersOnTheirWay++;
    await session.start(order);
    ordersOnTheirWay--;
  }

  async function askAdviser(
    wish: scheduling.schedulerTypes.AdviceWish,
  ): Promise<void> {
    const {stepRun, workers, callMs} = wish;
    const advisers = options.advisers();
    const lane = lanes.take([...advisers.keys()], callMs);
    const adviser = lane === undefined ? undefined : advisers.get(lane);
    if (lane === undefined || adviser === undefined) {
      const never = 0 as types.clock.MonotonicMs;
      scheduler.adviceAnswered(wish, undefined, never);
      return;
    }
    const askedAt = clock.monotonic();
    const timeoutMs = callMs * 2 + ADVICE_SLACK_MS;
    const answer = await adviser.ask(stepRun.id, workers, timeoutMs);
    lanes.finish(lane, callMs);
    const now = clock.monotonic();
    const validMs = stepRun.job.policy.advice?.validMs ?? 0;
    scheduler.adviceAnswered(
      wish,
      result.isOk(answer) ? answer.value : undefined,
      types.clock.after(now, validMs - ADVICE_TRANSIT_MS),
    );
    logger.info('advice_answered', {
      step: stepRun.id,
      by: lane,
      named: workers.length,
      approved: result.isOk(answer) ? answer.value.size : undefined,
      tookMs: Math.round(now - askedAt),
      error: result.isErr(answer)
        ? types.stepError.describeError(answer.error)
        : undefined,
    });
    kick();
  }

  /**
   * Whether a job read now may be taken up. Without this an old holder that
   * still reads the log would start jobs beside its successor, which looks for
   * runs only of jobs that were there at the takeover.
   */
  function isFresh(since: types.clock.MonotonicMs): boolean {
    const confirmedAt = writer.confirmedAt();
    if (confirmedAt <= suspension.lastNoticedAt()) return false;
    if (confirmedAt >= since) return true;
    return since - confirmedAt < takeOver.FRESH_MS;
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

  function takeUpConfirmed(): void {
    const late = unconfirmed;
    unconfirmed = [];
    for (const entry of late) {
      if (isFresh(entry.at)) takeUp(entry.job, false);
      else unconfirmed.push(entry);
    }
  }

  function tick(): void {
    const now = clock.monotonic();
    takeUpConfirmed();
    gate.tick(now);
    roster.tick(now);
    kick();
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
        const until = types.clock.after(clock.monotonic(), TICK_MS);
        await clock.sleepUntil(until, stopping.signal);
      }
      if (stopping.signal.aborted) return;
      for (const job of jobs.all()) takeUp(job, true);
      scheduler.workerAccounted();
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
      const at = clock.monotonic();
      if (isFresh(at)) takeUp(job, false);
      else unconfirmed.push({job, at});
      kick();
    },
    jobCancelled(id) {
      scheduler.cancelJob(id);
      kick();
    },
    policiesChanged() {
      scheduler.updatePolicies(options.policyOf);
      kick();
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
        await clock.sleepUntil(types.clock.after(clock.monotonic(), 10));
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
        clock.sleepUntil(
          types.clock.after(clock.monotonic(), HAND_OVER_WAIT_MS),
        ),
      ]);
      stop();
    },
    stop,
    counts: () => scheduler.counts(),
  };
}
