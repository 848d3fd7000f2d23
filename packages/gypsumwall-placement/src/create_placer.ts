/**
 * The placement policy of a failure domain. It combines the allocations, the
 * queue, the learned sizes, reservations, preemption and quarantine, each of
 * which is a module. Calls pass in the current time, so the same sequence of
 * calls leads to the same decisions.
 */
import * as types from '@gypsumwall/types';
import * as admission from './admission.js';
import type * as allocationState from './allocation_state.js';
import * as domainAllocations from './domain_allocations.js';
import * as explainWait from './explain_wait.js';
import * as jobFailures from './job_failures.js';
import * as jobQueue from './job_queue.js';
import * as workerPicker from './worker_picker.js';
import * as schedulingCycle from './scheduling_cycle.js';
import type * as placer from './placer.js';
import * as quarantine from './quarantine.js';
import * as rackReplicas from './rack_replicas.js';
import * as preemptor from './preemptor.js';
import * as reservations from './reservations.js';
import * as sizeLearner from './size_learner.js';
import * as taskSize from './task_size.js';
import * as waitingJobs from './waiting_jobs.js';
import * as workerIndex from './worker_index.js';

/** Options of the policy; `setTeam` sets the limits of each team. */
export interface PlacerOptions {
  /** For sampling workers; the same seed leads to the same decisions. */
  readonly random?: types.random.Random;
  /** New jobs are refused above this limit, the least urgent ones earlier. */
  readonly maxWaitingJobs?: number;
}

const DEFAULT_MAX_WAITING_JOBS = 100_000;
const DEFAULT_SEED = 1;
/**
 * Failures of a job that has failed on this many workers no longer count
 * against a worker, since the job itself is likely at fault.
 */
const SUSPECT_JOB_WORKERS = 2;
/** From this share of a worker's CPU in use, tasks slow each other down. */
const CPU_CONTENTION_SHARE = 0.98;

/** Creates the policy without workers, teams or jobs. */
export function createPlacer(options: PlacerOptions = {}): placer.Placer {
  const random = options.random ?? types.random.createRandom(DEFAULT_SEED);
  const maxWaitingJobs = options.maxWaitingJobs ?? DEFAULT_MAX_WAITING_JOBS;
  const index = workerIndex.createWorkerIndex();
  const learner = sizeLearner.createSizeLearner();
  const failures = jobFailures.createJobFailures();
  const replicas = rackReplicas.createRackReplicas();
  /** Workers with more free resources than in the last scheduling cycle. */
  const workersWithMoreFree = new Set<allocationState.WorkerState>();
  let abandonedJobs = new Map<types.ids.JobId, string>();
  let isUnblockingSuppressed = false;
  let lastNow = 0;

  const allocations = domainAllocations.createDomainAllocations(onFreeChanged);
  const sizes = taskSize.createTaskSizes(learner, allocations);
  const sizeOf = (job: jobQueue.WaitingJob) => sizes.sizeOf(job.spec);
  const waiting = waitingJobs.createWaitingJobs(allocations, sizes);
  const {workerList, largestCapacity} = allocations;
  const domainPreemptor = preemptor.createPreemptor({
    workerList,
    random,
    sizeOf,
  });
  const reservationTable = reservations.createReservations({
    workerList,
    largestCapacity,
    random,
    sizeOf,
    reserve: (worker, amount, sign) =>
      allocations.reserve(worker, amount, sign),
    withoutUnblocking,
  });
  const domainQuarantine = quarantine.createQuarantine(
    allocations.workers,
    onQuarantineChanged,
  );
  const cycleContext: schedulingCycle.CycleContext = {
    allocations,
    queue: waiting.queue,
    sizes,
    pickWorker: workerPicker.createWorkerPicker(index, random),
    failures,
    rackReplicas: replicas,
    reservations: reservationTable,
    allocate,
    rollBack,
    onTasksPlaced: (job, count) => waiting.onTasksPlaced(job, count),
    removeWaitingTask: (jobId, taskIndex) =>
      waiting.removeTask(jobId, taskIndex),
  };

  function isUsable(worker: allocationState.WorkerState): boolean {
    return worker.isSchedulable && !worker.isQuarantined;
  }

  function onFreeChanged(
    worker: allocationState.WorkerState,
    hasGrown: boolean,
  ): void {
    index.update(worker, isUsable(worker));
    if (hasGrown && !isUnblockingSuppressed) workersWithMoreFree.add(worker);
  }

  function onQuarantineChanged(worker: allocationState.WorkerState): void {
    onFreeChanged(worker, isUsable(worker));
  }

  function allocate(task: placer.RunningTask, expectedEndAt: number): void {
    const allocation = allocations.allocate(task, expectedEndAt);
    replicas.adjust(allocation, 1);
    domainQuarantine.onTaskAllocated(allocation.worker);
  }

  /**
   * Runs an action whose freed resources must not unblock waiting jobs: it
   * rolls back a partly placed gang, or suspends or resumes a reservation.
   */
  function withoutUnblocking(action: () => void): void {
    isUnblockingSuppressed = true;
    action();
    isUnblockingSuppressed = false;
  }

  function rollBack(placements: readonly placer.Placement[]): void {
    withoutUnblocking(() =>
      placements.forEach((each) => deallocate(each.taskId)),
    );
  }

  function deallocate(
    taskId: types.ids.TaskId,
  ): allocationState.TaskAllocation | undefined {
    const task = allocations.deallocate(taskId);
    if (task !== undefined) replicas.adjust(task, -1);
    return task;
  }

  function removeJob(jobId: types.ids.JobId): void {
    failures.removeJob(jobId);
    const job = waiting.get(jobId);
    if (job === undefined) return;
    reservationTable.end(job);
    waiting.removeJob(job);
  }

  function recordFailure(
    task: allocationState.TaskAllocation,
    message: string,
  ): void {
    const {jobId, index: taskIndex} = types.ids.splitTaskId(task.taskId);
    const {worker} = task;
    const reason = failures.recordFailure(jobId, taskIndex, worker.id, message);
    const avoided = failures.workersToAvoid(jobId)?.size ?? 0;
    if (avoided < SUSPECT_JOB_WORKERS) {
      domainQuarantine.recordFailure(worker, jobId, lastNow);
    }
    if (reason === undefined) {
      // The job now avoids a worker, so it gets a group of its own: if it finds
      // no worker, it must not block jobs that may use any worker.
      const job = waiting.get(jobId);
      if (job !== undefined) waiting.requeue(job, true);
      return;
    }
    removeJob(jobId);
    abandonedJobs.set(jobId, reason);
  }

  function recordEnd(
    task: allocationState.TaskAllocation,
    report: placer.AttemptReport,
  ): void {
    const {jobId, index: taskIndex} = types.ids.splitTaskId(task.taskId);
    switch (report.type) {
      case 'done':
        learner.recordRunTime(task.spec, report.ranMs);
        failures.recordSuccess(jobId, taskIndex);
        domainQuarantine.recordSuccess(task.worker);
        return;
      case 'failed':
        recordFailure(task, report.message);
        return;
      case 'not_started':
        domainQuarantine.recordFailure(task.worker, jobId, lastNow);
        return;
      case 'stopped':
        return;
    }
  }

  return {
    setTeam(team) {
      allocations.teams.setTeam(team);
      waiting.queue.unblockTeam(allocations.teams.team(team.id));
    },
    setWorker: (worker) => void allocations.setWorker(worker),
    cordonWorker(workerId) {
      const worker = allocations.workers.get(workerId);
      if (worker === undefined) return;
      allocations.setSchedulable(worker, false);
      reservationTable.removeWorker(worker);
    },
    removeWorker(workerId) {
      const worker = allocations.removeWorker(workerId);
      if (worker === undefined) return;
      reservationTable.removeWorker(worker);
      domainQuarantine.removeWorker(worker);
      domainPreemptor.removeWorker(worker);
      workersWithMoreFree.delete(worker);
      index.remove(worker);
    },
    admit(spec, now) {
      lastNow = Math.max(lastNow, now);
      const admissionState = {
        allocations,
        demand: waiting.demand,
        maxWaitingJobs,
        waitingJobs: waiting.jobCount(),
        teamWaitingJobs: allocations.teams.team(spec.team).waitingJobs,
        waitingCoreMs: waiting.coreMs(),
        estimate: sizes.estimate(spec),
      };
      return admission.admit(admissionState, spec, now);
    },
    enqueue(job) {
      // The holder may not have read yet that the policy abandoned this job.
      if (!abandonedJobs.has(job.jobId)) waiting.enqueue(job, lastNow);
    },
    cancel: removeJob,
    adopt(task) {
      const {jobId, index: taskIndex} = types.ids.splitTaskId(task.taskId);
      waiting.removeTask(jobId, taskIndex);
      deallocate(task.taskId);
      allocate(task, lastNow + sizes.estimate(task.spec).typicalMs);
    },
    release(taskId, report) {
      const task = deallocate(taskId);
      if (task === undefined) return;
      domainPreemptor.onWorkerChanged(task.worker);
      waiting.queue.unblockTeam(allocations.teams.team(task.spec.team));
      recordEnd(task, report);
    },
    reportUsage(taskId, used) {
      const task = allocations.taskAllocations.get(taskId);
      if (task === undefined) return;
      allocations.updateUsage(task, used);
      domainPreemptor.onWorkerChanged(task.worker);
      if (!isPowerOfTwo(task.usageReports) || isCpuContended(task)) return;
      learner.recordUsage(task.spec, used);
    },
    decide(now, limit) {
      lastNow = Math.max(lastNow, now);
      domainQuarantine.tick(now);
      waiting.promoteDue(now);
      const checkpoints = reservationTable.tick(now, () =>
        waiting.queue.blockedHeads(),
      );
      waiting.queue.unblock(workersWithMoreFree, now);
      workersWithMoreFree.clear();
      const placements = schedulingCycle.runCycle(cycleContext, now, limit);
      const due = waiting.queue.blockedDue();
      return {
        placements,
        preemptions: [...checkpoints, ...domainPreemptor.decide(now, due)],
      };
    },
    waitingTasks: () => waiting.taskCount(),
    explainWait(jobId) {
      const job = waiting.get(jobId);
      if (job === undefined) return '';
      const avoided = failures.workersToAvoid(jobId);
      return explainWait.explainWait(job, reservationTable.of(job), avoided);
    },
    takeAbandonedJobs() {
      const jobs = [...abandonedJobs].map(([jobId, message]) => ({
        jobId,
        message,
      }));
      abandonedJobs = new Map();
      return jobs;
    },
  };
}

/**
 * On a worker whose CPU is fully used, a task uses less than it needs. Learning
 * from such reports would shrink the estimates and overload workers further.
 */
function isCpuContended(task: allocationState.TaskAllocation): boolean {
  const {usedCpuMillis, capacity} = task.worker;
  return (
    task.cpuMillisBeforeThrottle > 0 ||
    usedCpuMillis >= capacity.cpuMillis * CPU_CONTENTION_SHARE
  );
}

/**
 * Only the reports 1, 2, 4, 8 and so on of a task are learned from, so that
 * long tasks, which report often, don't outweigh short ones.
 */
function isPowerOfTwo(count: number): boolean {
  return (count & (count - 1)) === 0;
}
