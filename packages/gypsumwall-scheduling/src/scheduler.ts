/**
 * The scheduler of one cell: its jobs, its workers and every run that may be
 * on one of them. It does no input or output and reads no clock; whoever holds
 * the cell feeds it what was heard and carries out what it decides.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as jobProgress from './job_progress.js';
import type * as jobRequest from './job_request.js';
import * as jobSteps from './job_steps.js';
import * as placementPass from './placement_pass.js';
import * as runTable from './run_table.js';
import * as stallWatch from './stall_watch.js';
import * as taskIds from './task_id.js';
import * as workerBook from './worker_book.js';
import * as workerHealth from './worker_health.js';

/** A start to be sent to a worker. */
export interface StartOrder {
  readonly run: activeJob.Run;
  readonly payload: string;
  readonly checkpoint?: string;
  readonly ticket?: string;
}

/** A question to the adviser. */
export interface AdviceWish {
  readonly stepRun: activeJob.StepRun;
  readonly workers: types.ids.WorkerId[];
  /** How long the adviser will take, in milliseconds. */
  readonly callMs: number;
}

/** What is to be done now. */
export interface Decisions {
  readonly starts: StartOrder[];
  readonly advice: AdviceWish[];
}

/** How a start order was answered. */
export type StartOutcome =
  | {readonly type: 'started'}
  /** Surely never runs. */
  | {readonly type: 'refused'; readonly reason: RefusalReason}
  /** May run, now or later. */
  | {readonly type: 'unknown'};

/** Why a worker refused a start. */
export type RefusalReason =
  'bad_ticket' | 'superseded' | 'no_room' | 'unhealthy' | 'other';

/** A run as a worker lists it. */
export interface RunningRow {
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
  /** Saved progress; empty if there is none. */
  readonly checkpoint: string;
  readonly percent: number;
}

/** An end as a worker lists it. */
export interface EndRow {
  /** Rises by one with each end of the worker's stay. */
  readonly sequence: number;
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
  readonly how: jobSteps.RunEnd;
  readonly checkpoint: string;
}

/** What a worker told of itself. */
export interface WorkerReport {
  readonly workerId: types.ids.WorkerId;
  readonly askedAt: types.clock.MonotonicMs;
  readonly running: readonly RunningRow[];
  /** Ends that weren't handed in before. */
  readonly ends: readonly EndRow[];
  /** Whether `running` and the ends heard so far are all there is. */
  readonly complete: boolean;
}

/** A job whose progress has to be stored. */
export interface DirtyJob {
  readonly jobId: types.ids.JobId;
  readonly queue: string;
  readonly progress: jobProgress.JobProgress;
}

/** The scheduler of one cell. */
export interface Scheduler {
  readonly book: workerBook.WorkerBook;
  /** Takes a job up; its runs are looked for in reports from then on. */
  addJob(
    start: Omit<jobSteps.JobStart, 'arrival'>,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
  ): void;
  hasJob(id: types.ids.JobId): boolean;
  /** Takes over what the operator has set for queues since. */
  updatePolicies(
    policyOf: (queue: string) => jobRequest.QueuePolicy | undefined,
  ): void;
  cancelJob(id: types.ids.JobId): void;
  putWorker(info: workerBook.WorkerInfo): void;
  /** Its stay is surely over: nothing runs there any more. */
  workerGone(id: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  /** Its lease has surely passed; it may come back, with nothing running. */
  leasePassed(id: types.ids.WorkerId, now: types.clock.MonotonicMs): void;
  setUsable(id: types.ids.WorkerId, usable: boolean): void;
  /** Stops all that runs on a worker that is about to leave. */
  evacuate(id: types.ids.WorkerId): void;
  /** A worker was accounted for: jobs that were held back may go on. */
  workerAccounted(): void;
  decide(now: types.clock.MonotonicMs, wall: types.clock.WallMs): Decisions;
  startAnswered(
    run: activeJob.Run,
    outcome: StartOutcome,
    now: types.clock.MonotonicMs,
  ): void;
  stopAnswered(run: activeJob.Run, now: types.clock.MonotonicMs): void;
  report(report: WorkerReport, now: types.clock.MonotonicMs): void;
  adviceAnswered(
    wish: AdviceWish,
    approved: ReadonlyMap<types.ids.WorkerId, string> | undefined,
    validUntil: types.clock.MonotonicMs,
  ): void;
  /** Runs to stop, handed over once. */
  takeStops(): activeJob.Run[];
  /** Jobs to store, handed over once. */
  takeDirty(): DirtyJob[];
  /** The jobs' progress stands in the store. */
  stored(jobs: readonly DirtyJob[]): void;
  counts(): SchedulerCounts;
}

/** For gauges. */
export interface SchedulerCounts {
  readonly jobs: number;
  readonly runs: number;
  readonly waitingSteps: number;
}

/** What a scheduler is made with. */
export interface SchedulerOptions {
  /** Attempts of this scheduler are numbered above it. */
  readonly attemptBase: number;
  /**
   * Whether it is known what runs on a worker that an earlier scheduler used:
   * it has answered since, or can't run anything any more.
   */
  readonly isAccounted: (worker: types.ids.WorkerId) => boolean;
  /** Told of each decision that touches a task, for the log. */
  readonly onEvent: (event: SchedulerEvent) => void;
}

/** A decision or a change of belief. */
export type SchedulerEvent =
  | {
      readonly type: 'run_ended';
      readonly run: types.ids.TaskId;
      readonly attempt: number;
      readonly worker: types.ids.WorkerId;
      readonly how: jobSteps.RunEnd | 'vanished' | 'refused';
      readonly reason?: RefusalReason;
    }
  | {
      readonly type: 'job_over';
      readonly job: types.ids.JobId;
      readonly phase: jobProgress.JobPhase;
    }
  | {
      readonly type: 'worker_stalled';
      readonly worker: types.ids.WorkerId;
      readonly runs: number;
      readonly blamed: boolean;
    };

/** The adviser takes no more names than this in one call. */
const MOST_WORKERS_ADVISED = 100;

/** Creates a scheduler that knows of nothing yet. */
export function createScheduler(options: SchedulerOptions): Scheduler {
  const book = workerBook.createWorkerBook();
  const runs = runTable.createRunTable(book);
  const health = workerHealth.createWorkerHealth(() => book.workers.size);
  const jobs = new Map<types.ids.JobId, activeJob.ActiveJob>();
  const waiting = new Set<activeJob.StepRun>();
  const scheduled = new Set<activeJob.ActiveJob>();
  const dirty = new Set<activeJob.ActiveJob>();
  let stops: activeJob.Run[] = [];
  let arrivals = 0;

  function stop(run: activeJob.Run): void {
    if (run.phase === 'stopping') return;
    run.phase = 'stopping';
    run.confirmedAt = undefined;
    stops.push(run);
  }

  function noteWaiting(stepRun: activeJob.StepRun): void {
    const over = jobProgress.isOver(stepRun.job.phase);
    if (stepRun.waiting.length > 0 && !over) waiting.add(stepRun);
    else waiting.delete(stepRun);
  }

  function moveOn(
    job: activeJob.ActiveJob,
    now: types.clock.MonotonicMs,
    wall: types.clock.WallMs,
  ): void {
    for (const opened of jobSteps.openDue(job, now, wall)) noteWaiting(opened);
  }

  function finishJob(
    job: activeJob.ActiveJob,
    phase: 'completed' | 'failed' | 'cancelled',
  ): void {
    job.phase = phase;
    dirty.add(job);
    jobs.delete(job.id);
    scheduled.delete(job);
    health.forgetJob(job.id);
    for (const occurrence of job.open.values()) {
      for (const stepRun of occurrence.steps) {
        waiting.delete(stepRun);
        for (const run of stepRun.runs) stop(run);
      }
    }
    options.onEvent({type: 'job_over', job: job.id, phase});
  }

  /** Breaks a gang up: without one member the others can't work. */
  function breakGang(stepRun: activeJob.StepRun): void {
    for (const run of stepRun.runs) stop(run);
  }

  function requeue(stepRun: activeJob.StepRun, index: number): void {
    if (stepRun.request.gang && stepRun.state === 'open') breakGang(stepRun);
    jobSteps.requeue(stepRun, index);
    noteWaiting(stepRun);
  }

  /** A run is over without a word on how: its task waits again. */
  function dropRun(run: activeJob.Run): void {
    runs.remove(run);
    if (run.owner !== undefined) requeue(run.owner.stepRun, run.owner.index);
  }

  function stepRunOf(
    taskId: types.ids.TaskId,
  ): {readonly stepRun: activeJob.StepRun; readonly index: number} | undefined {
    const place = taskIds.placeOf(taskId);
    if (place === undefined) return undefined;
    const occurrence = jobs.get(place.jobId)?.open.get(place.occurrence);
    const stepRun = occurrence?.steps[place.step];
    if (stepRun === undefined) return undefined;
    return {stepRun, index: place.index};
  }

  function applyEnd(
    workerId: types.ids.WorkerId,
    row: EndRow,
    now: types.clock.MonotonicMs,
  ): void {
    const run = runs.find(row.taskId, row.attempt, workerId);
    if (run !== undefined) runs.remove(run);
    options.onEvent({
      type: 'run_ended',
      run: row.taskId,
      attempt: row.attempt,
      worker: workerId,
      how: row.how,
    });
    const owner = run?.owner ?? stepRunOf(row.taskId);
    if (owner === undefined) return;
    const {stepRun, index} = owner;
    keepCheckpoint(stepRun, index, row.checkpoint);
    switch (row.how) {
      case 'done':
        applyDone(stepRun, index, workerId);
        return;
      case 'failed':
        applyFailed(stepRun, index, row.attempt, workerId, now);
        return;
      case 'stopped':
      case 'lapsed':
      case 'broken':
      case 'alone':
        if (run !== undefined) requeue(stepRun, index);
        return;
    }
  }

  function applyDone(
    stepRun: activeJob.StepRun,
    index: number,
    workerId: types.ids.WorkerId,
  ): void {
    const {job} = stepRun;
    health.noteDone(workerId, job.id);
    if (stepRun.request.longRunning) {
      requeue(stepRun, index);
      return;
    }
    if (stepRun.state === 'done' || stepRun.done.has(index)) return;
    jobSteps.markDone(stepRun, index);
    noteWaiting(stepRun);
    for (const run of stepRun.runs) {
      // Members of a gang end together by themselves; copies don't.
      if (!stepRun.request.gang && run.owner?.index === index) stop(run);
    }
    dirty.add(job);
    if (job.phase === 'completed') finishJob(job, 'completed');
    else scheduled.add(job);
  }

  function applyFailed(
    stepRun: activeJob.StepRun,
    index: number,
    attempt: number,
    workerId: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void {
    const {job} = stepRun;
    health.noteFailed(workerId, job.id, now);
    if (stepRun.state === 'done' || jobProgress.isOver(job.phase)) return;
    const spent = jobSteps.countFailure(stepRun, index, attempt);
    dirty.add(job);
    if (spent) finishJob(job, 'failed');
    else requeue(stepRun, index);
  }

  /** Without this the same order would go to the same worker at once. */
  function learnFromRefusal(
    run: activeJob.Run,
    reason: RefusalReason,
    now: types.clock.MonotonicMs,
  ): void {
    switch (reason) {
      case 'bad_ticket':
        if (run.owner === undefined) return;
        run.owner.stepRun.advice.validUntil = 0 as types.clock.MonotonicMs;
        return;
      case 'no_room':
      case 'unhealthy':
      case 'other':
        health.noteStalled(run.workerId, now);
        return;
      case 'superseded':
        // The next attempt has a higher number.
        return;
    }
  }

  function keepCheckpoint(
    stepRun: activeJob.StepRun,
    index: number,
    checkpoint: string,
  ): void {
    if (checkpoint === '') return;
    stepRun.saved.set(activeJob.countKey(stepRun, index), checkpoint);
  }

  function applyRow(
    workerId: types.ids.WorkerId,
    row: RunningRow,
    now: types.clock.MonotonicMs,
  ): void {
    const run = runs.find(row.taskId, row.attempt, workerId);
    if (run === undefined) {
      adopt(workerId, row, now);
      return;
    }
    if (run.percent !== row.percent) {
      run.percent = row.percent;
      run.percentChangedAt = now;
    }
    if (run.owner !== undefined) {
      keepCheckpoint(run.owner.stepRun, run.owner.index, row.checkpoint);
    }
  }

  /**
   * Takes over a run that an earlier scheduler started. What is no task of
   * ours any more is stopped, and takes room until its end is told.
   */
  function adopt(
    workerId: types.ids.WorkerId,
    row: RunningRow,
    now: types.clock.MonotonicMs,
  ): void {
    const owner = stepRunOf(row.taskId);
    const wanted = owner !== undefined && isWanted(owner, row.attempt);
    const worker = book.workers.get(workerId);
    const size =
      owner === undefined
        ? (worker?.info.capacity ?? types.resources.NO_RESOURCES)
        : chooseWorker.bookedSize(owner.stepRun);
    const stepRunId = owner?.stepRun.id ?? 'stray';
    const run: activeJob.Run = {
      taskId: row.taskId,
      attempt: row.attempt,
      workerId,
      owner,
      size,
      stepRunId,
      phase: 'running',
      confirmedAt: now,
      percent: row.percent,
      percentChangedAt: now,
    };
    runs.add(run);
    book.book(workerId, stepRunId, size);
    if (owner === undefined) {
      stop(run);
      return;
    }
    noteAttempt(owner.stepRun, owner.index, row.attempt);
    keepCheckpoint(owner.stepRun, owner.index, row.checkpoint);
    if (wanted) takeOutOfLine(owner.stepRun, owner.index);
    else stop(run);
  }

  function isWanted(
    owner: {readonly stepRun: activeJob.StepRun; readonly index: number},
    attempt: number,
  ): boolean {
    const {stepRun, index} = owner;
    // It was started once the steps before it were done, whose ends may not
    // have been heard here yet.
    if (stepRun.state === 'done' || stepRun.done.has(index)) return false;
    const {gang} = stepRun.request;
    for (const run of stepRun.runs) {
      if (gang ? run.attempt !== attempt : run.owner?.index === index) {
        return false;
      }
    }
    return true;
  }

  function takeOutOfLine(stepRun: activeJob.StepRun, index: number): void {
    stepRun.waiting = stepRun.request.gang
      ? []
      : stepRun.waiting.filter((waitingIndex) => waitingIndex !== index);
    noteWaiting(stepRun);
  }

  function noteAttempt(
    stepRun: activeJob.StepRun,
    index: number,
    attempt: number,
  ): void {
    const key = activeJob.countKey(stepRun, index);
    const highest = stepRun.attempts.get(key) ?? 0;
    stepRun.attempts.set(key, Math.max(highest, attempt));
  }

  function findVanished(report: WorkerReport): void {
    const listed = new Set(
      report.running.map((row) => `${row.taskId}#${row.attempt}`),
    );
    for (const run of [...runs.ofWorker(report.workerId)]) {
      if (listed.has(`${run.taskId}#${run.attempt}`)) continue;
      const confirmed = run.confirmedAt;
      if (confirmed === undefined || confirmed >= report.askedAt) continue;
      options.onEvent({
        type: 'run_ended',
        run: run.taskId,
        attempt: run.attempt,
        worker: run.workerId,
        how: 'vanished',
      });
      dropRun(run);
    }
  }

  function handleStall(
    workerId: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): void {
    const stall = stallWatch.findStall(runs.ofWorker(workerId), now);
    if (stall === undefined) return;
    options.onEvent({
      type: 'worker_stalled',
      worker: workerId,
      runs: stall.runs.length,
      blamed: stall.blamesWorker,
    });
    if (stall.blamesWorker) health.noteStalled(workerId, now);
    for (const run of stall.runs) stop(run);
  }

  function startOrder(
    placement: placementPass.Placement,
    now: types.clock.MonotonicMs,
  ): StartOrder {
    const {stepRun, index, worker} = placement;
    const key = activeJob.countKey(stepRun, index);
    const run: activeJob.Run = {
      taskId: taskIds.taskId(stepRun.id, index),
      attempt: stepRun.attempts.get(key)!,
      workerId: worker.info.id,
      owner: {stepRun, index},
      size: chooseWorker.bookedSize(stepRun),
      stepRunId: stepRun.id,
      phase: 'starting',
      percent: 0,
      percentChangedAt: now,
    };
    runs.add(run);
    return {
      run,
      payload: stepRun.job.request.payload,
      checkpoint: stepRun.saved.get(key),
      ticket: stepRun.advice.tickets.get(worker.info.id),
    };
  }

  /** Numbers the attempts: one for each task, one for a gang as a whole. */
  function numberAttempts(placed: readonly placementPass.Placement[]): void {
    const gangs = new Set<activeJob.StepRun>();
    for (const {stepRun, index} of placed) {
      if (stepRun.request.gang && gangs.has(stepRun)) continue;
      gangs.add(stepRun);
      const key = activeJob.countKey(stepRun, index);
      const highest = stepRun.attempts.get(key) ?? 0;
      const next = Math.max(options.attemptBase, highest) + 1;
      stepRun.attempts.set(key, next);
    }
  }

  function adviceWish(stepRun: activeJob.StepRun): AdviceWish | undefined {
    const policy = stepRun.job.policy.advice;
    if (policy === undefined || stepRun.advice.asking) return undefined;
    const named = workersToName(stepRun).slice(0, MOST_WORKERS_ADVISED);
    if (named.length === 0) return undefined;
    stepRun.advice.asking = true;
    const callMs = policy.callMs + policy.perWorkerMs * named.length;
    return {stepRun, workers: named, callMs};
  }

  /**
   * A refusal doesn't change, so later calls leave those workers out. Workers
   * that weren't named yet are: after a takeover the first call may know few,
   * and a gang that fits on none of them would wait for ever.
   */
  function workersToName(stepRun: activeJob.StepRun): types.ids.WorkerId[] {
    const {refused} = stepRun.advice;
    const named: types.ids.WorkerId[] = [];
    for (const worker of book.workers.values()) {
      if (!worker.usable || worker.info.draining) continue;
      if (!chooseWorker.mayRunOn(stepRun, worker)) continue;
      if (refused.has(worker.info.id)) continue;
      named.push(worker.info.id);
    }
    return named;
  }

  function* startable(): Iterable<activeJob.StepRun> {
    for (const stepRun of waiting) if (!stepRun.job.heldBack) yield stepRun;
  }

  /** A gang that was found in part has lost members with their workers. */
  function breakPartialGangs(job: activeJob.ActiveJob): void {
    for (const occurrence of job.open.values()) {
      for (const stepRun of occurrence.steps) {
        const {gang, taskCount} = stepRun.request;
        const found = stepRun.runs.size;
        if (gang && found > 0 && found < taskCount) breakGang(stepRun);
      }
    }
  }

  /** Has the workers recorded that tasks are about to be handed to. */
  function recordWorkers(placements: readonly placementPass.Placement[]): void {
    for (const {stepRun, worker} of placements) {
      const {job} = stepRun;
      if (job.workers.has(worker.info.id)) continue;
      job.workers.set(worker.info.id, 'recording');
      job.phase = 'running';
      dirty.add(job);
    }
  }

  return {
    book,
    addJob(start, now, wall) {
      const job = jobSteps.createJob({...start, arrival: arrivals++});
      jobs.set(job.id, job);
      scheduled.add(job);
      moveOn(job, now, wall);
    },
    hasJob: (id) => jobs.has(id),
    updatePolicies(policyOf) {
      for (const job of jobs.values()) {
        job.policy = policyOf(job.policy.queue) ?? job.policy;
      }
    },
    cancelJob(id) {
      const job = jobs.get(id);
      if (job !== undefined) finishJob(job, 'cancelled');
    },
    putWorker: (info) => void book.put(info),
    workerGone(id) {
      for (const run of [...runs.ofWorker(id)]) dropRun(run);
      book.remove(id);
      health.forgetWorker(id);
    },
    leasePassed(id) {
      for (const run of [...runs.ofWorker(id)]) dropRun(run);
    },
    setUsable(id, usable) {
      const worker = book.workers.get(id);
      if (worker !== undefined) worker.usable = usable;
    },
    evacuate(id) {
      for (const run of runs.ofWorker(id)) stop(run);
    },
    workerAccounted() {
      for (const job of jobs.values()) {
        if (!job.heldBack) continue;
        if (![...job.workers.keys()].every(options.isAccounted)) continue;
        job.heldBack = false;
        breakPartialGangs(job);
      }
    },
    decide(now, wall) {
      for (const job of scheduled) {
        moveOn(job, now, wall);
        const total = job.request.schedule?.occurrences ?? 1;
        // Only jobs with times to come are looked at again.
        if (job.finished.size + job.open.size >= total) scheduled.delete(job);
      }
      const context = {book, health, now};
      const pass = placementPass.runPass(startable(), context);
      recordWorkers(pass.unrecorded);
      numberAttempts(pass.placed);
      const starts = pass.placed.map((placed) => startOrder(placed, now));
      for (const {stepRun} of pass.placed) noteWaiting(stepRun);
      const advice: AdviceWish[] = [];
      for (const stepRun of pass.unadvised) {
        const wish = adviceWish(stepRun);
        if (wish !== undefined) advice.push(wish);
      }
      return {starts, advice};
    },
    startAnswered(run, outcome, now) {
      if (!runs.has(run)) return;
      switch (outcome.type) {
        case 'started':
          if (run.phase === 'starting') {
            run.phase = 'running';
            run.confirmedAt = now;
            run.percentChangedAt = now;
          }
          return;
        case 'unknown':
          // Only an answered stop tells whether it runs or ever will.
          stop(run);
          return;
        case 'refused':
          options.onEvent({
            type: 'run_ended',
            run: run.taskId,
            attempt: run.attempt,
            worker: run.workerId,
            how: 'refused',
            reason: outcome.reason,
          });
          learnFromRefusal(run, outcome.reason, now);
          dropRun(run);
          return;
      }
    },
    stopAnswered(run, now) {
      run.confirmedAt = now;
    },
    report(report, now) {
      for (const end of report.ends) applyEnd(report.workerId, end, now);
      for (const row of report.running) applyRow(report.workerId, row, now);
      if (report.complete) findVanished(report);
      handleStall(report.workerId, now);
    },
    adviceAnswered({stepRun, workers}, approved, validUntil) {
      const {advice} = stepRun;
      advice.asking = false;
      if (approved === undefined) return;
      advice.tickets = approved;
      advice.validUntil = validUntil;
      for (const id of workers) if (!approved.has(id)) advice.refused.add(id);
    },
    takeStops() {
      const taken = stops;
      stops = [];
      return taken;
    },
    takeDirty() {
      const taken = [...dirty].map((job) => ({
        jobId: job.id,
        queue: job.policy.queue,
        progress: activeJob.progressOf(job),
      }));
      dirty.clear();
      return taken;
    },
    stored(stored) {
      for (const {jobId, progress} of stored) {
        const job = jobs.get(jobId);
        for (const id of progress.workers) job?.workers.set(id, 'recorded');
      }
    },
    counts: () => ({
      jobs: jobs.size,
      runs: runs.size(),
      waitingSteps: waiting.size,
    }),
  };
}
