/**
 * One pass over the waiting steps in the order of work: books room for what
 * fits, says whose approval must be asked, and which jobs are about to begin.
 */
import * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as gangFit from './gang_fit.js';
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
  /** Steps that need the adviser's word first, most urgent first. */
  readonly unadvised: activeJob.StepRun[];
  /** Jobs that would have got room but aren't recorded as begun. */
  readonly toBegin: Set<activeJob.ActiveJob>;
}

/** Approvals that end sooner than this are not used: the start takes time. */
const TICKET_MARGIN_MS = 60;

/** Whether the step's adviser has to be asked before anything may start. */
export function needsAdvice(
  stepRun: activeJob.StepRun,
  now: types.clock.MonotonicMs,
): boolean {
  if (stepRun.job.policy.advice === undefined) return false;
  return stepRun.advice.validUntil < now + TICKET_MARGIN_MS;
}

/** Does a pass over steps that wait and whose jobs may start. */
export function runPass(
  waiting: Iterable<activeJob.StepRun>,
  context: chooseWorker.ChoiceContext,
): PassResult {
  const result: PassResult = {placed: [], unadvised: [], toBegin: new Set()};
  const heldBack: Placement[] = [];
  for (const stepRun of inOrder(waiting, context.now)) {
    if (needsAdvice(stepRun, context.now)) {
      result.unadvised.push(stepRun);
      continue;
    }
    const placed = placeStep(stepRun, context);
    if (placed.length === 0) continue;
    if (stepRun.job.begun === 'yes') {
      result.placed.push(...placed);
      continue;
    }
    // Its room stays booked in this pass, so that nobody after it takes it.
    heldBack.push(...placed);
    result.toBegin.add(stepRun.job);
  }
  for (const placement of heldBack) takeBack(placement, context.book);
  return result;
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
  return stepRun.request.gang
    ? placeGang(stepRun, among, context)
    : placeTasks(stepRun, among, context);
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
  const rooms = among.map((worker) => ({
    worker,
    tasks: Math.min(
      gangFit.tasksThatFit(size, worker.free),
      chooseWorker.roomFor(stepRun, worker),
    ),
  }));
  const sound = rooms.filter(
    ({worker}) =>
      context.health.trustOf(worker.info.id, context.now) === 'sound',
  );
  const {taskCount, sameRack} = stepRun.request;
  const workers =
    gangFit.fitGang(sound, taskCount, sameRack) ??
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
