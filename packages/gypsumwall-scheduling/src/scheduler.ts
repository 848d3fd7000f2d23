/**
 * The scheduler of one cell: its jobs, its workers and every run that may be
 * on one of them. It does no input or output and reads no clock; whoever holds
 * the cell feeds it what was heard and carries out what it decides.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import type * as adviserPool from './adviser_pool.js';
import * as adviceWishes from './advice_wishes.js';
import * as crashReader from './crash_reader.js';
import * as jobOrder from './job_order.js';
import * as jobRegistrys from './job_registry.js';
import * as jobSteps from './job_steps.js';
import * as lostRuns from './lost_runs.js';
import * as placeIsolated from './place_isolated.js';
import type * as placements from './placements.js';
import * as refusalBackoff from './refusal_backoff.js';
import * as reportReader from './report_reader.js';
import * as attemptTable from './attempt_table.js';
import * as schedulingCycle from './scheduling_cycle.js';
import * as startOrders from './start_orders.js';
import * as stepAdvice from './step_advice.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as taskIsolation from './task_isolation.js';
import * as waitingOrder from './waiting_order.js';
import * as waitReporter from './wait_reporter.js';
import * as workerRegistry from './worker_registry.js';
import * as workerHealth from './worker_health.js';
import * as workerLosses from './worker_losses.js';

/** Where nothing limits the calls to the adviser. */
const UNLIMITED_ADVICE: adviserPool.AdviceCapacity = {
  needed: Infinity,
  large: Infinity,
  spare: Infinity,
};

/** Creates a scheduler that knows of nothing yet. */
export function createScheduler(
  options: schedulerTypes.SchedulerOptions,
): schedulerTypes.Scheduler {
  const {onEvent} = options;
  const book = workerRegistry.createWorkerRegistry();
  const runs = attemptTable.createAttemptTable(book);
  const health = workerHealth.createWorkerHealth(() => book.workers.size);
  const jobRegistry = jobRegistrys.createJobRegistry({
    runs,
    health,
    isLeaving: (id) => book.workers.get(id)?.info.draining ?? true,
    onEvent,
  });
  const {jobs, waiting, scheduled, dirty} = jobRegistry;
  const readReport = reportReader.createReportReader({
    book,
    runs,
    health,
    jobRegistry,
    onEvent,
  });
  const losses = workerLosses.createWorkerLosses();
  const crashes = crashReader.createCrashReader({losses, jobRegistry, onEvent});
  const lost = lostRuns.createLostRuns({
    runs,
    jobRegistry,
    losses,
    crashes,
    onEvent,
  });
  const isolation = taskIsolation.createTaskIsolation({
    book,
    runs,
    isWaiting: (id) => waitsForIsolation(id),
  });
  const order = waitingOrder.createWaitingOrder();
  const waits = waitReporter.createWaitReporter(onEvent);
  let arrivals = 0;
  let held: schedulingCycle.CycleResult['held'] = new Map();

  function waitsForIsolation(id: types.ids.JobId): boolean {
    for (const {steps} of jobs.get(id)?.openOccurrences.values() ?? []) {
      if (steps.some(placeIsolated.waitsForIsolation)) return true;
    }
    return false;
  }

  /** Without this the same order would go to the same worker at once. */
  function learnFromRefusal(
    run: activeJob.Attempt,
    reason: schedulerTypes.RefusalReason,
    now: types.clock.MonotonicMs,
  ): void {
    switch (reason) {
      case 'bad_ticket':
        if (run.task === undefined) return;
        run.task.stepRun.advice.approvals.delete(run.workerId);
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

  function orderStart(
    placement: placements.Placement,
    now: types.clock.MonotonicMs,
  ): schedulerTypes.StartOrder {
    const started = startOrders.startOrder(placement, now);
    runs.add(started.attempt);
    isolation.noteOrdered(started.attempt, now);
    return started;
  }

  function runCycle(
    now: types.clock.MonotonicMs,
    callsLeft: number,
  ): schedulingCycle.CycleResult {
    const {steps, gangFellBehind} = order.sorted(waiting, now);
    if (gangFellBehind) for (const id of held.keys()) book.noteFreed(id);
    for (const id of health.takeRestored(now)) book.noteFreed(id);
    for (const id of isolation.takeReopened(now)) book.noteFreed(id);
    const freed = book.takeFreed();
    const context = {book, health, now, freed, isolation};
    const startable = steps.filter((stepRun) => !stepRun.job.heldBack);
    const cycle = schedulingCycle.runCycle(startable, context);
    for (const [id, gang] of held) {
      if (cycle.held.get(id) !== gang) book.noteFreed(id);
    }
    held = cycle.held;
    for (const {stepRun} of cycle.placed) waits.notePlaced(stepRun);
    const isHeld = (id: types.ids.WorkerId) => held.has(id);
    const waitingSteps = {ordered: steps, jobs: jobs.values()};
    const reasons = {book, health, now, isHeld, isolation, callsLeft};
    waits.sweep(waitingSteps, reasons);
    return cycle;
  }

  /** Calls for the most urgent steps, while there are entries to make them. */
  function takeWishes(
    unadvised: readonly activeJob.StepRun[],
    now: types.clock.MonotonicMs,
    capacity: adviserPool.AdviceCapacity,
  ): schedulerTypes.AdviceRequest[] {
    return adviceWishes.takeWishes(unadvised, capacity, {
      book,
      now,
      mayUse(stepRun, id) {
        if (health.trustOf(id, now) === 'avoided') return false;
        if (!mayHost(stepRun, id, now)) return false;
        const gang = held.get(id);
        return gang === undefined || !goesBefore(gang, stepRun);
      },
    });
  }

  /** Whether a worker isn't kept from what waits of a step. */
  function mayHost(
    stepRun: activeJob.StepRun,
    id: types.ids.WorkerId,
    now: types.clock.MonotonicMs,
  ): boolean {
    if (isolation.isClosedTo(stepRun, id)) return false;
    if (!placeIsolated.waitsForIsolation(stepRun)) return true;
    if (placeIsolated.splitWaiting(stepRun).others.length > 0) return true;
    return isolation.mayHost(stepRun, id, now);
  }

  /** Whether a step outranked another at the last cycle. */
  function goesBefore(
    {rank}: activeJob.StepRun,
    other: activeJob.StepRun,
  ): boolean {
    if (rank === undefined || other.rank === undefined) return false;
    return jobOrder.compareRanked(rank, other.rank) < 0;
  }

  /** Has the workers recorded that tasks are about to be handed to. */
  function recordWorkers(unrecorded: readonly placements.Placement[]): void {
    for (const {stepRun, worker} of unrecorded) {
      const {job} = stepRun;
      if (job.workers.has(worker.info.id)) continue;
      job.workers.set(worker.info.id, 'recording');
      dirty.add(job);
    }
  }

  return {
    workerRegistry: book,
    jobs,
    addJob(start, now, wall) {
      const job = jobSteps.createJob({...start, arrival: arrivals++});
      jobRegistry.add(job);
      jobRegistry.moveOn(job, now, wall);
    },
    hasJob: (id) => jobs.has(id),
    updatePolicies(policyOf) {
      for (const job of jobs.values()) {
        activeJob.setPolicy(job, policyOf(job.policy.queue) ?? job.policy);
      }
    },
    cancelJob(id) {
      const job = jobs.get(id);
      if (job !== undefined) jobRegistry.finishJob(job, 'cancelled');
    },
    putWorker: (info) => void book.put(info),
    removeWorker(id, cause, now) {
      if (cause === 'crashed') lost.noteUnheard(id);
      book.remove(id);
      lost.dropRuns(id, cause, now);
      losses.noteGone(id);
      health.forgetWorker(id);
    },
    onLeaseExpired: (id, now) => lost.dropRuns(id, 'silent', now),
    setUsable(id, usable, now) {
      if (!usable) lost.noteUnanswered(id, now);
      book.setUsable(id, usable);
    },
    onWorkerUnreachable(id) {
      for (const run of runs.ofWorker(id)) jobRegistry.startCopy(run);
    },
    isIdle: (id) => runs.ofWorker(id).size === 0,
    hostsLongRunningTasks(id) {
      for (const {task: owner} of runs.ofWorker(id)) {
        if (owner?.stepRun.request.longRunning === true) return true;
      }
      return false;
    },
    evacuate(id) {
      for (const run of runs.ofWorker(id)) jobRegistry.stop(run);
    },
    onWorkerReconciled() {
      for (const job of jobs.values()) {
        if (!job.heldBack) continue;
        if (![...job.workers.keys()].every(options.isReconciled)) continue;
        job.heldBack = false;
        crashes.noteAccounted(job);
        activeJob.noteChanged(job);
        jobRegistry.breakPartialGangs(job);
      }
    },
    decide(now, wall, capacity = UNLIMITED_ADVICE) {
      for (const job of scheduled) {
        jobRegistry.moveOn(job, now, wall);
        const total = job.request.schedule?.occurrences ?? 1;
        // Only jobs with times to come are looked at again.
        if (job.finished.size + job.openOccurrences.size >= total)
          scheduled.delete(job);
      }
      const cycle = runCycle(now, capacity.needed);
      recordWorkers(cycle.awaitingCommit);
      startOrders.numberAttempts(cycle.placed, options.attemptBase);
      const starts = cycle.placed.map((placed) => orderStart(placed, now));
      for (const {stepRun} of cycle.placed) jobRegistry.noteWaiting(stepRun);
      const advice = takeWishes(cycle.awaitingAdvice, now, capacity);
      return {starts, advice};
    },
    onStartAnswered(run, outcome, now) {
      if (!runs.has(run)) return;
      switch (outcome.type) {
        case 'started':
          if (run.phase === 'starting') {
            run.phase = 'running';
            run.confirmedAt = now;
            run.startedAt ??= now;
            run.percentChangedAt = now;
            isolation.noteStarted(run, now);
          }
          if (run.task !== undefined) {
            refusalBackoff.noteTaken(run.task.stepRun);
            jobRegistry.noteBegun(run.task.stepRun.job);
          }
          return;
        case 'unknown':
          // Only an answered stop tells whether it runs or ever will.
          jobRegistry.stop(run);
          return;
        case 'refused':
          options.onEvent({
            type: 'run_ended',
            run: run.taskId,
            attempt: run.number,
            worker: run.workerId,
            how: 'refused',
            reason: outcome.reason,
          });
          learnFromRefusal(run, outcome.reason, now);
          if (run.task !== undefined) {
            const {stepRun} = run.task;
            refusalBackoff.noteRefused(stepRun, outcome.reason, now);
          }
          jobRegistry.dropRun(run);
          return;
      }
    },
    onStopAnswered(run, now) {
      run.confirmedAt = now;
    },
    applyReport(report, now) {
      const info = book.workers.get(report.workerId)?.info;
      if (info !== undefined) losses.noteAnswered(info, now);
      crashes.noteAnswered(report.workerId);
      readReport(report, now);
      isolation.noteFound(report.workerId, now);
    },
    onAdviceAnswered({stepRun, workers}, approved, validUntil) {
      if (approved !== undefined) stepRun.changed = true;
      stepAdvice.noteAnswer(stepRun.advice, workers, approved, validUntil);
    },
    takeStops: () => jobRegistry.takeStops(),
    takeDirty() {
      const taken = [...dirty].map((job) => {
        const progress = activeJob.progressOf(job);
        if (job.unstoredCrashes !== undefined) job.unstoredCrashes = progress;
        return {jobId: job.id, queue: job.policy.queue, progress};
      });
      dirty.clear();
      return taken;
    },
    onStored(stored) {
      for (const {jobId, progress} of stored) {
        const job = jobs.get(jobId);
        if (job !== undefined) activeJob.noteChanged(job);
        if (job?.unstoredCrashes === progress) job.unstoredCrashes = undefined;
        for (const id of progress.workers) {
          // One that was taken off the record since must not come back on it.
          if (job?.workers.has(id) === true) job.workers.set(id, 'recorded');
        }
      }
    },
    counts: () => ({
      jobs: jobs.size,
      runs: runs.size(),
      waitingSteps: waiting.size,
    }),
  };
}
