/**
 * One cycle over the waiting steps in the order of work: books room for what
 * fits, says whose approval must be asked, and which jobs are about to begin.
 *
 * A step that found no room is tried again only when something of its own has
 * changed or a worker that it may use has more room. So a cycle costs what has
 * changed and not what waits: a holder that takes over a backlog tries each of
 * its steps once.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as crashRecords from './crash_records.js';
import * as gangReservation from './gang_reservation.js';
import * as placeIsolated from './place_isolated.js';
import * as placeStep from './place_step.js';
import * as placements from './placements.js';
import * as refusalBackoff from './refusal_backoff.js';

/**
 * Steps tried in one cycle at most; the others are left for the next one, so
 * that calls and timers get their turn in between.
 */
const MAX_TRIED_STEPS = 30;
/**
 * Of these, how many go to steps that had no turn for longest. Without them,
 * more urgent steps that are tried in vain at each cycle would keep all others
 * from ever being tried.
 */
const MAX_LEFT_OUT_STEPS = 10;

/** What a cycle looks at. */
export interface CycleContext extends chooseWorker.ChoiceContext {
  /** Workers that can take more than at the last cycle. */
  readonly freed: ReadonlySet<types.ids.WorkerId>;
}

/** What a cycle came to. */
export interface CycleResult {
  readonly placed: placements.Placement[];
  /**
   * Steps that could start more tasks if the adviser approved more workers,
   * most urgent first.
   */
  readonly awaitingAdvice: activeJob.StepRun[];
  /**
   * Placements that would have been made on workers that aren't recorded for
   * their jobs yet.
   */
  readonly awaitingCommit: placements.Placement[];
  /** Workers whose room is kept, and the gang that it is kept for. */
  readonly held: ReadonlyMap<types.ids.WorkerId, activeJob.StepRun>;
}

/** Runs a cycle over steps that wait and may start, most urgent first. */
export function runCycle(
  ordered: readonly activeJob.StepRun[],
  context: CycleContext,
): CycleResult {
  const hold = gangReservation.createGangReservation(context);
  const {held} = hold;
  const result: CycleResult = {
    placed: [],
    awaitingAdvice: [],
    awaitingCommit: [],
    held,
  };
  const isHeld = (id: types.ids.WorkerId) => hold.isHeld(id);
  const choice = {...context, isHeld};
  const leftOut = longestLeftOut(ordered);
  let turns = MAX_TRIED_STEPS - leftOut.size;
  for (const stepRun of ordered) {
    const due =
      stepRun.changed ||
      hasNewRoom(stepRun, context) ||
      // Workers become quiet with time.
      placeIsolated.waitsForIsolation(stepRun);
    const pauses = refusalBackoff.pauses(stepRun, context.now);
    const tries = due && !pauses && (leftOut.has(stepRun) || turns-- > 0);
    stepRun.changed = due && !tries;
    const found = tries ? placeStep.placeStep(stepRun, choice) : [];
    if (isWaitingGang(stepRun) && !pauses) hold.holdFor(stepRun);
    const advised = stepRun.job.policy.advice !== undefined;
    if (advised && stepRun.waitingIndexes.length > 0)
      result.awaitingAdvice.push(stepRun);
    const ready = readyOf(stepRun, found);
    result.placed.push(...ready);
    // Uncommitted placements are made anew at the next cycle.
    const isLeftOut = stepRun.changed && !pauses;
    if (isLeftOut || ready.length < found.length) {
      stepRun.leftOutSince ??= context.now;
    } else stepRun.leftOutSince = undefined;
    // Uncommitted placements keep their room until the end of the cycle, so
    // that no later step takes it.
    if (ready.length === found.length) continue;
    const early = new Set(ready);
    result.awaitingCommit.push(...found.filter((one) => !early.has(one)));
  }
  for (const placement of result.awaitingCommit) {
    placements.takeBack(placement, context.book);
  }
  return result;
}

/** The steps that had no turn for longest; most urgent first among equals. */
function longestLeftOut(
  ordered: readonly activeJob.StepRun[],
): ReadonlySet<activeJob.StepRun> {
  const leftOut = ordered.filter((one) => one.leftOutSince !== undefined);
  leftOut.sort((a, b) => a.leftOutSince! - b.leftOutSince!);
  return new Set(leftOut.slice(0, MAX_LEFT_OUT_STEPS));
}

/** Whether a worker that the step may use has got more room. */
function hasNewRoom(
  stepRun: activeJob.StepRun,
  {freed, book}: CycleContext,
): boolean {
  const {advice, job} = stepRun;
  const advised = job.policy.advice !== undefined;
  const size = chooseWorker.bookedSize(stepRun);
  for (const id of freed) {
    if (advised && !advice.approvals.has(id)) continue;
    const worker = book.workers.get(id);
    if (worker !== undefined && types.resources.fits(size, worker.free)) {
      return true;
    }
  }
  return false;
}

function isWaitingGang({
  request,
  waitingIndexes: waiting,
}: activeJob.StepRun): boolean {
  return request.gang && waiting.length > 0;
}

/** Those that may start now; of a gang all or none. */
function readyOf(
  stepRun: activeJob.StepRun,
  found: placements.Placement[],
): placements.Placement[] {
  const ready = found.filter(
    (one) => placeStep.isRecorded(stepRun, one.worker) && isCrashStored(one),
  );
  const whole = ready.length === found.length;
  return stepRun.request.gang && !whole ? [] : ready;
}

/**
 * Crashes of a task that is about to be tried apart must outlive this process.
 * Otherwise its successor would begin to count anew.
 */
function isCrashStored({stepRun, index}: placements.Placement): boolean {
  if (stepRun.job.unstoredCrashes === undefined) return true;
  return !crashRecords.needsIsolation(stepRun, index);
}
