/**
 * Places the tasks of one failure domain while this entry holds its claim.
 * One scheduler lives for one epoch; what it needs to know it takes from the
 * jobs in the log and from the workers themselves.
 */
import type * as placement from '@gypsumwall/placement';
import type * as platform from '@gypsumwall/platform';
import type * as records from '@gypsumwall/records';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as recoveryGate from './recovery_gate.js';
import * as taskTable from './task_table.js';
import * as workerSession from './worker_session.js';

/** Spans of the scheduler, in milliseconds, out of the entry's settings. */
export interface SchedulerSpans {
  readonly workerHeartbeatMs: number;
  readonly taskLeaseMs: number;
  /** Lease of a service's task, which may run twice for a while. */
  readonly serviceLeaseMs: number;
  readonly leaseGraceMs: number;
  readonly listLagMs: number;
}

/** What a scheduler needs. */
export interface DomainSchedulerOptions {
  readonly epoch: number;
  readonly self: types.ids.EntryId;
  /** Whether anybody has held the domain before this epoch. */
  readonly hadPredecessor: boolean;
  readonly spans: SchedulerSpans;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  readonly tracer: telemetry.tracing.Tracer;
  readonly metrics: telemetry.metrics.Metrics;
  readonly placer: placement.placer.Placer;
  readonly jobs: records.jobFold.JobFold;
  readonly recentWorkers: recoveryGate.RecentWorkers;
  readonly makeWorker: (
    listed: platform.instanceList.ListedWorker,
  ) => platform.worker.Worker;
  /** Deadline of the claim now; undefined when it is not held any more. */
  readonly claimDeadline: () => types.clock.MonotonicMs | undefined;
  /** Ids of attempts are unique to the entry and the epoch. */
  readonly nextAttempt: () => types.ids.AttemptId;
  /** Appends to the domain's stream; true once the record stands there. */
  readonly append: (
    record: records.domainRecords.DomainRecord,
  ) => Promise<boolean>;
}

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
  onJob(change: records.jobFold.JobChange): void;
  running(jobId: types.ids.JobId): number;
  explain(jobId: types.ids.JobId): string;
  admit(spec: types.job.JobSpec): placement.placer.PlacementRefusal | undefined;
  status(): SchedulerStatus;
  /** Ends all sessions; tasks go on under their leases. */
  close(): void;
}

/** Decisions of one round; more wait for the next turn of the event loop. */
const ROUND_LIMIT = 500;
/** A round is due at least this often, for deadlines and quarantines. */
const ROUND_EVERY_MS = 200;

interface WorkerState {
  readonly listed: platform.instanceList.ListedWorker;
  readonly session: workerSession.WorkerSession;
  readonly abort: AbortController;
  gone: boolean;
}

/** Makes the scheduler of an epoch and starts its loops. */
export function createDomainScheduler(
  options: DomainSchedulerOptions,
): DomainScheduler {
  const {clock, placer, jobs, spans, epoch} = options;
  const logger = options.logger.with({epoch});
  const heldSince = clock.monotonic();
  const closing = new AbortController();
  const workers = new Map<types.ids.WorkerId, WorkerState>();
  const attached = new Set<types.ids.WorkerId>();
  /** Attached at some time in this epoch: older holders are fenced there. */
  const fenced = new Set<types.ids.WorkerId>();
  const tasks = taskTable.createTaskTable(
    (taskId) => types.ids.splitTaskId(taskId).jobId,
  );
  /** Jobs accepted before this epoch, held back until the gate opens. */
  const gated = new Set<records.jobFold.JobState>(jobs.openJobs());
  let recovered = false;
  let roundDue = false;

  function jobOfTask(
    taskId: types.ids.TaskId,
  ): records.jobFold.JobState | undefined {
    return jobs.job(types.ids.splitTaskId(taskId).jobId);
  }

  function runsOnce(taskId: types.ids.TaskId): boolean {
    return jobOfTask(taskId)?.spec.shape.kind !== 'service';
  }

  /** Indexes of a job's tasks that neither run nor are done. */
  function waitingIndexes(job: records.jobFold.JobState): number[] {
    const waiting: number[] = [];
    const count = types.job.taskCount(job.spec.shape);
    for (let index = 0; index < count; index++) {
      if (job.results.has(index)) continue;
      const taskId = types.ids.makeTaskId(job.jobId, index);
      if (tasks.get(taskId) === undefined) waiting.push(index);
    }
    return waiting;
  }

  function enqueue(
    job: records.jobFold.JobState,
    waiting: readonly number[],
  ): void {
    if (waiting.length === 0) return;
    const {jobId, spec, acceptedAt} = job;
    placer.enqueue({jobId, spec, acceptedAt, waiting});
    scheduleRound();
  }

  /** Gives a task's room back; it waits again if its job still wants it. */
  function release(
    task: taskTable.ActiveTask,
    report: placement.placer.RunReport,
  ): void {
    tasks.remove(task);
    placer.release(task.taskId, report);
    const job = jobOfTask(task.taskId);
    const {index} = types.ids.splitTaskId(task.taskId);
    const wanted = job?.phase.type === 'open' && !job.results.has(index);
    if (job !== undefined && wanted && !gated.has(job)) enqueue(job, [index]);
    scheduleRound();
  }

  function scheduleRound(): void {
    if (roundDue || closing.signal.aborted) return;
    roundDue = true;
    setImmediate(() => {
      roundDue = false;
      if (!closing.signal.aborted) round();
    });
  }

  function round(): void {
    openGateWhenSafe();
    const deadline = options.claimDeadline();
    if (deadline === undefined || deadline <= clock.monotonic()) return;
    const startedAt = clock.monotonic();
    const decisions = placer.decide(clock.wall(), ROUND_LIMIT);
    const {metrics} = options;
    const decided = decisions.placements.length;
    if (decided > 0) {
      const tookMs = clock.monotonic() - startedAt;
      metrics.observe('placementTime', tookMs / decided);
    }
    decisions.placements.forEach(startTask);
    decisions.reliefs.forEach(relieve);
    placer.takeGivenUp().forEach(giveUpJob);
    if (decisions.placements.length >= ROUND_LIMIT) scheduleRound();
  }

  function startTask(decided: placement.placer.Placement): void {
    const job = jobOfTask(decided.taskId);
    const state = workers.get(decided.workerId);
    if (job === undefined || state === undefined) {
      placer.release(decided.taskId, {type: 'not_started'});
      return;
    }
    const attempt = options.nextAttempt();
    const waitMs = clock.wall() - job.acceptedAt;
    const {urgency} = job.spec;
    options.metrics.observe('taskWait', waitMs, {urgency});
    tasks.put({
      ...decided,
      attempt,
      phase: 'starting',
      startedAt: clock.monotonic(),
    });
    state.session.start({
      taskId: decided.taskId,
      attempt,
      size: decided.size,
      work: job.spec.work,
      traceparent: job.traceparent,
      leaseMs: runsOnce(decided.taskId)
        ? spans.taskLeaseMs
        : spans.serviceLeaseMs,
    });
  }

  function relieve(relief: placement.placer.Relief): void {
    const task = tasks.get(relief.taskId);
    const session = task && workers.get(task.workerId)?.session;
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
    if (recovered) return;
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
      gated_jobs: gated.size,
    });
    const waiting = [...gated];
    gated.clear();
    for (const job of waiting) {
      if (job.phase.type === 'open') enqueue(job, waitingIndexes(job));
    }
  }

  function adopt(
    workerId: types.ids.WorkerId,
    running: platform.worker.RunningTask,
  ): void {
    const job = jobOfTask(running.taskId);
    const {index} = types.ids.splitTaskId(running.taskId);
    const known = tasks.get(running.taskId);
    if (known?.attempt === running.attempt) {
      // A cancelled task that is being stopped stays so.
      if (known.phase === 'starting') known.phase = 'running';
      return;
    }
    const wanted =
      job?.phase.type === 'open' &&
      !job.results.has(index) &&
      index < types.job.taskCount(job.spec.shape);
    if (job === undefined || !wanted || known !== undefined) {
      workers.get(workerId)?.session.stop(running);
      return;
    }
    tasks.put({
      taskId: running.taskId,
      attempt: running.attempt,
      workerId,
      size: running.size,
      phase: 'running',
      startedAt: clock.monotonic(),
    });
    placer.adopt({
      taskId: running.taskId,
      spec: job.spec,
      workerId,
      size: running.size,
    });
  }

  function onAttached(
    listed: platform.instanceList.ListedWorker,
    answer: platform.worker.Attached,
  ): void {
    const {id, rack} = listed;
    attached.add(id);
    fenced.add(id);
    const told = new Set([
      ...answer.running.map((task) => task.attempt),
      ...answer.finished.map((task) => task.attempt),
    ]);
    for (const task of tasks.at(id)) {
      // Starts under way are settled by their own answer.
      if (task.phase === 'starting' || told.has(task.attempt)) continue;
      release(task, {type: 'stopped'});
    }
    placer.setWorker({id, rack, capacity: answer.capacity});
    if (listed.state === 'leaving') placer.closeWorker(id);
    answer.running.forEach((task) => adopt(id, task));
    scheduleRound();
  }

  function onEnded(
    listed: platform.instanceList.ListedWorker,
    ended: platform.worker.FinishedTask,
  ): void {
    const session = workers.get(listed.id)?.session;
    const task = tasks.attempt(ended.taskId, ended.attempt);
    const job = jobOfTask(ended.taskId);
    const {index} = types.ids.splitTaskId(ended.taskId);
    const ranMs = clock.monotonic() - (task?.startedAt ?? heldSince);
    const recordable =
      ended.end.type === 'done' &&
      job?.phase.type === 'open' &&
      job.spec.shape.kind !== 'service' &&
      !job.results.has(index);
    if (!recordable) {
      session?.acknowledge(ended.attempt);
      if (task !== undefined) release(task, reportOf(ended.end, ranMs));
      return;
    }
    record(session, ended, job, task ?? holdEnded(listed, ended, job));
  }

  /**
   * A task that had ended before this epoch counts as active until its end
   * stands in the log: were it forgotten, it would be run a second time.
   */
  function holdEnded(
    listed: platform.instanceList.ListedWorker,
    ended: platform.worker.FinishedTask,
    job: records.jobFold.JobState,
  ): taskTable.ActiveTask | undefined {
    if (tasks.get(ended.taskId) !== undefined) return undefined;
    const held: taskTable.ActiveTask = {
      taskId: ended.taskId,
      attempt: ended.attempt,
      workerId: listed.id,
      size: job.spec.size,
      phase: 'running',
      startedAt: heldSince,
    };
    tasks.put(held);
    placer.adopt({...held, spec: job.spec});
    return held;
  }

  /** Acknowledges the end once it is in the log; until then it is repeated. */
  function record(
    session: workerSession.WorkerSession | undefined,
    ended: platform.worker.FinishedTask,
    job: records.jobFold.JobState,
    task: taskTable.ActiveTask | undefined,
  ): void {
    if (task?.phase === 'recording') return;
    if (task !== undefined) task.phase = 'recording';
    const ranMs = clock.monotonic() - (task?.startedAt ?? heldSince);
    void options.append({type: 'task_ended', ...ended}).then((recorded) => {
      if (!recorded) {
        if (task !== undefined) task.phase = 'running';
        return;
      }
      session?.acknowledge(ended.attempt);
      const current = tasks.attempt(ended.taskId, ended.attempt);
      if (current !== undefined) release(current, {type: 'done', ranMs});
    });
  }

  function eventsOf(
    listed: platform.instanceList.ListedWorker,
  ): workerSession.SessionEvents {
    const {id} = listed;
    return {
      attached: (answer) =>
        onAttached(workers.get(id)?.listed ?? listed, answer),
      started: (order) => {
        const task = tasks.attempt(order.taskId, order.attempt);
        if (task?.phase === 'starting') task.phase = 'running';
      },
      notStarted: (order, message) => {
        logger.info('task_not_started', {task: order.taskId, reason: message});
        const task = tasks.attempt(order.taskId, order.attempt);
        if (task !== undefined) release(task, {type: 'not_started'});
      },
      ended: (ended) => onEnded(listed, ended),
      stopped: (stopped) => {
        const task = tasks.attempt(stopped.taskId, stopped.attempt);
        if (task !== undefined) release(task, {type: 'stopped'});
      },
      usage: (usage) => {
        for (const {taskId, used} of usage) placer.reportUsage(taskId, used);
      },
      silent: () => {
        attached.delete(id);
        placer.closeWorker(id);
      },
      lapsed: () => {
        for (const task of tasks.at(id)) release(task, {type: 'stopped'});
        const state = workers.get(id);
        if (state?.gone === true) forget(id, state);
      },
    };
  }

  function forget(id: types.ids.WorkerId, state: WorkerState): void {
    state.abort.abort();
    workers.delete(id);
    attached.delete(id);
    placer.removeWorker(id);
  }

  function addWorker(listed: platform.instanceList.ListedWorker): void {
    const abort = new AbortController();
    const session = workerSession.createWorkerSession({
      workerId: listed.id,
      worker: options.makeWorker(listed),
      epoch,
      self: options.self,
      clock,
      logger,
      tracer: options.tracer,
      metrics: options.metrics,
      heartbeatMs: spans.workerHeartbeatMs,
      leaseMs: spans.taskLeaseMs,
      graceMs: spans.leaseGraceMs,
      runsOnce,
      claimDeadline: options.claimDeadline,
      events: eventsOf(listed),
    });
    workers.set(listed.id, {listed, session, abort, gone: false});
    const signal = AbortSignal.any([abort.signal, closing.signal]);
    void session.run(signal);
  }

  function setWorkers(
    listed: readonly platform.instanceList.ListedWorker[],
  ): void {
    const present = new Set(listed.map((worker) => worker.id));
    for (const worker of listed) {
      const known = workers.get(worker.id);
      if (known === undefined) {
        addWorker(worker);
        continue;
      }
      workers.set(worker.id, {...known, listed: worker, gone: false});
      if (worker.state === 'leaving') placer.closeWorker(worker.id);
    }
    for (const [id, state] of workers) {
      if (present.has(id)) continue;
      // Off the list is not stopped: its tasks count until leases lapse.
      state.gone = true;
      placer.closeWorker(id);
      if (tasks.at(id).length === 0) forget(id, state);
    }
    scheduleRound();
  }

  function onJob(change: records.jobFold.JobChange): void {
    switch (change.type) {
      case 'accepted':
        enqueue(change.job, waitingIndexes(change.job));
        return;
      case 'closed':
        placer.cancel(change.job.jobId);
        gated.delete(change.job);
        stopTasksOf(change.job);
        return;
      case 'restored':
        // The holder makes a new scheduler; see `domain_holder.ts`.
        return;
    }
  }

  function stopTasksOf(job: records.jobFold.JobState): void {
    for (const task of tasks.of(job.jobId)) {
      if (task.phase === 'recording') continue;
      task.phase = 'stopping';
      workers.get(task.workerId)?.session.stop(task);
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
    setWorkers,
    setTeam: (team) => placer.setTeam(team),
    onJob,
    running: (jobId) => tasks.of(jobId).length,
    explain: (jobId) => placer.explain(jobId),
    admit: (spec) => placer.admit(spec, clock.wall()),
    status: () => ({
      epoch,
      recovered,
      workers: workers.size,
      attachedWorkers: attached.size,
      activeTasks: tasks.size(),
      waitingTasks: placer.waitingTasks(),
    }),
    close: () => closing.abort(),
  };
}

function reportOf(
  end: types.job.TaskEnd,
  ranMs: number,
): placement.placer.RunReport {
  switch (end.type) {
    case 'done':
      return {type: 'done', ranMs};
    case 'failed':
      return {type: 'failed', message: end.message};
    case 'stopped':
      return {type: 'stopped'};
  }
}
