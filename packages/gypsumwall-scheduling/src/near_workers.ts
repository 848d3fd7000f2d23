/** The workers of near places on which a step may start once there is room. */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as nearPlace from './near_place.js';
import * as planAdviceCalls from './plan_advice_calls.js';
import type * as roomForecast from './room_forecast.js';
import * as stepAdvice from './step_advice.js';
import * as stepNeeds from './step_needs.js';
import type * as workerRegistry from './worker_registry.js';

/** The near place at which a step would end first. */
export interface NearOutlook {
  readonly rack?: types.ids.RackId;
  /**
   * Expected runs there, earliest start first; a single one for a gang, which
   * starts with its last member and runs as long as its slowest one.
   */
  readonly runs: readonly roomForecast.ExpectedRun[];
}

/**
 * Returns the rack in which the step would end first: that of its data, or for
 * a gang the best of all racks that have room for all of it in time.
 */
export function bestRack(
  question: Omit<roomForecast.RoomQuestion, 'workers'>,
  forecast: roomForecast.RoomForecast,
  context: chooseWorker.ChoiceContext,
): NearOutlook {
  const {stepRun, tasks, until} = question;
  let best: NearOutlook = {runs: []};
  let bestEnd = Infinity;
  for (const [rack, workers] of possibleByRack(stepRun, until, context)) {
    const {gang} = stepRun.request;
    if (gang && maxTasks(stepRun, workers) < tasks) continue;
    const runs = forecast.runsOf({...question, workers});
    if (!gang) return {rack, runs};
    if (runs.length < tasks) continue;
    const run = gangRun(runs);
    if (run.endsAt >= bestEnd) continue;
    best = {rack, runs: [run]};
    bestEnd = run.endsAt;
  }
  return best;
}

function gangRun(
  runs: readonly roomForecast.ExpectedRun[],
): roomForecast.ExpectedRun {
  const {startsAt} = runs.at(-1)!;
  const runMs = types.lists.maxOf(runs.map((run) => run.endsAt - run.startsAt));
  return {startsAt, endsAt: types.clock.after(startsAt, runMs)};
}

/** Number of tasks that could run on the workers if they were idle. */
function maxTasks(
  stepRun: activeJob.StepRun,
  workers: readonly roomForecast.PossibleWorker[],
): number {
  const size = stepNeeds.reservedSize(stepRun);
  return workers.reduce((sum, {worker, approvedShare}) => {
    const fitting = types.resources.tasksThatFit(size, worker.info.capacity);
    const {maxPerWorker = Infinity} = stepRun.request;
    return sum + Math.min(fitting, maxPerWorker) * approvedShare;
  }, 0);
}

function possibleByRack(
  stepRun: activeJob.StepRun,
  until: types.clock.MonotonicMs,
  context: chooseWorker.ChoiceContext,
): Map<types.ids.RackId, roomForecast.PossibleWorker[]> {
  const racks = new Map<types.ids.RackId, roomForecast.PossibleWorker[]>();
  for (const worker of context.registry.workers.values()) {
    if (nearPlace.isFarFromData(stepRun.request, worker)) continue;
    const possible = possibleWorker(stepRun, worker, context);
    if (possible === undefined || possible.notBefore > until) continue;
    const {rack} = worker.info;
    const others = racks.get(rack);
    if (others === undefined) racks.set(rack, [possible]);
    else others.push(possible);
  }
  return racks;
}

/** Undefined if the worker can't run the step, whatever room it has. */
function possibleWorker(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.RegisteredWorker,
  context: chooseWorker.ChoiceContext,
): roomForecast.PossibleWorker | undefined {
  const {now, isReserved} = context;
  const {id} = worker.info;
  if (isReserved?.(id) === true) return undefined;
  if (!chooseWorker.isAvailable(stepRun, worker, context)) return undefined;
  if (!chooseWorker.isTrusted(stepRun, worker, context)) return undefined;
  const policy = stepRun.job.policy.advice;
  if (policy === undefined) return {worker, approvedShare: 1, notBefore: now};
  const {advice} = stepRun;
  if (advice.refused.has(id)) return undefined;
  if (stepAdvice.ticketFor(advice, id, now) !== undefined)
    return {worker, approvedShare: 1, notBefore: now};
  const callMs =
    policy.callMs + policy.perWorkerMs * planAdviceCalls.MIN_NAMED_WORKERS;
  const approvedShare = advice.approvals.has(id)
    ? 1
    : planAdviceCalls.APPROVED_SHARE;
  return {worker, approvedShare, notBefore: types.clock.after(now, callMs)};
}
