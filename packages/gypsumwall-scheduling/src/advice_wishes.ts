/**
 * Chooses which waiting steps the adviser is asked about now. Its calls are
 * scarce: those whose answer lets a task start go first, most urgent first.
 * A step without room has no use for an answer yet, and its tickets would end
 * before it has; it asks ahead only while calls are to spare.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as adviceNames from './advice_names.js';
import * as adviserPool from './adviser_pool.js';
import * as chooseWorker from './choose_worker.js';
import * as gangFit from './gang_fit.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as stepAdvice from './step_advice.js';
import type * as workerRegistry from './worker_registry.js';

/** Least span between two considered at one step; milliseconds. */
const RECHECK_PAUSE_MS = 80;
/** Considering a step goes over all workers: a cycle has time for a few. */
const MAX_CONSIDERED_STEPS = 20;

interface Wanted {
  readonly stepRun: activeJob.StepRun;
  readonly named: types.ids.WorkerId[];
}

/** The calls to be made for steps that wait, given most urgent first. */
export function takeWishes(
  steps: readonly activeJob.StepRun[],
  capacity: adviserPool.AdviceCapacity,
  context: adviceNames.NamesContext,
): schedulerTypes.AdviceRequest[] {
  const {now} = context;
  const wishes: schedulerTypes.AdviceRequest[] = [];
  const withoutRoom: activeJob.StepRun[] = [];
  const canWait: Wanted[] = [];
  let roomy: workerRegistry.BookedWorker[] | undefined;
  let {needed, large, spare} = capacity;
  let considered = 0;

  function take({stepRun, named}: Wanted, isNeeded: boolean): void {
    const callMs = callMsOf(stepRun, named);
    const isLarge = adviserPool.isLarge(callMs);
    if ((isNeeded ? needed : spare) <= 0 || (isLarge && large <= 0)) return;
    if (isNeeded) needed--;
    else spare--;
    if (isLarge) large--;
    stepAdvice.noteAsked(stepRun.advice, named);
    wishes.push({stepRun, workers: named, callMs, needed: isNeeded});
  }

  function consider(stepRun: activeJob.StepRun): void {
    considered++;
    const calls = adviceNames.callsFor(stepRun, context);
    calls.named.forEach((named, nth) => {
      const isNeeded = calls.needed && nth === 0;
      if (isNeeded) take({stepRun, named}, true);
      else canWait.push({stepRun, named});
    });
  }

  for (const stepRun of steps) {
    if (needed <= 0 || considered >= MAX_CONSIDERED_STEPS) break;
    if (!isDue(stepRun, large, now)) continue;
    stepRun.advice.nextLookAt = types.clock.after(now, RECHECK_PAUSE_MS);
    roomy ??= roomyWorkers(context);
    if (hasRoom(stepRun, roomy, context)) consider(stepRun);
    else withoutRoom.push(stepRun);
  }
  for (const stepRun of withoutRoom) {
    if (spare <= 0 || considered >= MAX_CONSIDERED_STEPS) break;
    consider(stepRun);
  }
  for (const wanted of canWait) take(wanted, false);
  return wishes;
}

function isDue(
  {advice, job}: activeJob.StepRun,
  large: number,
  now: types.clock.MonotonicMs,
): boolean {
  const policy = job.policy.advice;
  if (policy === undefined || now < advice.nextLookAt) return false;
  const fewestMs =
    policy.callMs + policy.perWorkerMs * adviceNames.FEWEST_NAMED;
  return large > 0 || !adviserPool.isLarge(fewestMs);
}

function callMsOf(
  {job}: activeJob.StepRun,
  named: readonly types.ids.WorkerId[],
): number {
  const policy = job.policy.advice!;
  return policy.callMs + policy.perWorkerMs * named.length;
}

function roomyWorkers({
  book,
}: adviceNames.NamesContext): workerRegistry.BookedWorker[] {
  const roomy: workerRegistry.BookedWorker[] = [];
  for (const worker of book.workers.values()) {
    const {free, info, isUsable: usable} = worker;
    if (!usable || info.draining) continue;
    if (free.cpuMillis >= 0 && free.memoryMb > 0) roomy.push(worker);
  }
  return roomy;
}

/** Whether a task, or the whole gang, fits on workers that may be approved. */
function hasRoom(
  stepRun: activeJob.StepRun,
  roomy: readonly workerRegistry.BookedWorker[],
  {mayUse}: adviceNames.NamesContext,
): boolean {
  const {advice, request, waitingIndexes: waiting} = stepRun;
  const size = chooseWorker.bookedSize(stepRun);
  let missing = request.gang ? waiting.length : 1;
  for (const worker of roomy) {
    const {id} = worker.info;
    if (!types.resources.fits(size, worker.free)) continue;
    if (advice.refused.has(id) || !mayUse(stepRun, id)) continue;
    if (!chooseWorker.mayRunOn(stepRun, worker)) continue;
    const left = chooseWorker.roomFor(stepRun, worker);
    const fitting = gangFit.tasksThatFit(size, worker.free);
    missing -= Math.max(0, Math.min(fitting, left));
    if (missing <= 0) return true;
  }
  return false;
}
