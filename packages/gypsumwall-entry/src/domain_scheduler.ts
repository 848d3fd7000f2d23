/**
 * Places the tasks of one failure domain while this entry holds its claim.
 * Each epoch has a scheduler of its own, which builds its state from the jobs
 * in the log and from the workers' reports.
 */
import type * as placement from '@gypsumwall/placement';
import type * as platform from '@gypsumwall/platform';
import type * as records from '@gypsumwall/records';
import * as types from '@gypsumwall/types';
import * as recoveryGate from './recovery_gate.js';
import type * as schedulerOptions from './scheduler_options.js';
import * as taskTracker from './task_tracker.js';
import * as taskEndHandler from './task_end_handler.js';
import * as workerPool from './worker_pool.js';
import type * as workerSession from './worker_session.js';

/** State that `/v1/status` returns as JSON; the field names must stay. */
export interface SchedulerStatus {
  readonly epoch: number;
  readonly recovered: boolean;
  readonly workers: number;
  readonly attachedWorkers: number;
  readonly activeTasks: number;
  readonly waitingTasks: number;
}

/** The scheduler of a domain. */
export interface DomainScheduler {
  /** Sets the workers that are on the instance list. */
  setWorkers(listed: readonly platform.instanceList.ListedWorker[]): void;
  setTeam(team: placement.placer.PlacerTeam): void;
  onJobChange(change: records.jobFold.JobChange): void;
  /** Number of the job's tasks that are active on workers. */
  activeTaskCount(jobId: types.ids.JobId): number;
  /** Attempts of the job's tasks that failed in this epoch. */
  failedAttempts(jobId: types.ids.JobId): number;
  /** Why the job waits, as text for its owner. */
  explain(jobId: types.ids.JobId): string;
  /** Returns a refusal if the job can't be accepted now. */
  admit(spec: types.job.JobSpec): placement.placer.PlacementRefusal | undefined;
  status(): SchedulerStatus;
  /**
   * Closes all worker sessions; tasks keep running under their leases.
   * Resolves once no start is in flight: only then may the claim be released.
   */
  close(): Promise<void>;
}

/** Beyond this limit, the cycle continues in the next event loop turn. */
const MAX_DECISIONS_PER_CYCLE = 500;
/** Cycles run at least this often, so that deadlines and quarantines apply. */
const CYCLE_INTERVAL_MS = 200;

/** Creates the scheduler of an epoch and starts its loops. */
export function createDomainScheduler(
  options: schedulerOptions.DomainSchedulerOptions,
): DomainScheduler {
  const {clock, placer, durations, epoch} = options;
  const logger = options.logger.with({epoch});
  const heldSince = clock.monotonic();
  const closing = new AbortController();
  /** Workers attached at some time in this epoch; they refuse older holders. */
  const fencedWorkers = new Set<types.ids.WorkerId>();
  const capacities = new Map<types.ids.WorkerId, types.resources.Resources>();
  const tracker = taskTracker.createTaskTracker(options, requestCycle);
  const {tasks} = tracker;
  const pool = workerPool.createWorkerPool({
    scheduler: {...options, logger},
    mustRunOnce: (taskId) => tracker.mustRunOnce(taskId),
    sessionEventsOf,
    onUnschedulable: (id) => {
      placer.cordonWorker(id);
      evacuate(id);
    },
    onSchedulable: updatePlacerWorker,
    onRemoved: (id) => {
      capacities.delete(id);
      placer.removeWorker(id);
    },
    hasTasks: (id) => tasks.onWorker(id).length > 0,
    signal: closing.signal,
  });
  const onTaskEnd = taskEndHandler.createTaskEndHandler({
    clock,
    append: options.append,
    tracker,
    heldSince,
    acknowledge: (id, attempt) => pool.session(id)?.acknowledge(attempt),
  });
  let isRecovered = false;
  let isCycleRequested = false;

  function requestCycle(): void {
    if (isCycleRequested || closing.signal.aborted) return;
    isCycleRequested = true;
    setImmediate(() => {
      isCycleRequested = false;
      if (!closing.signal.aborted) runCycle();
    });
  }

  function runCycle(): void {
    if (!isRecovered) openGateWhenSafe();
    const deadline = options.claimDeadline();
    if (deadline === undefined || deadline <= clock.monotonic()) return;
    const startedAt = clock.monotonic();
    const decisions = placer.decide(clock.wall(), MAX_DECISIONS_PER_CYCLE);
    const decidedCount = decisions.placements.length;
    if (decidedCount > 0) {
      const decisionMs = clock.monotonic() - startedAt;
      options.metrics.observe('placementTime', decisionMs / decidedCount);
    }
    decisions.placements.forEach(startTask);
    decisions.preemptions.forEach(applyRelief);
    placer.takeAbandonedJobs().forEach(giveUpJob);
    if (decidedCount >= MAX_DECISIONS_PER_CYCLE) requestCycle();
  }

  function startTask(decided: placement.placer.Placement): void {
    const {taskId, size} = decided;
    const job = tracker.jobOf(taskId);
    const session = pool.session(decided.workerId);
    if (job === undefined || session === undefined) {
      placer.release(taskId, {type: 'not_started'});
      return;
    }
    const attempt = options.nextAttempt();
    const {urgency, work} = job.spec;
    const waitMs = clock.wall() - job.acceptedAt;
    options.metrics.observe('taskWait', waitMs, {urgency});
    const startedAt = clock.monotonic();
    tasks.add({...decided, attempt, phase: 'starting', startedAt});
    session.start({
      taskId,
      attempt,
      size,
      work,
      traceparent: job.traceparent,
      leaseMs: tracker.mustRunOnce(taskId)
        ? durations.taskLeaseMs
        : durations.serviceLeaseMs,
    });
  }

  function applyRelief(relief: placement.placer.PreemptionAction): void {
    const task = tasks.get(relief.taskId);
    const session = task && pool.session(task.workerId);
    if (task === undefined || session === undefined) return;
    switch (relief.type) {
      case 'throttle':
        session.throttle(task.attempt, relief.cpuMillis);
        return;
      case 'checkpoint':
        session.checkpoint(task.attempt);
        return;
    }
  }

  function giveUpJob(failure: {
    readonly jobId: types.ids.JobId;
    readonly message: string;
  }): void {
    logger.warn('job_given_up', {job: failure.jobId, reason: failure.message});
    void options.append({type: 'job_given_up', ...failure});
  }

  function openGateWhenSafe(): void {
    isRecovered = recoveryGate.isOpen({
      now: clock.monotonic(),
      hadPredecessor: options.hadPredecessor,
      heldSince,
      leaseMs: durations.taskLeaseMs,
      graceMs: durations.leaseGraceMs,
      listLagMs: durations.listLagMs,
      recent: options.recentWorkers,
      fenced: fencedWorkers,
    });
    if (!isRecovered) return;
    logger.info('domain_recovered', {
      after_ms: Math.round(clock.monotonic() - heldSince),
      active: tasks.size(),
      gated_jobs: tracker.gatedJobCount(),
    });
    tracker.releaseGatedJobs();
  }

  /** Tracks a task that a worker reports as running, or stops it. */
  function reconcileRunningTask(
    workerId: types.ids.WorkerId,
    activeTaskCount: platform.worker.RunningTask,
  ): void {
    const tracked = tasks.get(activeTaskCount.taskId);
    if (tracked?.attempt === activeTaskCount.attempt) {
      // The phase `stopping` of a cancelled task must not change back.
      if (tracked.phase === 'starting') tracked.phase = 'running';
      return;
    }
    const job = tracker.jobOf(activeTaskCount.taskId);
    const isNeeded =
      tracked === undefined && tracker.isNeeded(activeTaskCount.taskId);
    if (job === undefined || !isNeeded) {
      pool.session(workerId)?.stop(activeTaskCount);
      return;
    }
    tracker.track(activeTaskCount, workerId, job, clock.monotonic());
  }

  function onAttached(
    id: types.ids.WorkerId,
    answer: platform.worker.AttachAnswer,
  ): void {
    fencedWorkers.add(id);
    capacities.set(id, answer.capacity);
    const reportedAttempts = new Set([
      ...answer.running.map((task) => task.attempt),
      ...answer.finished.map((task) => task.attempt),
    ]);
    for (const task of tasks.onWorker(id)) {
      // The answer to the start call settles starts in flight.
      if (task.phase === 'starting' || reportedAttempts.has(task.attempt))
        continue;
      tracker.release(task, {type: 'stopped'});
    }
    updatePlacerWorker(id);
    answer.running.forEach((task) => reconcileRunningTask(id, task));
    if (pool.listed(id)?.state === 'leaving') evacuate(id);
    requestCycle();
  }

  function updatePlacerWorker(id: types.ids.WorkerId): void {
    const listed = pool.listed(id);
    const capacity = capacities.get(id);
    if (listed === undefined || capacity === undefined) return;
    placer.setWorker({id, rack: listed.rack, capacity});
    if (listed.state === 'leaving') placer.cordonWorker(id);
  }

  /**
   * Moves tasks off a worker that is leaving, before it goes and they are
   * lost: a checkpoint saves their progress for the next attempt. Gang tasks
   * stay until they end, because a gang can only move as a whole.
   */
  function evacuate(id: types.ids.WorkerId): void {
    const session = pool.session(id);
    if (session?.isAttached() !== true) return;
    for (const task of tasks.onWorker(id)) {
      const kind = tracker.jobOf(task.taskId)?.spec.shape.kind;
      if (task.phase !== 'running' || kind === 'gang') continue;
      session.checkpoint(task.attempt);
    }
  }

  function sessionEventsOf(
    id: types.ids.WorkerId,
  ): workerSession.SessionEvents {
    return {
      attached: (answer) => onAttached(id, answer),
      started: (order) => {
        const task = tasks.getAttempt(order.taskId, order.attempt);
        if (task?.phase === 'starting') task.phase = 'running';
      },
      notStarted: (order, message) => {
        logger.info('task_not_started', {task: order.taskId, reason: message});
        const task = tasks.getAttempt(order.taskId, order.attempt);
        if (task !== undefined) tracker.release(task, {type: 'not_started'});
      },
      ended: (ended) => onTaskEnd(id, ended),
      stopped: (stopped) => {
        const task = tasks.getAttempt(stopped.taskId, stopped.attempt);
        if (task !== undefined) tracker.release(task, {type: 'stopped'});
      },
      usage: (usage) => {
        for (const {taskId, used} of usage) placer.reportUsage(taskId, used);
      },
      silent: () => placer.cordonWorker(id),
      lapsed: () => {
        for (const task of tasks.onWorker(id))
          tracker.release(task, {type: 'stopped'});
        pool.removeIfUnlisted(id);
      },
    };
  }

  function stopTasksOf(job: records.jobFold.JobState): void {
    for (const task of tasks.ofJob(job.jobId)) {
      if (task.phase === 'recording') continue;
      task.phase = 'stopping';
      pool.session(task.workerId)?.stop(task);
    }
  }

  function handleJobChange(change: records.jobFold.JobChange): void {
    switch (change.type) {
      case 'accepted':
        tracker.enqueueJob(change.job);
        return;
      case 'closed':
        tracker.dropJob(change.job);
        stopTasksOf(change.job);
        return;
      case 'restored':
        // The domain holder replaces this scheduler; see `domain_holder.ts`.
        return;
    }
  }

  async function requestCyclesPeriodically(): Promise<void> {
    while (!closing.signal.aborted) {
      requestCycle();
      const next = types.clock.after(clock.monotonic(), CYCLE_INTERVAL_MS);
      await clock.sleepUntil(next, closing.signal);
    }
  }
  void requestCyclesPeriodically();

  return {
    setWorkers: (listed) => {
      pool.setListed(listed);
      requestCycle();
    },
    setTeam: (team) => placer.setTeam(team),
    onJobChange: handleJobChange,
    activeTaskCount: (jobId) => tasks.ofJob(jobId).length,
    failedAttempts: (jobId) => tracker.failedAttempts(jobId),
    explain: (jobId) => placer.explainWait(jobId),
    admit: (spec) => placer.admit(spec, clock.wall()),
    status: () => ({
      epoch,
      recovered: isRecovered,
      workers: pool.size(),
      attachedWorkers: pool.attachedCount(),
      activeTasks: tasks.size(),
      waitingTasks: placer.waitingTasks(),
    }),
    close: () => {
      closing.abort();
      return pool.sessionsEnded();
    },
  };
}
