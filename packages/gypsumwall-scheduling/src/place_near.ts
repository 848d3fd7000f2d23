/**
 * Places the tasks of a step that runs slower in some places than in others:
 * near its data or in one rack first, and far only where a wait for the near
 * place isn't expected to pay.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import type * as nearChoice from './near_choice.js';
import * as nearPlace from './near_place.js';
import type * as nearStarts from './near_starts.js';
import * as nearWorkers from './near_workers.js';
import * as placeTasks from './place_tasks.js';
import type * as placements from './placements.js';
import * as quotaGate from './quota_gate.js';
import * as waitForPlace from './wait_for_place.js';
import type * as workerRegistry from './worker_registry.js';

/**
 * A decision holds for this long, in milliseconds: a forecast looks at all that
 * runs in a rack, and its inputs change slowly compared with the cycles.
 */
const RECHECK_INTERVAL_MS = 100;

type Workers = readonly workerRegistry.RegisteredWorker[];

/**
 * Whether a step chooses between near and far places. Suspected tasks start
 * where their next crash tells most.
 */
export function choosesPlace(
  {request, crashes}: activeJob.StepRun,
  {nearChoice}: chooseWorker.ChoiceContext,
): boolean {
  if (nearChoice === undefined || request.longRunning) return false;
  return crashes.size === 0 && nearPlace.hasNearPlace(request);
}

/** Whether the decision of a step that waits must be made again. */
export function isRecheckDue(
  {nearWait}: activeJob.StepRun,
  now: types.clock.MonotonicMs,
): boolean {
  if (nearWait === undefined || nearWait.tasks === 0) return false;
  return now >= nearWait.recheckAt;
}

/** Places the tasks that start now; the candidates have free capacity. */
export function placeNear(
  stepRun: activeJob.StepRun,
  candidates: Workers,
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const near = candidates.filter(
    (worker) =>
      !nearPlace.isFarFromData(stepRun.request, worker) &&
      chooseWorker.isTrusted(stepRun, worker, context),
  );
  return stepRun.request.gang
    ? placeGang(stepRun, candidates, near, context)
    : placeEach(stepRun, candidates, near, context);
}

function placeEach(
  stepRun: activeJob.StepRun,
  candidates: Workers,
  near: Workers,
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const {maxTasks = Infinity} = context;
  const placed = placeRecordedFirst(stepRun, near, context, maxTasks);
  const left = maxTasks - placed.length;
  if (stepRun.waitingIndexes.length === 0 || left <= 0) return placed;
  if (quotaGate.startableTasks(stepRun, context.registry.quotas) < 1)
    return placed;
  // The near workers have no room left, so the next task would start far.
  const next = chooseWorker.chooseWorker(stepRun, candidates, context);
  if (next === undefined) return placed;
  const waiting = countWaiting(stepRun, [next], context);
  const startable = Math.min(left, stepRun.waitingIndexes.length - waiting);
  if (startable <= 0) return placed;
  const far = placeRecordedFirst(stepRun, candidates, context, startable);
  return [...placed, ...far];
}

/** Tasks start on recorded workers without waiting for the store. */
function placeRecordedFirst(
  stepRun: activeJob.StepRun,
  candidates: Workers,
  context: chooseWorker.ChoiceContext,
  maxTasks: number,
): placements.Placement[] {
  const recorded = recordedOf(stepRun, candidates, context);
  const first = placeTasks.placeTasks(stepRun, recorded, {
    ...context,
    maxTasks,
  });
  const rest = placeTasks.placeTasks(stepRun, candidates, {
    ...context,
    maxTasks: maxTasks - first.length,
  });
  return [...first, ...rest];
}

function recordedOf(
  stepRun: activeJob.StepRun,
  candidates: Workers,
  context: chooseWorker.ChoiceContext,
): Workers {
  return candidates.filter(
    (worker) =>
      placeTasks.isRecorded(stepRun, worker) &&
      chooseWorker.isTrusted(stepRun, worker, context),
  );
}

function placeGang(
  stepRun: activeJob.StepRun,
  candidates: Workers,
  near: Workers,
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const {waitingIndexes} = stepRun;
  const count = waitingIndexes.length;
  const recorded = recordedOf(stepRun, near, context);
  let workers =
    placeTasks.chooseNearGangWorkers(stepRun, recorded, context, count) ??
    placeTasks.chooseNearGangWorkers(stepRun, near, context, count);
  if (workers === undefined) {
    const far = recordedOf(stepRun, candidates, context);
    workers =
      placeTasks.chooseGangWorkers(stepRun, far, context, count) ??
      placeTasks.chooseGangWorkers(stepRun, candidates, context, count);
    if (workers === undefined) return [];
    if (countWaiting(stepRun, workers, context) > 0) return [];
  }
  stepRun.waitingIndexes = [];
  return placeTasks.reserveGang(stepRun, waitingIndexes, workers, context);
}

/**
 * Returns how many of the queued tasks wait for a near place: all or none of a
 * gang. `far` are the workers on which they could start now.
 */
function countWaiting(
  stepRun: activeJob.StepRun,
  far: Workers,
  context: chooseWorker.ChoiceContext,
): number {
  const choice = context.nearChoice!;
  const {now} = context;
  const {nearWait, waitingIndexes} = stepRun;
  if (nearWait !== undefined && now < nearWait.recheckAt)
    return Math.min(nearWait.tasks, waitingIndexes.length);
  const {wait, reason, forecast} = decideWait(stepRun, far, choice, context);
  stepRun.nearWait = wait;
  if (wait.tasks > 0) choice.starts.onWaits(stepRun, forecast, now);
  else choice.starts.onStartsFar(stepRun, reason ?? 'no_gain', now);
  return wait.tasks;
}

/** Decides for each queued task, or the whole gang, whether it waits. */
function decideWait(
  stepRun: activeJob.StepRun,
  far: Workers,
  choice: nearChoice.NearChoice,
  context: chooseWorker.ChoiceContext,
): {
  readonly wait: waitForPlace.NearWait;
  readonly forecast: nearStarts.WaitForecast;
  /** Why the first task that doesn't wait starts far. */
  readonly reason?: waitForPlace.FarReason;
} {
  const {now} = context;
  const {request, waitingIndexes, nearWait} = stepRun;
  const nearRunMs = request.expectedMs;
  const farRunMs = (nearRunMs * choice.farFactor) / slowestOf(far, context);
  const isContended = choice.forecast.isContended(stepRun);
  const runTimes = {nearRunMs, farRunMs, isContended};
  const waitEndsAt = nearWait?.endsAt ?? waitForPlace.waitLimit(now, runTimes);
  const times = {...runTimes, now, waitEndsAt};
  const tasks = waitingIndexes.length;
  const until = waitForPlace.latestUsefulStart(times);
  const question = {stepRun, tasks, until};
  const near = nearWorkers.bestRack(question, choice.forecast, context);
  const dueAt = stepDueAt(stepRun);
  const decided = decideInOrder(request.gang ? 1 : tasks, (nth) => {
    const run = near.runs[nth];
    if (run === undefined)
      return choice.decidePlace({...times, dueAt, nearStartsAt: undefined});
    const {startsAt, endsAt} = run;
    const runMs = endsAt - startsAt;
    const options = {...times, dueAt, nearRunMs: runMs, nearStartsAt: startsAt};
    return choice.decidePlace(options);
  });
  const {count, reason, recheckBy = waitEndsAt} = decided;
  const recheckAt = types.clock.after(now, RECHECK_INTERVAL_MS);
  return {
    wait: {
      endsAt: waitEndsAt,
      tasks: request.gang ? tasks * count : count,
      rack: count > 0 ? near.rack : undefined,
      recheckAt: count > 0 && recheckBy < recheckAt ? recheckBy : recheckAt,
      since: nearWait?.since,
      savedMs: farRunMs - nearRunMs,
    },
    forecast: {
      rack: near.rack,
      farEndsAt: types.clock.after(now, farRunMs),
      nearEndsAt: near.runs[count - 1]?.endsAt,
      until: recheckBy,
    },
    reason,
  };
}

/** A gang runs at the pace of its slowest worker. */
function slowestOf(
  workers: Workers,
  {speeds}: chooseWorker.ChoiceContext,
): number {
  return types.lists.minOf(
    workers.map(({info}) => speeds?.speedOf(info.id) ?? 1),
  );
}

/**
 * Returns how many of the tasks wait: near places are counted in the order in
 * which they become free, so that those after the first that doesn't wait don't
 * either.
 */
function decideInOrder(
  tasks: number,
  decideNth: (nth: number) => waitForPlace.PlaceDecision,
): {
  readonly count: number;
  readonly reason?: waitForPlace.FarReason;
  readonly recheckBy?: types.clock.MonotonicMs;
} {
  let recheckBy: types.clock.MonotonicMs | undefined;
  for (let count = 0; count < tasks; count++) {
    const decision = decideNth(count);
    if (decision.type === 'start_far')
      return {count, reason: decision.reason, recheckBy};
    recheckBy = decision.until;
  }
  return {count: tasks, recheckBy};
}

/** Latest end of a step with which its job meets its objective. */
function stepDueAt(stepRun: activeJob.StepRun): types.clock.MonotonicMs {
  const claimant = stepRun.rank?.claimant ?? activeJob.claimantOf(stepRun);
  const laterMs = claimant.remainingMs - stepRun.request.expectedMs;
  return types.clock.after(claimant.dueAt, -laterMs);
}
