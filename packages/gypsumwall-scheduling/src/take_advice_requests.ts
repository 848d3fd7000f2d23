/**
 * Chooses the waiting steps that the adviser is asked about now. Calls to the
 * adviser are limited: calls whose answer lets a task start go first, the most
 * urgent ones first. A step without free capacity cannot use an answer yet, and
 * its tickets would expire before capacity is free; it asks ahead only while
 * calls are to spare.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as planAdviceCalls from './plan_advice_calls.js';
import * as adviserPool from './adviser_pool.js';
import * as stepNeeds from './step_needs.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as stepAdvice from './step_advice.js';
import type * as waitingOrder from './waiting_order.js';
import * as workerRegistry from './worker_registry.js';

/** Minimum interval between two checks of one step; milliseconds. */
const RECHECK_INTERVAL_MS = 80;
/** Checking a step iterates over all workers, so a cycle checks only a few. */
const MAX_CONSIDERED_STEPS = 20;

interface PlannedCall {
  readonly stepRun: activeJob.StepRun;
  readonly named: types.ids.WorkerId[];
}

/**
 * Returns the calls to make for the given waiting steps, which are sorted by
 * urgency.
 */
export function takeAdviceRequests(
  steps: readonly activeJob.StepRun[],
  capacity: adviserPool.AdviceCapacity,
  context: planAdviceCalls.AdviceContext,
  onFault?: waitingOrder.FaultHandler,
): schedulerTypes.AdviceRequest[] {
  const {now} = context;
  const requests: schedulerTypes.AdviceRequest[] = [];
  const withoutCapacity: activeJob.StepRun[] = [];
  const deferrable: PlannedCall[] = [];
  let withCapacity: workerRegistry.RegisteredWorker[] | undefined;
  let {needed, large, spare} = capacity;
  let consideredSteps = 0;

  function addRequest({stepRun, named}: PlannedCall, isNeeded: boolean): void {
    const callMs = callMsOf(stepRun, named);
    const isLarge = adviserPool.isLarge(callMs);
    if ((isNeeded ? needed : spare) <= 0 || (isLarge && large <= 0)) return;
    if (isNeeded) needed--;
    else spare--;
    if (isLarge) large--;
    stepAdvice.recordCall(stepRun.advice, named);
    requests.push({stepRun, workers: named, callMs, needed: isNeeded});
  }

  function considerStep(stepRun: activeJob.StepRun): void {
    consideredSteps++;
    const calls = planAdviceCalls.planAdviceCalls(stepRun, context);
    calls.workersByCall.forEach((named, nth) => {
      const isNeeded = calls.needed && nth === 0;
      if (isNeeded) addRequest({stepRun, named}, true);
      else deferrable.push({stepRun, named});
    });
  }

  function guard(stepRun: activeJob.StepRun, consider: () => void): void {
    try {
      consider();
    } catch (thrown) {
      if (onFault === undefined) throw thrown;
      onFault(stepRun.job, thrown);
    }
  }

  function findCapacity(stepRun: activeJob.StepRun): void {
    stepRun.advice.nextCheckAt = types.clock.after(now, RECHECK_INTERVAL_MS);
    withCapacity ??= workersWithCapacity(context);
    if (hasCapacity(stepRun, withCapacity, context)) considerStep(stepRun);
    else withoutCapacity.push(stepRun);
  }

  for (const stepRun of steps) {
    if (needed <= 0 || consideredSteps >= MAX_CONSIDERED_STEPS) break;
    if (isDue(stepRun, large, now)) guard(stepRun, () => findCapacity(stepRun));
  }
  for (const stepRun of withoutCapacity) {
    if (spare <= 0 || consideredSteps >= MAX_CONSIDERED_STEPS) break;
    guard(stepRun, () => considerStep(stepRun));
  }
  for (const call of deferrable) addRequest(call, false);
  return requests;
}

function isDue(
  {advice, job}: activeJob.StepRun,
  large: number,
  now: types.clock.MonotonicMs,
): boolean {
  const policy = job.policy.advice;
  if (policy === undefined || now < advice.nextCheckAt) return false;
  const minCallMs =
    policy.callMs + policy.perWorkerMs * planAdviceCalls.MIN_NAMED_WORKERS;
  return large > 0 || !adviserPool.isLarge(minCallMs);
}

function callMsOf(
  {job}: activeJob.StepRun,
  named: readonly types.ids.WorkerId[],
): number {
  const policy = job.policy.advice!;
  return policy.callMs + policy.perWorkerMs * named.length;
}

function workersWithCapacity({
  registry,
}: planAdviceCalls.AdviceContext): workerRegistry.RegisteredWorker[] {
  const withCapacity: workerRegistry.RegisteredWorker[] = [];
  for (const worker of registry.workers.values()) {
    const {free} = worker;
    if (!workerRegistry.acceptsTasks(worker)) continue;
    if (free.cpuMillis >= 0 && free.memoryMb > 0) withCapacity.push(worker);
  }
  return withCapacity;
}

/**
 * Whether a task, or the whole gang, fits on workers that the adviser may
 * approve.
 */
function hasCapacity(
  stepRun: activeJob.StepRun,
  withCapacity: readonly workerRegistry.RegisteredWorker[],
  {canUse}: planAdviceCalls.AdviceContext,
): boolean {
  const {advice, request, waitingIndexes} = stepRun;
  const size = stepNeeds.reservedSize(stepRun);
  let missing = request.gang ? waitingIndexes.length : 1;
  for (const worker of withCapacity) {
    const {id} = worker.info;
    if (!types.resources.fits(size, worker.free)) continue;
    if (advice.refused.has(id) || !canUse(stepRun, id)) continue;
    if (!stepNeeds.isEligible(stepRun, worker)) continue;
    const left = stepNeeds.remainingSlots(stepRun, worker);
    const fitting = types.resources.tasksThatFit(size, worker.free);
    missing -= Math.max(0, Math.min(fitting, left));
    if (missing <= 0) return true;
  }
  return false;
}
