/**
 * The scheduler of one cell: its jobs, its workers and every attempt that may
 * run on one of them. It does no input or output and reads no clock: the holder
 * of the cell passes in what it receives and carries out the decisions.
 */
import * as organisations from '@gypsumwall/organisations';
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import type * as adviserPool from './adviser_pool.js';
import * as takeAdviceRequests from './take_advice_requests.js';
import * as crashAttribution from './crash_attribution.js';
import * as explainJob from './explain_job.js';
import * as jobFaults from './job_faults.js';
import * as jobOpeners from './job_opener.js';
import * as jobRegistries from './job_registry.js';
import * as learnedSpeeds from './learned_speeds.js';
import * as lostAttempts from './lost_attempts.js';
import * as placeIsolated from './place_isolated.js';
import * as nearChoice from './near_choice.js';
import * as nearStarts from './near_starts.js';
import type * as placements from './placements.js';
import * as refusalBackoff from './refusal_backoff.js';
import * as reportReader from './report_reader.js';
import * as runMeters from './run_meter.js';
import * as attemptTable from './attempt_table.js';
import * as schedulingCycle from './scheduling_cycle.js';
import * as speedSummary from './speed_summary.js';
import * as startOrders from './start_orders.js';
import * as stepAdvice from './step_advice.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as taskIds from './task_id.js';
import * as taskIsolation from './task_isolation.js';
import * as unaccountedWork from './unaccounted_work.js';
import * as usableWorkers from './usable_workers.js';
import * as waitingOrder from './waiting_order.js';
import * as waitingDemand from './waiting_demand.js';
import * as waitReporter from './wait_reporter.js';
import * as workerRecorder from './worker_recorder.js';
import * as workerRegistry from './worker_registry.js';
import * as workerHealth from './worker_health.js';
import * as workerLosses from './worker_losses.js';
import * as workerRestarts from './worker_restarts.js';

/** Used where calls to the adviser are not limited. */
const UNLIMITED_ADVICE: adviserPool.AdviceCapacity = {
  needed: Infinity,
  large: Infinity,
  spare: Infinity,
};

const UNLIMITED_CYCLE: schedulingCycle.CycleLimits = {
  starts: Infinity,
  ready: Infinity,
};

/** Creates a scheduler without jobs and workers. */
export function createScheduler(
  options: schedulerTypes.SchedulerOptions,
): schedulerTypes.Scheduler {
  const {onEvent, canStoreRanges = () => true} = options;
  const registry = workerRegistry.createWorkerRegistry();
  const attempts = attemptTable.createAttemptTable(registry);
  const health = workerHealth.createWorkerHealth(() => registry.workers.size);
  const jobRegistry = jobRegistries.createJobRegistry({
    attempts,
    health,
    isLeaving: (id) => registry.workers.get(id)?.info.draining ?? true,
    onEvent,
  });
  const {jobs, waitingSteps, dirty} = jobRegistry;
  const faults = jobFaults.createJobFaults(jobRegistry, onEvent);
  const opener = jobOpeners.createJobOpener({
    jobRegistry,
    faults,
    canStoreRanges,
    onEvent,
  });
  const speeds = learnedSpeeds.createLearnedSpeeds(options.readMs);
  const runMeter = runMeters.createRunMeter(speeds, registry);
  const readReport = reportReader.createReportReader({
    registry,
    attempts,
    health,
    jobRegistry,
    runMeter,
    organisationOf: (id) => {
      const jobId = taskIds.parseTaskId(id)?.jobId;
      return jobId && options.organisationOf?.(jobId);
    },
    onEvent,
  });
  const losses = workerLosses.createWorkerLosses();
  const crashes = crashAttribution.createCrashAttribution({
    losses,
    jobRegistry,
    onEvent,
  });
  const lossHandler = lostAttempts.createLostAttempts({
    attempts,
    jobRegistry,
    losses,
    crashes,
    onEvent,
  });
  const isolation = taskIsolation.createTaskIsolation({
    registry,
    attempts,
    isWaiting: (id) => waitsForIsolation(id),
  });
  const restarts = workerRestarts.createWorkerRestarts({
    registry,
    attempts,
    jobRegistry,
    crashes,
    lossHandler,
    losses,
    health,
    isolation,
  });
  const order = waitingOrder.createWaitingOrder();
  const speedReporter = speedSummary.createSpeedReporter(onEvent);
  const reporter = waitReporter.createWaitReporter(onEvent);
  const recorder = workerRecorder.createWorkerRecorder(registry, dirty);
  const starts = nearStarts.createNearStarts(onEvent);
  const nearPolicy = nearChoice.createNearPolicy(options, {
    starts,
    attemptsOf: (id) => attempts.ofWorker(id),
  });
  const meter = organisations.arrivalMeter.createArrivalMeter();
  let arrivals = 0;
  let commitMs = 0;
  let reservations: schedulingCycle.CycleResult['reservations'] = new Map();

  function waitsForIsolation(id: types.ids.JobId): boolean {
    for (const {steps} of jobs.get(id)?.openOccurrences.values() ?? []) {
      if (steps.some(placeIsolated.waitsForIsolation)) return true;
    }
    return false;
  }

  /**
   * Updates the approvals or the health of a worker after it refused a start.
   * Without this, the same order would be sent to the same worker at once.
   */
  function applyRefusal(
    attempt: activeJob.Attempt,
    reason: schedulerTypes.RefusalReason,
    now: types.clock.MonotonicMs,
  ): void {
    switch (reason) {
      case 'bad_ticket':
        if (attempt.task === undefined) return;
        attempt.task.stepRun.advice.approvals.delete(attempt.workerId);
        return;
      case 'no_room':
      case 'unhealthy':
      case 'other':
        health.recordStall(attempt.workerId, now);
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
    const startOrder = startOrders.createStartOrder(placement, now);
    attempts.add(startOrder.attempt);
    isolation.onStartOrdered(startOrder.attempt, now);
    jobRegistry.storeIfSuspect(startOrder.attempt);
    return startOrder;
  }

  function runCycle(
    now: types.clock.MonotonicMs,
    callsLeft: number,
    limits: schedulingCycle.CycleLimits,
  ): schedulingCycle.CycleResult {
    const onFault = (job: activeJob.ActiveJob, thrown: unknown) =>
      faults.record(job, thrown, now);
    const {steps, gangFellBehind} = order.sort(
      waitingSteps,
      now,
      commitMs,
      onFault,
    );
    if (gangFellBehind)
      for (const id of reservations.keys()) registry.markFreed(id);
    for (const id of health.takeRestored(now)) registry.markFreed(id);
    for (const id of isolation.releaseExpired(now)) registry.markFreed(id);
    const freed = registry.takeFreed();
    if (speeds.refresh(registry, now))
      speedReporter.report(speedSummary.summarizeSpeeds(registry, speeds), now);
    const context = {registry, health, now, freed, isolation, limits, speeds};
    const cycle = schedulingCycle.runCycle(steps, {
      ...context,
      nearPolicy,
      onFault,
    });
    starts.onPlaced(cycle.placed, now);
    for (const [id, gang] of reservations) {
      if (cycle.reservations.get(id) !== gang) registry.markFreed(id);
    }
    reservations = cycle.reservations;
    for (const {stepRun} of cycle.placed) reporter.onPlaced(stepRun);
    const isReserved = (id: types.ids.WorkerId) => reservations.has(id);
    const sweptSteps = {ordered: steps, jobs: jobs.values()};
    const reasons = {registry, health, now, isReserved, isolation, callsLeft};
    reporter.sweep(sweptSteps, reasons);
    return cycle;
  }

  /**
   * Returns calls to the adviser for the most urgent steps, up to the capacity
   * of the entries that make them.
   */
  function requestAdvice(
    awaitingAdvice: readonly activeJob.StepRun[],
    now: types.clock.MonotonicMs,
    capacity: adviserPool.AdviceCapacity,
  ): schedulerTypes.AdviceRequest[] {
    const canUse = (stepRun: activeJob.StepRun, id: types.ids.WorkerId) =>
      usableWorkers.canUse(stepRun, id, {health, isolation, reservations, now});
    return takeAdviceRequests.takeAdviceRequests(
      awaitingAdvice,
      capacity,
      {registry, now, speeds, canUse},
      (job, thrown) => faults.record(job, thrown, now),
    );
  }

  return {
    workerRegistry: registry,
    jobs,
    addJob(start, now, wall) {
      const {organisation, acceptedAt} = start;
      const isExcess = meter.exceedsRate(organisation, acceptedAt);
      const arrival = arrivals++;
      const job = opener.create({...start, arrival, isExcess});
      starts.onJobAdded(start.request);
      jobRegistry.add(job);
      if (job.heldProgress !== undefined) return;
      crashes.onJobAdded(job);
      // The next cycle opens more, as far as there is room for all jobs.
      opener.openFirst(job, now, wall);
    },
    hasJob: (id) => jobs.has(id),
    updatePolicies(policyOf) {
      const reported = new Set<string>();
      for (const job of jobs.values()) {
        const {queue, maxFailures: before} = job.policy;
        activeJob.setPolicy(job, policyOf(queue) ?? job.policy);
        const {maxFailures: limit} = job.policy;
        if (limit === before || reported.has(queue)) continue;
        reported.add(queue);
        onEvent({type: 'failure_limit_changed', queue, limit, before});
      }
    },
    updateOrganisations(next) {
      registry.quotas.setOrganisations(next);
      meter.setOrganisations(next);
    },
    cancelJob(id) {
      const job = jobs.get(id);
      if (job !== undefined) jobRegistry.finishJob(job, 'cancelled');
    },
    putWorker: (info) => void registry.put(info),
    removeWorker(id, cause, now) {
      restarts.remove(id, cause, now);
      speeds.forget(id);
    },
    restartWorker(info, cause, now) {
      restarts.restart(info, cause, now);
      speeds.forget(info.id);
    },
    onLeaseExpired(id, now) {
      const incarnation = registry.workers.get(id)?.info ?? {id};
      lossHandler.endAttempts(incarnation, 'silent', now);
    },
    setUsable(id, usable, now, isSilent = false) {
      if (!usable) lossHandler.onWorkerUnanswered(id, isSilent, now);
      registry.setUsable(id, usable);
    },
    setCurrent: (id, current) => registry.setCurrent(id, current),
    onWorkerUnreachable(id) {
      for (const attempt of attempts.ofWorker(id))
        jobRegistry.queueCopy(attempt);
    },
    isIdle: (id) => attempts.ofWorker(id).size === 0,
    hostsLongRunningTasks(id) {
      for (const {task} of attempts.ofWorker(id)) {
        if (task?.stepRun.request.longRunning === true) return true;
      }
      return false;
    },
    evacuate(id) {
      for (const attempt of attempts.ofWorker(id)) jobRegistry.stop(attempt);
    },
    onWorkerReconciled() {
      for (const job of jobs.values()) {
        if (!job.isAwaitingReconciliation) continue;
        if (![...job.workers.keys()].every(options.isReconciled)) continue;
        job.isAwaitingReconciliation = false;
        crashes.onJobReconciled(job);
        activeJob.markChanged(job);
        jobRegistry.stopPartialGangs(job);
      }
    },
    decide(now, wall, capacity = UNLIMITED_ADVICE, limits = UNLIMITED_CYCLE) {
      faults.resumeDue(now);
      opener.openDue(now, wall);
      registry.quotas.setUnaccounted(
        unaccountedWork.unaccountedWork(jobs.values()),
      );
      const cycle = runCycle(now, capacity.needed, limits);
      recorder.record(cycle.awaitingCommit, commitMs);
      startOrders.numberAttempts(cycle.placed, options.attemptBase);
      const orders = cycle.placed.map((placed) => orderStart(placed, now));
      for (const {stepRun} of cycle.placed) jobRegistry.updateWaiting(stepRun);
      const advice = requestAdvice(cycle.awaitingAdvice, now, capacity);
      return {starts: orders, advice};
    },
    isStartDue: (attempt) =>
      attempts.has(attempt) && attempt.phase === 'starting',
    onStartAnswered(attempt, outcome, now) {
      if (!attempts.has(attempt)) return;
      switch (outcome.type) {
        case 'started':
          if (attempt.phase === 'starting') {
            attempt.phase = 'running';
            attempt.confirmedAt = now;
            attempt.startedAt ??= now;
            attempt.percentChangedAt = now;
            isolation.onStarted(attempt, now);
            jobRegistry.storeIfSuspect(attempt);
            runMeter.onStarted(attempt, now);
          }
          if (attempt.task !== undefined) {
            refusalBackoff.resetRefusals(attempt.task.stepRun);
            jobRegistry.markRunning(attempt.task.stepRun.job);
          }
          return;
        case 'unsent':
          jobRegistry.dropAttempt(attempt);
          return;
        case 'unknown':
          // Only an answered stop proves that the attempt does not run and
          // never will.
          jobRegistry.stop(attempt);
          return;
        case 'refused':
          options.onEvent({
            type: 'run_ended',
            run: attempt.taskId,
            attempt: attempt.number,
            worker: attempt.workerId,
            how: 'refused',
            reason: outcome.reason,
          });
          applyRefusal(attempt, outcome.reason, now);
          if (attempt.task !== undefined) {
            const {stepRun} = attempt.task;
            refusalBackoff.recordRefusal(stepRun, outcome.reason, now);
          }
          jobRegistry.dropAttempt(attempt);
          return;
      }
    },
    onStopAnswered(attempt, now) {
      attempt.confirmedAt = now;
      jobRegistry.storeIfSuspect(attempt);
    },
    applyReport(report, now) {
      const info = registry.workers.get(report.workerId)?.info;
      if (info !== undefined) losses.recordAnswer(info, now);
      crashes.onWorkerAnswered(report.workerId);
      readReport(report, now);
      if (report.complete) crashes.onAttemptsListed(report.workerId);
      isolation.onAttemptsFound(report.workerId, now);
    },
    onAdviceAnswered({stepRun, workers}, approved, validUntil) {
      if (approved !== undefined) stepRun.hasChanged = true;
      stepAdvice.recordAnswer(stepRun.advice, workers, approved, validUntil);
    },
    takeStops: () => jobRegistry.takeStops(),
    takeDirty() {
      const ranges = dirty.size > 0 && canStoreRanges();
      const taken = [...dirty].map((job) => {
        const progress = activeJob.progressOf(job, ranges);
        if (job.unstoredCrashes !== undefined) job.unstoredCrashes = progress;
        return {jobId: job.id, queue: job.policy.queue, progress};
      });
      dirty.clear();
      return taken;
    },
    setCommitLatency(latencyMs) {
      commitMs = latencyMs;
    },
    onStored(stored) {
      for (const {jobId, progress} of stored) {
        const job = jobs.get(jobId);
        if (job !== undefined) activeJob.markChanged(job);
        if (job?.unstoredCrashes === progress) job.unstoredCrashes = undefined;
        for (const id of progress.workers) {
          // A worker that was removed from the record since then must not be
          // recorded again.
          if (job?.workers.has(id) === true) job.workers.set(id, 'recorded');
        }
      }
    },
    countAttempts(isCounted) {
      let count = 0;
      for (const {task} of attempts.values())
        if (task !== undefined && isCounted(task.stepRun.job.request)) count++;
      return count;
    },
    waitingDemand: () => waitingDemand.sumWaiting(waitingSteps),
    explain: (question, now) =>
      explainJob.explainJob(question, {
        registry,
        health,
        now,
        isolation,
        speeds,
        waitingSteps,
        reservations,
        nearPolicy,
      }),
    counts: () => ({
      jobs: jobs.size,
      runs: attempts.size(),
      waitingSteps: waitingSteps.size,
      organisations: registry.quotas.usage(),
      near: starts.counts(),
    }),
    speedSummary: () => speedSummary.summarizeSpeeds(registry, speeds),
  };
}
