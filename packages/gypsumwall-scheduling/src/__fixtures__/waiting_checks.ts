/** Checks on the work of an unreliable world once nothing more happens. */
import * as assert from 'node:assert/strict';
import * as types from '@gypsumwall/types';
import type * as activeJob from '../active_job.js';
import * as activeJobs from '../active_job.js';
import * as failureCause from './failure_cause.js';
import * as gangReservation from '../gang_reservation.js';
import * as jobOrder from '../job_order.js';
import * as quotaGate from '../quota_gate.js';
import * as workerHealth from '../worker_health.js';
import * as workerRegistry from '../worker_registry.js';
import type * as worlds from './unreliable_world.js';

function stepsOf(world: worlds.UnreliableWorld): activeJob.StepRun[] {
  const stepRuns: activeJob.StepRun[] = [];
  for (const job of world.scheduler.jobs.values()) {
    assert.equal(
      job.isAwaitingReconciliation,
      false,
      `${job.id} awaits reconciliation`,
    );
    for (const {steps} of job.openOccurrences.values()) stepRuns.push(...steps);
  }
  return stepRuns;
}

/**
 * Checks that each task of an open step is queued, runs or is done, and that
 * the members of a gang are either all queued or all running.
 */
function checkTasks(stepRun: activeJob.StepRun): void {
  const {
    id,
    request,
    state,
    waitingIndexes,
    attempts,
    doneIndexes: done,
  } = stepRun;
  if (state !== 'open') return;
  const {gang, taskCount} = request;
  for (const attempt of attempts) {
    assert.equal(attempt.phase, 'running', `an attempt of ${id}`);
    assert.notEqual(attempt.confirmedAt, undefined);
  }
  assert.equal(new Set(waitingIndexes).size, waitingIndexes.length);
  if (gang) {
    const found = `${attempts.size} run and ${waitingIndexes.length} are queued`;
    assert.equal(
      attempts.size + waitingIndexes.length,
      taskCount,
      `${id}: ${found}`,
    );
    assert.ok(
      attempts.size === 0 || waitingIndexes.length === 0,
      `${id}: ${found}`,
    );
    const attemptNumbers = new Set(
      [...attempts].map((attempt) => attempt.number),
    );
    assert.ok(
      attemptNumbers.size <= 1,
      `${id}: attempts ${[...attemptNumbers].join()}`,
    );
    return;
  }
  const running = new Set([...attempts].map((attempt) => attempt.task!.index));
  for (let index = 0; index < taskCount; index++) {
    const isAccountedFor =
      done.has(index) || running.has(index) || waitingIndexes.includes(index);
    assert.ok(
      isAccountedFor,
      `${id}.${index} is neither queued nor running nor done`,
    );
  }
}

/** Checks that the free capacity known to the scheduler is the actual one. */
function checkWorkers(world: worlds.UnreliableWorld): void {
  for (const worker of world.workers) {
    const known = world.scheduler.workerRegistry.workers.get(worker.id);
    if (known === undefined) continue;
    const used = world.usedResources(worker);
    const free = types.resources.subtract(worker.info.capacity, used);
    assert.deepEqual(known.free, free, worker.id);
    assert.ok(types.resources.fits(types.resources.NO_RESOURCES, free));
  }
}

/**
 * Whether the next task of a step, or its whole gang, fits on these workers.
 */
function fitsOn(
  stepRun: activeJob.StepRun,
  workers: readonly workerRegistry.RegisteredWorker[],
): boolean {
  const {gang, taskCount, size, usesSpareCpu, maxPerWorker} = stepRun.request;
  const needed = usesSpareCpu ? {...size, cpuMillis: 0} : size;
  let found = 0;
  for (const {info, free} of workers) {
    let here = 0;
    for (const attempt of stepRun.attempts)
      if (attempt.workerId === info.id) here++;
    let left = free;
    while (types.resources.fits(needed, left) && found < taskCount) {
      if (here++ >= (maxPerWorker ?? Infinity)) break;
      left = types.resources.subtract(left, needed);
      found++;
    }
  }
  return found >= (gang ? taskCount : 1);
}

function isAvailableTo(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.RegisteredWorker,
): boolean {
  const {info} = worker;
  const {request, job, advice} = stepRun;
  if (!workerRegistry.acceptsTasks(worker)) return false;
  if (info.pool !== job.policy.pool) return false;
  const label = request.requiredLabel;
  if (label !== undefined && !info.labels.includes(label)) return false;
  if (job.policy.advice === undefined) return true;
  // Other workers are named to the adviser, which approves them.
  return !advice.refused.has(info.id);
}

/**
 * Checks that no step waits while there is capacity that is not reserved for
 * another.
 */
function checkWaiting(world: worlds.UnreliableWorld): void {
  const {workerRegistry: registry} = world.scheduler;
  const health = workerHealth.createWorkerHealth(() => registry.workers.size);
  const reservation = gangReservation.createGangReservation({
    registry,
    health,
    now: world.now,
  });
  const waiting = stepsOf(world).filter((one) => one.waitingIndexes.length > 0);
  assert.equal(world.scheduler.counts().waitingSteps, waiting.length);
  const gate = quotaGate.createQuotaGate(registry.quotas);
  waiting.sort((a, b) =>
    jobOrder.compare(
      activeJobs.claimantOf(a),
      activeJobs.claimantOf(b),
      world.now,
    ),
  );
  for (const stepRun of waiting) {
    if (gate.check(stepRun) !== 'open') continue;
    const open = [...registry.workers.values()].filter(
      (worker) =>
        !reservation.isReserved(worker.info.id) &&
        isAvailableTo(stepRun, worker),
    );
    assert.equal(fitsOn(stepRun, open), false, `${stepRun.id} has capacity`);
    if (stepRun.request.gang) reservation.reserveFor(stepRun);
  }
}

/** Checks that no task runs twice, except for copies. */
export function checkCopies(world: worlds.UnreliableWorld): void {
  const seen = new Set<string>();
  for (const worker of world.workers) {
    for (const {taskId} of worker.attempts.values()) {
      const [jobId, , step] = taskId.split('.');
      const job = world.jobs.find((one) => one.id === jobId)!;
      if (job.request.steps[Number(step)]!.speculative) continue;
      assert.ok(!seen.has(taskId), `${taskId} runs twice`);
      seen.add(taskId);
    }
  }
}

/** Checks that each failed job had a task that failed or crashed workers. */
export function checkFailedJobs(world: worlds.UnreliableWorld): void {
  for (const job of world.failedJobs)
    failureCause.assertFailureCause(job, world);
}

/** Waits until nothing more starts, and checks that all that could did. */
export function settleAndCheck(world: worlds.UnreliableWorld): void {
  world.settle();
  for (const stepRun of stepsOf(world)) checkTasks(stepRun);
  checkWorkers(world);
  checkWaiting(world);
  // Has every waiting step tried, whatever has changed.
  world.scheduler.updatePolicies(() => undefined);
  assert.equal(world.decide(), 0, 'a step was not tried');
}
