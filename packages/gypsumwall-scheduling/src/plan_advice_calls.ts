/**
 * Plans the calls to the adviser for one step. A call may name a limited number
 * of workers and takes longer with each, so it names the workers on which the
 * step could start soonest, and names that do not fit into one quick call are
 * split over several concurrent calls.
 *
 * Pattern: many more workers than one call may name, and wide gangs. Naming
 * workers in the order of the registry directs every step to the same hundred
 * workers while the others are idle.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as nearPlace from './near_place.js';
import * as rackOrder from './rack_order.js';
import * as stepNeeds from './step_needs.js';
import type * as jobRequest from './job_request.js';
import * as speedFit from './speed_fit.js';
import * as stepAdvice from './step_advice.js';
import * as workerRegistry from './worker_registry.js';
import type * as workerSpeeds from './worker_speeds.js';

/** Maximum number of workers that the adviser accepts in one call. */
const MAX_NAMED_WORKERS = 100;
/**
 * Minimum number of workers named in a call, if there are as many: the
 * objective of a job includes the time of a call with this many, so fewer gain
 * nothing.
 */
export const MIN_NAMED_WORKERS = 30;
/** Maximum number of open calls for one step. */
const MAX_OPEN_CALLS = 3;
/** Number of names above which a second concurrent call is quicker. */
const MAX_UNSPLIT_NAMES = 40;
/**
 * Expected share of approvals; the strictest known adviser approves 35% of the
 * workers.
 */
export const APPROVED_SHARE = 0.33;
/**
 * Names cover this multiple of the needed capacity: capacity that is free now
 * may be used when the answer arrives.
 */
const SPARE_FACTOR = 2;

/** The planned calls for a step. */
export interface AdviceCalls {
  /** Workers named in each call to make now, most useful first; often none. */
  readonly workersByCall: types.ids.WorkerId[][];
  /**
   * Whether no task of the step can start with its current tickets although
   * there is free capacity on workers that may be approved.
   */
  readonly needed: boolean;
}

const NO_CALLS: AdviceCalls = {workersByCall: [], needed: false};

/** Input of the planning. */
export interface AdviceContext {
  readonly registry: workerRegistry.WorkerRegistry;
  readonly now: types.clock.MonotonicMs;
  /** How fast the workers are; equally fast if absent. */
  readonly speeds?: workerSpeeds.WorkerSpeeds;
  /**
   * Whether health, isolation and reservations allow the step to use a worker.
   * Pool, label, approval and free capacity are checked separately.
   */
  readonly canUse: (
    stepRun: activeJob.StepRun,
    worker: types.ids.WorkerId,
  ) => boolean;
}

/** Plans the calls to make now for a waiting step. */
export function planAdviceCalls(
  stepRun: activeJob.StepRun,
  context: AdviceContext,
): AdviceCalls {
  const policy = stepRun.job.policy.advice;
  if (policy === undefined) return NO_CALLS;
  const callsLeft = MAX_OPEN_CALLS - stepRun.advice.openCalls;
  if (callsLeft <= 0) return NO_CALLS;
  const candidates = findCandidates(stepRun, context);
  const names = chooseNames(stepRun, policy, candidates, context.now);
  if (names.length === 0) return NO_CALLS;
  const calls = Math.min(
    callsLeft,
    Math.ceil(names.length / MAX_UNSPLIT_NAMES),
  );
  const perCall = Math.min(MAX_NAMED_WORKERS, Math.ceil(names.length / calls));
  const workersByCall: types.ids.WorkerId[][] = [];
  for (let call = 0; call < calls; call++) {
    workersByCall.push(names.slice(call * perCall, (call + 1) * perCall));
  }
  return {
    workersByCall: workersByCall.filter((one) => one.length > 0),
    needed: isNeeded(stepRun, candidates, context.now),
  };
}

function isNeeded(
  {advice, request}: activeJob.StepRun,
  candidates: readonly Candidate[],
  now: types.clock.MonotonicMs,
): boolean {
  if (advice.openCalls > 0) return false;
  const minTasks = request.gang ? request.taskCount : 1;
  let readyTasks = 0;
  let possibleTasks = 0;
  for (const {id, tasks} of candidates) {
    possibleTasks += tasks;
    if (stepAdvice.ticketFor(advice, id, now) !== undefined)
      readyTasks += tasks;
  }
  return readyTasks < minTasks && possibleTasks >= minTasks;
}

/**
 * Chooses the workers worth asking about, best first, with no more capacity
 * than the step needs. Workers whose approval is still valid when an answer
 * could arrive are left out; approvals that end before are renewed, so that a
 * gang that waits for capacity always has valid tickets.
 */
function chooseNames(
  stepRun: activeJob.StepRun,
  policy: jobRequest.AdvicePolicy,
  allCandidates: readonly Candidate[],
  now: types.clock.MonotonicMs,
): types.ids.WorkerId[] {
  const renewalMs = policy.callMs + policy.perWorkerMs * MIN_NAMED_WORKERS;
  const freshUntil = types.clock.after(now, renewalMs);
  const {approvals, pendingWorkers} = stepRun.advice;
  const wantedTasks = stepRun.waitingIndexes.length * SPARE_FACTOR;
  const candidates: Candidate[] = [];
  let coveredTasks = 0;
  for (const candidate of allCandidates) {
    const approval = approvals.get(candidate.id);
    if (pendingWorkers.has(candidate.id))
      coveredTasks += candidate.tasks * APPROVED_SHARE;
    else if (approval === undefined) candidates.push(candidate);
    else if (approval.validUntil >= freshUntil) coveredTasks += candidate.tasks;
    else candidates.push({...candidate, isApproved: true});
  }
  candidates.sort(compareCandidates);
  const isNear = nearPlace.hasNearPlace(stepRun.request);
  const ordered = isNear
    ? rackOrder.orderByRack(stepRun, candidates, allCandidates)
    : candidates;
  const names: types.ids.WorkerId[] = [];
  for (const candidate of ordered) {
    const isCovered =
      coveredTasks >= wantedTasks && !isBelowMinimum(names, stepRun);
    // Room at the place that is waited for is of use only with an approval.
    if (isCovered && !nearPlace.isWaitedFor(stepRun, candidate.rack)) break;
    if (names.length >= MAX_NAMED_WORKERS * MAX_OPEN_CALLS) break;
    names.push(candidate.id);
    coveredTasks +=
      candidate.tasks * (candidate.isApproved ? 1 : APPROVED_SHARE);
  }
  return names;
}

/**
 * Whether this is the first call of a step and names fewer workers than the
 * objective allows for.
 */
function isBelowMinimum(
  names: readonly types.ids.WorkerId[],
  {advice}: activeJob.StepRun,
): boolean {
  const isFirstCall = advice.openCalls === 0 && advice.approvals.size === 0;
  return isFirstCall && names.length < MIN_NAMED_WORKERS;
}

interface Candidate {
  readonly id: types.ids.WorkerId;
  /** Whether the adviser has approved it before. */
  readonly isApproved: boolean;
  readonly rack: types.ids.RackId;
  /** Number of tasks of the step that fit now. */
  readonly tasks: number;
  /** Free processors, in thousandths of a core. */
  readonly freeCpuMillis: number;
  /** How badly its speed suits the step. */
  readonly speedCost: number;
}

function findCandidates(
  stepRun: activeJob.StepRun,
  {registry, now, speeds, canUse}: AdviceContext,
): Candidate[] {
  const size = stepNeeds.reservedSize(stepRun);
  const needed = speedFit.neededSpeed(stepRun, now);
  const usualSpeedCost = speedFit.speedCost(1, needed);
  const candidates: Candidate[] = [];
  for (const worker of registry.workers.values()) {
    const {id} = worker.info;
    if (!workerRegistry.acceptsTasks(worker)) continue;
    // Refusals are final.
    if (stepRun.advice.refused.has(id)) continue;
    if (!stepNeeds.isEligible(stepRun, worker)) continue;
    const fitting = Math.min(
      types.resources.tasksThatFit(size, worker.free),
      stepNeeds.remainingSlots(stepRun, worker),
      stepRun.waitingIndexes.length,
    );
    const tasks = canUse(stepRun, id) ? Math.max(0, fitting) : 0;
    const speed = tasks > 0 ? (speeds?.speedOf(id) ?? 1) : 1;
    candidates.push({
      id,
      isApproved: false,
      rack: worker.info.rack,
      tasks,
      freeCpuMillis: worker.free.cpuMillis,
      speedCost:
        speed === 1
          ? usualSpeedCost
          : speedFit.speedCost(speedFit.speedClass(speed), needed),
    });
  }
  return candidates;
}

function compareCandidates(a: Candidate, b: Candidate): number {
  return (
    Number(b.isApproved) - Number(a.isApproved) ||
    Number(b.tasks > 0) - Number(a.tasks > 0) ||
    a.speedCost - b.speedCost ||
    b.tasks - a.tasks ||
    b.freeCpuMillis - a.freeCpuMillis
  );
}
