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
import * as gangFit from './gang_fit.js';
import * as gangReservation from './gang_reservation.js';
import * as domainAffinity from './domain_affinity.js';
import type * as workerRegistry from './worker_registry.js';

/** A task and the worker it gets. */
export interface Placement {
  readonly stepRun: activeJob.StepRun;
  readonly index: number;
  readonly worker: workerRegistry.BookedWorker;
}

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
  readonly placed: Placement[];
  /**
   * Steps that could start more tasks if the adviser approved more workers,
   * most urgent first.
   */
  readonly unadvised: activeJob.StepRun[];
  /**
   * Placements that would have been made on workers that aren't recorded for
   * their jobs yet.
   */
  readonly unrecorded: Placement[];
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
  const result: CycleResult = {placed: [], unadvised: [], unrecorded: [], held};
  const isHeld = (id: types.ids.WorkerId) => hold.isHeld(id);
  const choice = {...context, isHeld};
  const leftOut = longestLeftOut(ordered);
  let turns = MAX_TRIED_STEPS - leftOut.size;
  for (const stepRun of ordered) {
    const due = stepRun.changed || hasNewRoom(stepRun, context);
    const tries = due && (leftOut.has(stepRun) || turns-- > 0);
    stepRun.changed = due && !tries;
    const placements = tries ? placeStep(stepRun, choice) : [];
    if (isWaitingGang(stepRun)) hold.holdFor(stepRun);
    const advised = stepRun.job.policy.advice !== undefined;
    if (advised && stepRun.waiting.length > 0) result.unadvised.push(stepRun);
    const ready = readyOf(stepRun, placements);
    result.placed.push(...ready);
    // Uncommitted placements are made anew at the next cycle.
    if (stepRun.changed || ready.length < placements.length) {
      stepRun.leftOutSince ??= context.now;
    } else stepRun.leftOutSince = undefined;
    // Uncommitted placements keep their room until the end of the cycle, so
    // that no later step takes it.
    if (ready.length === placements.length) continue;
    const early = new Set(ready);
    result.unrecorded.push(...placements.filter((one) => !early.has(one)));
  }
  for (const placement of result.unrecorded) takeBack(placement, context.book);
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

function isWaitingGang({request, waiting}: activeJob.StepRun): boolean {
  return request.gang && waiting.length > 0;
}

/** Those on recorded workers; of a gang all or none. */
function readyOf(
  stepRun: activeJob.StepRun,
  placements: Placement[],
): Placement[] {
  const recorded = placements.filter((one) => isRecorded(stepRun, one.worker));
  const whole = recorded.length === placements.length;
  return stepRun.request.gang && !whole ? [] : recorded;
}

function isRecorded(
  stepRun: activeJob.StepRun,
  worker: workerRegistry.BookedWorker,
): boolean {
  return stepRun.job.workers.get(worker.info.id) === 'recorded';
}

function placeStep(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): Placement[] {
  const among = chooseWorker.candidates(stepRun, context);
  domainAffinity.settle(stepRun, among);
  // Recorded workers first: what starts there needs no word from the store.
  const recorded = among.filter(
    (worker) =>
      isRecorded(stepRun, worker) &&
      !domainAffinity.isAway(stepRun, worker) &&
      chooseWorker.isTrusted(stepRun, worker, context),
  );
  const place = stepRun.request.gang ? placeGang : placeTasks;
  const first = recorded.length > 0 ? place(stepRun, recorded, context) : [];
  if (stepRun.waiting.length === 0) return first;
  return [...first, ...place(stepRun, among, context)];
}

function placeTasks(
  stepRun: activeJob.StepRun,
  among: readonly workerRegistry.BookedWorker[],
  context: chooseWorker.ChoiceContext,
): Placement[] {
  const placed: Placement[] = [];
  while (stepRun.waiting.length > 0) {
    const worker = chooseWorker.chooseWorker(stepRun, among, context);
    if (worker === undefined) break;
    placed.push(take(stepRun, stepRun.waiting.pop()!, worker, context.book));
  }
  return placed;
}

function placeGang(
  stepRun: activeJob.StepRun,
  among: readonly workerRegistry.BookedWorker[],
  context: chooseWorker.ChoiceContext,
): Placement[] {
  const size = chooseWorker.bookedSize(stepRun);
  const {taskCount, sameRack} = stepRun.request;
  let total = 0;
  const rooms = among.map((worker) => {
    const fitting = gangFit.tasksThatFit(size, worker.free);
    const tasks = Math.min(fitting, chooseWorker.roomFor(stepRun, worker));
    total += tasks;
    return {worker, tasks};
  });
  if (total < taskCount) return [];
  const trusted = rooms.filter(({worker}) =>
    chooseWorker.isTrusted(stepRun, worker, context),
  );
  const atHome = trusted.filter(
    ({worker}) => !domainAffinity.isAway(stepRun, worker),
  );
  const workers =
    gangFit.fitGang(atHome, taskCount, sameRack) ??
    gangFit.fitGang(trusted, taskCount, sameRack) ??
    gangFit.fitGang(rooms, taskCount, sameRack);
  if (workers === undefined) return [];
  const indexes = stepRun.waiting;
  stepRun.waiting = [];
  return indexes.map((index, nth) =>
    take(stepRun, index, workers[nth]!, context.book),
  );
}

function take(
  stepRun: activeJob.StepRun,
  index: number,
  worker: workerRegistry.BookedWorker,
  book: workerRegistry.WorkerRegistry,
): Placement {
  book.book(worker.info.id, stepRun.id, chooseWorker.bookedSize(stepRun));
  return {stepRun, index, worker};
}

function takeBack(
  placement: Placement,
  book: workerRegistry.WorkerRegistry,
): void {
  const {stepRun, index, worker} = placement;
  book.release(worker.info.id, stepRun.id, chooseWorker.bookedSize(stepRun));
  stepRun.waiting.push(index);
}
