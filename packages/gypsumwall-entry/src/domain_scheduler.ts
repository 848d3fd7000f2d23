/**
 * Places the tasks of one failure domain while this entry holds its claim.
 * One scheduler lives for one epoch; what it needs to know it takes from the
 * jobs in the log and from the workers themselves.
 */
import type * as placement from '@gypsumwall/placement';
import type * as platform from '@gypsumwall/platform';
import type * as records from '@gypsumwall/records';
import * as types from '@gypsumwall/types';
import * as recoveryGate from './recovery_gate.js';
import type * as schedulerOptions from './scheduler_options.js';
import * as taskBooks from './task_books.js';
import * as taskEnds from './task_ends.js';
import * as workerPool from './worker_pool.js';
import type * as workerSession from './worker_session.js';

/** State for `status`. */
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
  /** Workers as the list shows them now. */
  setWorkers(listed: readonly platform.instanceList.ListedWorker[]): void;
  setTeam(team: placement.placer.PlacerTeam): void;
  onJobChange(change: records.jobFold.JobChange): void;
  activeTaskCount(jobId: types.ids.JobId): number;
  /** Runs of its tasks that failed while this entry has held the domain. */
  failures(jobId: types.ids.JobId): number;
  explain(jobId: types.ids.JobId): string;
  admit(spec: types.job.JobSpec): placement.placer.PlacementRefusal | undefined;
  status(): SchedulerStatus;
  /**
   * Ends all sessions; tasks go on under their leases. Resolves when no start
   * is on its way any more: only then may the claim be given up.
   */
  close(): Promise<void>;
}

/** Decisions of one round; more wait for the next turn of the event loop. */
const ROUND_LIMIT = 500;
/** A round is due at least this often, for deadlines and quarantines. */
const ROUND_EVERY_MS = 200;

/** Makes the scheduler of an epoch and starts its loops. */
export function createDomainScheduler(
  options: schedulerOptions.DomainSchedulerOptions,
): DomainScheduler {
  const {clock, placer, durations: spans, epoch} = options;
  const logger = options.logger.with({epoch});
  const heldSince = clock.monotonic();
  const closing = new AbortController();
  /** Attached at some time in this epoch: older holders are fenced there. */
  const fenced = new Set<types.ids.WorkerId>();
  const capacities = new Map<types.ids.WorkerId, types.resources.Resources>();
  const books = taskBooks.createTaskBooks(options, scheduleRound);
  const {tasks} = books;
  const pool = workerPool.createWorkerPool({
    scheduler: {...options, logger},
    runsOnce: (taskId) => books.runsOnce(taskId),
    eventsOf,
    onClosed: (id) => {
      placer.cordonWorker(id);
      evacuate(id);
    },
    onReopened: openWorker,
    onForgotten: (id) => {
      capacities.delete(id);
      placer.removeWorker(id);
    },
    hasTasks: (id) => tasks.at(id).length > 0,
    signal: closing.signal,
  });
  const onTaskEnd = taskEnds.createTaskEnds({
    clock,
    append: options.append,
    books,
    heldSince,
    acknowledge: (id, attempt) => pool.session(id)?.acknowledge(attempt),
  });
  let recovered = false;
  let roundDue = false;

  function scheduleRound(): void {
    if (roundDue || closing.signal.aborted) return;
    roundDue = true;
    setImmediate(() => {
      roundDue = false;
      if (!closing.signal.aborted) round();
    });
  }

  function round(): void {
    if (!recovered) openGateWhenSafe();
    const deadline = options.claimDeadline();
    if (deadline === undefined || deadline <= clock.monotonic()) return;
    const startedAt = clock.monotonic();
    const decisions = placer.decide(clock.wall(), ROUND_LIMIT);
    const decided = decisions.placements.length;
    if (decided > 0) {
      const tookMs = clock.monotonic() - startedAt;
      options.metrics.observe('placementTime', tookMs / decided);
    }
    decisions.placements.forEach(startTask);
    decisions.preemptions.forEach(relieve);
    placer.takeAbandonedJobs().forEach(giveUpJob);
    if (decided >= ROUND_LIMIT) scheduleRound();
  }

  function startTask(decided: placement.placer.Placement): void {
    const {taskId, size} = decided;
    const job = books.jobOf(taskId);
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
    tasks.put({...decided, attempt, phase: 'starting', startedAt});
    session.start({
      taskId,
      attempt,
      size,
      work,
      traceparent: job.traceparent,
      leaseMs: books.runsOnce(taskId)
        ? spans.taskLeaseMs
        : spans.serviceLeaseMs,
    });
  }

  function relieve(relief: placement.placer.PreemptionAction): void {
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

  function giveUpJob(given: {
    readonly jobId: types.ids.JobId;
    readonly message: string;
  }): void {
    logger.warn('job_given_up', {job: given.jobId, reason: given.message});
    void options.append({type: 'job_given_up', ...given});
  }

  function openGateWhenSafe(): void {
    recovered = recoveryGate.isOpen({
      now: clock.monotonic(),
      hadPredecessor: options.hadPredecessor,
      heldSince,
      leaseMs: spans.taskLeaseMs,
      graceMs: spans.leaseGraceMs,
      listLagMs: spans.listLagMs,
      recent: options.recentWorkers,
      fenced,
    });
    if (!recovered) return;
    logger.info('domain_recovered', {
      after_ms: Math.round(clock.monotonic() - heldSince),
      active: tasks.size(),
      gated_jobs: books.gatedJobs(),
    });
    books.openGate();
  }

  /** Takes over a task that runs, or stops it if nobody wants it there. */
  function adopt(
    workerId: types.ids.WorkerId,
    running: platform.worker.RunningTask,
  ): void {
    const known = tasks.get(running.taskId);
    if (known?.attempt === running.attempt) {
      // A cancelled task that is being stopped stays so.
      if (known.phase === 'starting') known.phase = 'running';
      return;
    }
    const job = books.jobOf(running.taskId);
    const isWanted = known === undefined && books.isWanted(running.taskId);
    if (job === undefined || !isWanted) {
      pool.session(workerId)?.stop(running);
      return;
    }
    books.hold(running, workerId, job, clock.monotonic());
  }

  function onAttached(
    id: types.ids.WorkerId,
    answer: platform.worker.AttachAnswer,
  ): void {
    fenced.add(id);
    capacities.set(id, answer.capacity);
    const told = new Set([
      ...answer.running.map((task) => task.attempt),
      ...answer.finished.map((task) => task.attempt),
    ]);
    for (const task of tasks.at(id)) {
      // Starts under way are settled by their own answer.
      if (task.phase === 'starting' || told.has(task.attempt)) continue;
      books.release(task, {type: 'stopped'});
    }
    openWorker(id);
    answer.running.forEach((task) => adopt(id, task));
    if (pool.listed(id)?.state === 'leaving') evacuate(id);
    scheduleRound();
  }

  function openWorker(id: types.ids.WorkerId): void {
    const listed = pool.listed(id);
    const capacity = capacities.get(id);
    if (listed === undefined || capacity === undefined) return;
    placer.setWorker({id, rack: listed.rack, capacity});
    if (listed.state === 'leaving') placer.cordonWorker(id);
  }

  /**
   * A worker that leaves takes its tasks with it when it goes. Those that can
   * go on elsewhere save their progress and move now; a gang would have to
   * move whole and is left to end.
   */
  function evacuate(id: types.ids.WorkerId): void {
    const session = pool.session(id);
    if (session?.isAttached() !== true) return;
    for (const task of tasks.at(id)) {
      const kind = books.jobOf(task.taskId)?.spec.shape.kind;
      if (task.phase !== 'running' || kind === 'gang') continue;
      session.checkpoint(task.attempt);
    }
  }

  function eventsOf(id: types.ids.WorkerId): workerSession.SessionEvents {
    return {
      attached: (answer) => onAttached(id, answer),
      started: (order) => {
        const task = tasks.attempt(order.taskId, order.attempt);
        if (task?.phase === 'starting') task.phase = 'running';
      },
      notStarted: (order, message) => {
        logger.info('task_not_started', {task: order.taskId, reason: message});
        const task = tasks.attempt(order.taskId, order.attempt);
        if (task !== undefined) books.release(task, {type: 'not_started'});
      },
      ended: (ended) => onTaskEnd(id, ended),
      stopped: (stopped) => {
        const task = tasks.attempt(stopped.taskId, stopped.attempt);
        if (task !== undefined) books.release(task, {type: 'stopped'});
      },
      usage: (usage) => {
        for (const {taskId, used} of usage) placer.reportUsage(taskId, used);
      },
      silent: () => placer.cordonWorker(id),
      lapsed: () => {
        for (const task of tasks.at(id)) books.release(task, {type: 'stopped'});
        pool.forgetIfGone(id);
      },
    };
  }

  function stopTasksOf(job: records.jobFold.JobState): void {
    for (const task of tasks.of(job.jobId)) {
      if (task.phase === 'recording') continue;
      task.phase = 'stopping';
      pool.session(task.workerId)?.stop(task);
    }
  }

  function onJob(change: records.jobFold.JobChange): void {
    switch (change.type) {
      case 'accepted':
        books.enqueueJob(change.job);
        return;
      case 'closed':
        books.closeJob(change.job);
        stopTasksOf(change.job);
        return;
      case 'restored':
        // The holder makes a new scheduler; see `domain_holder.ts`.
        return;
    }
  }

  async function tick(): Promise<void> {
    while (!closing.signal.aborted) {
      scheduleRound();
      const next = types.clock.after(clock.monotonic(), ROUND_EVERY_MS);
      await clock.sleepUntil(next, closing.signal);
    }
  }
  void tick();

  return {
    setWorkers: (listed) => {
      pool.setListed(listed);
      scheduleRound();
    },
    setTeam: (team) => placer.setTeam(team),
    onJobChange: onJob,
    activeTaskCount: (jobId) => tasks.of(jobId).length,
    failures: (jobId) => books.failures(jobId),
    explain: (jobId) => placer.explainWait(jobId),
    admit: (spec) => placer.admit(spec, clock.wall()),
    status: () => ({
      epoch,
      recovered,
      workers: pool.size(),
      attachedWorkers: pool.attached(),
      activeTasks: tasks.size(),
      waitingTasks: placer.waitingTasks(),
    }),
    close: () => {
      closing.abort();
      return pool.ended();
    },
  };
}
