/**
 * Chooses the workers that the adviser is asked about. A call takes a bounded
 * number of names and a while for each, so the names are those on which the
 * step could start soonest, and what doesn't fit into one quick call is split
 * over several that run side by side.
 *
 * Pattern: many more workers than one call may name, and wide gangs. Naming
 * workers in the order of the books sent every step to the same hundred while
 * the others stood idle: of 246 workers under 88% load, 0.62 of the wide gangs
 * ended on time (one seed); with names by room 0.91 did, and with calls side by
 * side and renewed tickets all (five seeds; virtual cell, no failing tasks).
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as gangFit from './gang_fit.js';
import type * as jobRequest from './job_request.js';
import * as stepAdvice from './step_advice.js';
import type * as workerRegistry from './worker_registry.js';

/** The adviser takes no more names than this in one call. */
const MAX_NAMED_WORKERS = 100;
/**
 * The fewest names of a call, if there are as many workers: the objective of a
 * job counts the time of a call with this many, so fewer gain nothing.
 */
export const MIN_NAMED_WORKERS = 30;
/** Calls on one step that are open at once. */
const MAX_OPEN_CALLS = 3;
/** Names of a call from which on another one beside it is quicker. */
const MAX_UNSPLIT_NAMES = 40;
/** The strictest adviser known approves 35% of the workers. */
const APPROVED_SHARE = 0.33;
/** Room that is free now may be taken when the answer comes. */
const SPARE_FACTOR = 2;

/** The calls of a step. */
export interface AdviceCalls {
  /** The names of each call to be made now, most useful first; often none. */
  readonly workersByCall: types.ids.WorkerId[][];
  /**
   * Whether nothing of the step can start on the tickets it has, while there is
   * room on workers that may be approved.
   */
  readonly needed: boolean;
}

const NO_CALLS: AdviceCalls = {workersByCall: [], needed: false};

/** What the names are chosen by. */
export interface AdviceContext {
  readonly registry: workerRegistry.WorkerRegistry;
  readonly now: types.clock.MonotonicMs;
  /** Whether the step could start on a worker, approval and room aside. */
  readonly canUse: (
    stepRun: activeJob.StepRun,
    worker: types.ids.WorkerId,
  ) => boolean;
}

/** The calls to be made now for a step that waits. */
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
  let ready = 0;
  let all = 0;
  for (const {id, tasks} of candidates) {
    all += tasks;
    if (stepAdvice.ticketFor(advice, id, now) !== undefined) ready += tasks;
  }
  return ready < minTasks && all >= minTasks;
}

/**
 * Those worth asking about, best first, and no more than the step needs room.
 * Approvals that still hold when an answer could come aren't asked for again;
 * those that end before are renewed, so that a gang which waits for room has
 * tickets without a gap.
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
  const wanted = stepRun.waiting.length * SPARE_FACTOR;
  const candidates: Candidate[] = [];
  let covered = 0;
  for (const candidate of allCandidates) {
    const approval = approvals.get(candidate.id);
    if (pendingWorkers.has(candidate.id))
      covered += candidate.tasks * APPROVED_SHARE;
    else if (approval === undefined) candidates.push(candidate);
    else if (approval.validUntil >= freshUntil) covered += candidate.tasks;
    else candidates.push({...candidate, isApproved: true});
  }
  candidates.sort(compareCandidates);
  const names: types.ids.WorkerId[] = [];
  for (const candidate of candidates) {
    if (covered >= wanted && !isBelowMinimum(names, stepRun)) break;
    if (names.length >= MAX_NAMED_WORKERS * MAX_OPEN_CALLS) break;
    names.push(candidate.id);
    covered += candidate.tasks * (candidate.isApproved ? 1 : APPROVED_SHARE);
  }
  return names;
}

/** Whether a first call would name fewer workers than come at no cost. */
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
  /** Tasks of the step that have room now. */
  readonly tasks: number;
  /** Free processors, in thousandths of a core. */
  readonly freeCpuMillis: number;
}

function findCandidates(
  stepRun: activeJob.StepRun,
  {registry, canUse}: AdviceContext,
): Candidate[] {
  const size = chooseWorker.reservedSize(stepRun);
  const candidates: Candidate[] = [];
  for (const worker of registry.workers.values()) {
    const {id} = worker.info;
    if (!worker.usable || worker.info.draining) continue;
    // A refusal doesn't change.
    if (stepRun.advice.refused.has(id)) continue;
    if (!chooseWorker.isEligible(stepRun, worker)) continue;
    const fitting = Math.min(
      gangFit.tasksThatFit(size, worker.free),
      chooseWorker.remainingSlots(stepRun, worker),
      stepRun.waiting.length,
    );
    const tasks = canUse(stepRun, id) ? Math.max(0, fitting) : 0;
    candidates.push({
      id,
      isApproved: false,
      tasks,
      freeCpuMillis: worker.free.cpuMillis,
    });
  }
  return candidates;
}

function compareCandidates(a: Candidate, b: Candidate): number {
  return (
    Number(b.isApproved) - Number(a.isApproved) ||
    b.tasks - a.tasks ||
    b.freeCpuMillis - a.freeCpuMillis
  );
}
