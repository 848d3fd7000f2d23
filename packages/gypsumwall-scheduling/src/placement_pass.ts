/**
 * One pass over the waiting steps in the order of work: books room for what
 * fits, says whose approval must be asked, and which jobs are about to begin.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as gangFit from './gang_fit.js';
import * as gangHold from './gang_hold.js';
import * as homeDomain from './home_domain.js';
import type * as workerBook from './worker_book.js';
import * as workOrder from './work_order.js';

/** A task and the worker it gets. */
export interface Placement {
  readonly stepRun: activeJob.StepRun;
  readonly index: number;
  readonly worker: workerBook.BookedWorker;
}

/** What a pass came to. */
export interface PassResult {
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
}

/** Does a pass over steps that wait and whose jobs may start. */
export function runPass(
  waiting: Iterable<activeJob.StepRun>,
  context: chooseWorker.ChoiceContext,
): PassResult {
  const result: PassResult = {placed: [], unadvised: [], unrecorded: []};
  const hold = gangHold.createGangHold(context);
  const isHeld = (id: types.ids.WorkerId) => hold.isHeld(id);
  const choice = {...context, isHeld};
  for (const stepRun of inOrder(waiting, context.now)) {
    const placements = placeStep(stepRun, choice);
    if (isWaitingGang(stepRun)) hold.holdFor(stepRun);
    const advised = stepRun.job.policy.advice !== undefined;
    if (advised && stepRun.waiting.length > 0) result.unadvised.push(stepRun);
    const ready = readyOf(stepRun, placements);
    result.placed.push(...ready);
    // What isn't ready keeps its room in this pass, so that nobody after it
    // takes it.
    if (ready.length === placements.length) continue;
    const early = new Set(ready);
    result.unrecorded.push(...placements.filter((one) => !early.has(one)));
  }
  for (const placement of result.unrecorded) takeBack(placement, context.book);
  return result;
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
  worker: workerBook.BookedWorker,
): boolean {
  return stepRun.job.workers.get(worker.info.id) === 'recorded';
}

function inOrder(
  waiting: Iterable<activeJob.StepRun>,
  now: types.clock.MonotonicMs,
): activeJob.StepRun[] {
  const rows = [...waiting].map((stepRun) => ({
    stepRun,
    claimant: activeJob.claimantOf(stepRun),
  }));
  rows.sort((a, b) => workOrder.compare(a.claimant, b.claimant, now));
  return rows.map((row) => row.stepRun);
}

function placeStep(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): Placement[] {
  const among = chooseWorker.candidates(stepRun, context);
  homeDomain.settle(stepRun, among);
  // Recorded workers first: what starts there needs no word from the store.
  const recorded = among.filter(
    (worker) =>
      isRecorded(stepRun, worker) &&
      !homeDomain.isAway(stepRun, worker) &&
      chooseWorker.isTrusted(stepRun, worker, context),
  );
  const place = stepRun.request.gang ? placeGang : placeTasks;
  const first = recorded.length > 0 ? place(stepRun, recorded, context) : [];
  if (stepRun.waiting.length === 0) return first;
  return [...first, ...place(stepRun, among, context)];
}

function placeTasks(
  stepRun: activeJob.StepRun,
  among: readonly workerBook.BookedWorker[],
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
  among: readonly workerBook.BookedWorker[],
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
    ({worker}) => !homeDomain.isAway(stepRun, worker),
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
  worker: workerBook.BookedWorker,
  book: workerBook.WorkerBook,
): Placement {
  book.book(worker.info.id, stepRun.id, chooseWorker.bookedSize(stepRun));
  return {stepRun, index, worker};
}

function takeBack(placement: Placement, book: workerBook.WorkerBook): void {
  const {stepRun, index, worker} = placement;
  book.release(worker.info.id, stepRun.id, chooseWorker.bookedSize(stepRun));
  stepRun.waiting.push(index);
}
