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
const MOST_NAMED = 100;
/**
 * The fewest names of a call, if there are as many workers: the objective of a
 * job counts the time of a call with this many, so fewer gain nothing.
 */
export const FEWEST_NAMED = 30;
/** Calls on one step that are open at once. */
const MOST_OPEN_CALLS = 3;
/** Names of a call from which on another one beside it is quicker. */
const SPLIT_ABOVE = 40;
/** The strictest adviser known approves 35% of the workers. */
const APPROVED_SHARE = 0.33;
/** Room that is free now may be taken when the answer comes. */
const SPARE_FACTOR = 2;

/** The calls of a step. */
export interface AdviceCalls {
  /** The names of each call to be made now, most useful first; often none. */
  readonly named: types.ids.WorkerId[][];
  /**
   * Whether nothing of the step can start on the tickets it has, while there is
   * room on workers that may be approved.
   */
  readonly needed: boolean;
}

const NO_CALLS: AdviceCalls = {named: [], needed: false};

/** What the names are chosen by. */
export interface NamesContext {
  readonly book: workerRegistry.WorkerRegistry;
  readonly now: types.clock.MonotonicMs;
  /** Whether the step could start on a worker, approval and room aside. */
  readonly mayUse: (
    stepRun: activeJob.StepRun,
    worker: types.ids.WorkerId,
  ) => boolean;
}

/** The calls to be made now for a step that waits. */
export function callsFor(
  stepRun: activeJob.StepRun,
  context: NamesContext,
): AdviceCalls {
  const policy = stepRun.job.policy.advice;
  if (policy === undefined) return NO_CALLS;
  const callsLeft = MOST_OPEN_CALLS - stepRun.advice.openCalls;
  if (callsLeft <= 0) return NO_CALLS;
  const rows = rowsOf(stepRun, context);
  const names = namesFor(stepRun, policy, rows, context.now);
  if (names.length === 0) return NO_CALLS;
  const calls = Math.min(callsLeft, Math.ceil(names.length / SPLIT_ABOVE));
  const perCall = Math.min(MOST_NAMED, Math.ceil(names.length / calls));
  const split: types.ids.WorkerId[][] = [];
  for (let call = 0; call < calls; call++) {
    split.push(names.slice(call * perCall, (call + 1) * perCall));
  }
  return {
    named: split.filter((one) => one.length > 0),
    needed: isNeeded(stepRun, rows, context.now),
  };
}

function isNeeded(
  {advice, request}: activeJob.StepRun,
  rows: readonly Row[],
  now: types.clock.MonotonicMs,
): boolean {
  if (advice.openCalls > 0) return false;
  const fewest = request.gang ? request.taskCount : 1;
  let ready = 0;
  let all = 0;
  for (const {id, tasks} of rows) {
    all += tasks;
    if (stepAdvice.ticketFor(advice, id, now) !== undefined) ready += tasks;
  }
  return ready < fewest && all >= fewest;
}

/**
 * Those worth asking about, best first, and no more than the step needs room.
 * Approvals that still hold when an answer could come aren't asked for again;
 * those that end before are renewed, so that a gang which waits for room has
 * tickets without a gap.
 */
function namesFor(
  stepRun: activeJob.StepRun,
  policy: jobRequest.AdvicePolicy,
  known: readonly Row[],
  now: types.clock.MonotonicMs,
): types.ids.WorkerId[] {
  const renewalMs = policy.callMs + policy.perWorkerMs * FEWEST_NAMED;
  const freshUntil = types.clock.after(now, renewalMs);
  const {approvals, asked} = stepRun.advice;
  const wanted = stepRun.waitingIndexes.length * SPARE_FACTOR;
  const rows: Row[] = [];
  let covered = 0;
  for (const row of known) {
    const approval = approvals.get(row.id);
    if (asked.has(row.id)) covered += row.tasks * APPROVED_SHARE;
    else if (approval === undefined) rows.push(row);
    else if (approval.validUntil >= freshUntil) covered += row.tasks;
    else rows.push({...row, approved: true});
  }
  rows.sort(compareRows);
  const names: types.ids.WorkerId[] = [];
  for (const row of rows) {
    if (covered >= wanted && !isShort(names, stepRun)) break;
    if (names.length >= MOST_NAMED * MOST_OPEN_CALLS) break;
    names.push(row.id);
    covered += row.tasks * (row.approved ? 1 : APPROVED_SHARE);
  }
  return names;
}

/** Whether a first call would name fewer workers than come at no cost. */
function isShort(
  names: readonly types.ids.WorkerId[],
  {advice}: activeJob.StepRun,
): boolean {
  const first = advice.openCalls === 0 && advice.approvals.size === 0;
  return first && names.length < FEWEST_NAMED;
}

interface Row {
  readonly id: types.ids.WorkerId;
  /** Whether the adviser has approved it before. */
  readonly approved: boolean;
  /** Tasks of the step that have room now. */
  readonly tasks: number;
  /** Free processors, in thousandths of a core. */
  readonly free: number;
}

function rowsOf(
  stepRun: activeJob.StepRun,
  {book, mayUse}: NamesContext,
): Row[] {
  const size = chooseWorker.bookedSize(stepRun);
  const rows: Row[] = [];
  for (const worker of book.workers.values()) {
    const {id} = worker.info;
    if (!worker.isUsable || worker.info.draining) continue;
    // A refusal doesn't change.
    if (stepRun.advice.refused.has(id)) continue;
    if (!chooseWorker.mayRunOn(stepRun, worker)) continue;
    const fitting = Math.min(
      gangFit.tasksThatFit(size, worker.free),
      chooseWorker.roomFor(stepRun, worker),
      stepRun.waitingIndexes.length,
    );
    const tasks = mayUse(stepRun, id) ? Math.max(0, fitting) : 0;
    rows.push({id, approved: false, tasks, free: worker.free.cpuMillis});
  }
  return rows;
}

function compareRows(a: Row, b: Row): number {
  return (
    Number(b.approved) - Number(a.approved) ||
    b.tasks - a.tasks ||
    b.free - a.free
  );
}
