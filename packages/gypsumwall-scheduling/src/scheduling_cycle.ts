/**
 * Runs one scheduling cycle over the waiting steps, by rank: reserves capacity
 * for the tasks that fit, and returns the placements that can start, those that
 * wait until their worker is recorded, and the steps that need advice.
 *
 * A step that found no capacity is tried again only when its own state has
 * changed or a worker that it may use has more free capacity. The cost of a
 * cycle therefore depends on what has changed and not on how much waits: a
 * holder that takes over a backlog tries each of its steps once.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as stepAdvice from './step_advice.js';
import * as stepNeeds from './step_needs.js';
import * as crashRecords from './crash_records.js';
import * as gangReservation from './gang_reservation.js';
import * as nearChoices from './near_choice.js';
import * as placeIsolated from './place_isolated.js';
import * as placeNear from './place_near.js';
import * as placeStep from './place_step.js';
import * as placeTasks from './place_tasks.js';
import * as placements from './placements.js';
import * as quotaGate from './quota_gate.js';
import * as refusalBackoff from './refusal_backoff.js';
import * as reservationJournal from './reservation_journal.js';
import type * as waitingOrder from './waiting_order.js';

/**
 * Maximum number of steps tried in one cycle; the others are left for the next
 * one, so that calls and timers can run in between.
 */
const MAX_TRIED_STEPS = 30;
/**
 * Number of these that are reserved for the steps skipped for longest. Without
 * them, more urgent steps that are tried in vain in each cycle could prevent
 * all others from ever being tried.
 */
const MAX_SKIPPED_STEPS = 10;

/** What a cycle decides at most. */
export interface CycleLimits {
  /**
   * About as many tasks are started, by rank; with 0, no step is tried. A gang
   * is started as a whole.
   */
  readonly starts: number;
  /**
   * The adviser isn't asked about steps that rank behind as many tasks which can
   * start with the advice that they have: the answers would expire meanwhile.
   */
  readonly ready: number;
}

/** Input of a cycle. */
export interface CycleContext extends chooseWorker.ChoiceContext {
  /**
   * Workers that may accept tasks that they could not accept in the last cycle.
   */
  readonly freed: ReadonlySet<types.ids.WorkerId>;
  readonly limits: CycleLimits;
  /** Absent if no place is far from another. */
  readonly nearPolicy?: nearChoices.NearPolicy;
  /** Receives what trying a step has thrown; it ends the cycle if absent. */
  readonly onFault?: waitingOrder.FaultHandler;
}

/** Result of a cycle. */
export interface CycleResult {
  readonly placed: placements.Placement[];
  /**
   * Steps that could start more tasks if the adviser approved more workers,
   * most urgent first.
   */
  readonly awaitingAdvice: activeJob.StepRun[];
  /**
   * Placements that cannot start yet because the store has not committed their
   * workers or crashes.
   */
  readonly awaitingCommit: placements.Placement[];
  /** Reserved workers and the gang for which each is reserved. */
  readonly reservations: ReadonlyMap<types.ids.WorkerId, activeJob.StepRun>;
}

/** What trying a step gave. */
interface StepTry {
  readonly found: placements.Placement[];
  /** Whether the step is expected to start more tasks in a later cycle. */
  readonly isLeft: boolean;
}

/** Runs a cycle over the waiting steps, sorted by urgency. */
export function runCycle(
  ordered: readonly activeJob.StepRun[],
  context: CycleContext,
): CycleResult {
  const reservation = gangReservation.createGangReservation(context);
  const {reservations} = reservation;
  const {limits} = context;
  const result: CycleResult = {
    placed: [],
    awaitingAdvice: [],
    awaitingCommit: [],
    reservations,
  };
  const isReserved = (id: types.ids.WorkerId) => reservation.isReserved(id);
  const nearChoice = nearChoices.createNearChoice(
    context.nearPolicy,
    ordered,
    context,
  );
  const choice = {...context, isReserved, nearChoice};
  const gate = quotaGate.createQuotaGate(context.registry.quotas);
  const skipped = longestSkipped(ordered);
  let triesLeft = MAX_TRIED_STEPS - skipped.size;
  let readyTasks = 0;

  function postpone(stepRun: activeJob.StepRun): StepTry {
    return {found: [], isLeft: isDueNow(stepRun, choice)};
  }

  function tryStep(stepRun: activeJob.StepRun): StepTry {
    const maxTasks = limits.starts - result.placed.length;
    if (!isDueNow(stepRun, choice)) return {found: [], isLeft: false};
    if (maxTasks <= 0 || !(skipped.has(stepRun) || triesLeft-- > 0))
      return {found: [], isLeft: true};
    const found = placeUndoable(stepRun, {...choice, maxTasks});
    return {found, isLeft: found.length >= maxTasks};
  }

  function considerStep(stepRun: activeJob.StepRun): void {
    const verdict = gate.check(stepRun);
    stepRun.isOverQuota = verdict !== 'open';
    if (stepRun.isOverQuota) {
      // Tried once the quota has room, whatever else has changed.
      stepRun.hasChanged = true;
      stepRun.skippedSince = undefined;
      if (verdict === 'next') result.awaitingAdvice.push(stepRun);
      return;
    }
    const isPaused = refusalBackoff.isPaused(stepRun, context.now);
    const {found, isLeft} = isPaused ? postpone(stepRun) : tryStep(stepRun);
    stepRun.hasChanged = isLeft;
    if (isWaitingGang(stepRun) && !isPaused) reservation.reserveFor(stepRun);
    const needsAdvice = stepRun.job.policy.advice !== undefined;
    const isWaiting = stepRun.waitingIndexes.length > 0;
    if (needsAdvice && isWaiting && readyTasks < limits.ready)
      result.awaitingAdvice.push(stepRun);
    readyTasks += found.length;
    if (isLeft && !isPaused) readyTasks += stepRun.waitingIndexes.length;
    const committed = found.length > 0 ? committedOf(stepRun, found) : found;
    types.lists.append(result.placed, committed);
    // Uncommitted placements are made again in the next cycle.
    const isSkipped = stepRun.hasChanged && !isPaused;
    if (isSkipped || committed.length < found.length) {
      stepRun.skippedSince ??= context.now;
    } else stepRun.skippedSince = undefined;
    // Uncommitted placements keep their reservation until the end of the cycle,
    // so that no later step uses that capacity.
    if (committed.length === found.length) return;
    const startable = new Set(committed);
    types.lists.append(
      result.awaitingCommit,
      found.filter((one) => !startable.has(one)),
    );
  }

  for (const stepRun of ordered) {
    const {job} = stepRun;
    if (job.isAwaitingReconciliation || job.isSuspended) continue;
    try {
      considerStep(stepRun);
    } catch (thrown) {
      if (context.onFault === undefined) throw thrown;
      context.onFault(job, thrown);
    }
  }
  for (const placement of result.awaitingCommit) {
    placements.revert(placement, context.registry);
  }
  return result;
}

/** Places a step; undoes its reservations if that throws. */
function placeUndoable(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): placements.Placement[] {
  const journal = reservationJournal.createReservationJournal(context.registry);
  try {
    return placeStep.placeStep(stepRun, {
      ...context,
      registry: journal.registry,
    });
  } catch (thrown) {
    journal.undo();
    throw thrown;
  }
}

/** The steps that were skipped for longest; most urgent first among equals. */
function longestSkipped(
  ordered: readonly activeJob.StepRun[],
): ReadonlySet<activeJob.StepRun> {
  const longest: activeJob.StepRun[] = [];
  for (const stepRun of ordered) {
    const since = stepRun.skippedSince;
    if (since === undefined) continue;
    let position = longest.length;
    while (position > 0 && since < longest[position - 1]!.skippedSince!)
      position--;
    if (position >= MAX_SKIPPED_STEPS) continue;
    longest.splice(position, 0, stepRun);
    if (longest.length > MAX_SKIPPED_STEPS) longest.pop();
  }
  return new Set(longest);
}

/** Whether trying the step may give another result than before. */
function isDueNow(stepRun: activeJob.StepRun, context: CycleContext): boolean {
  // Workers become suitable for isolated tasks as time passes.
  if (placeIsolated.waitsForIsolation(stepRun)) return true;
  // Nothing can start without a ticket of the adviser; a new one is a change.
  const {advice, job} = stepRun;
  if (
    job.policy.advice !== undefined &&
    !stepAdvice.hasTicket(advice, context.now)
  )
    return false;
  if (stepRun.hasChanged || placeNear.isRecheckDue(stepRun, context.now))
    return true;
  return hasFreedCapacity(stepRun, context);
}

/**
 * Whether a worker that the step may use has more free capacity. The end of a
 * reservation marks the worker as freed, and a new ticket is a change.
 */
function hasFreedCapacity(
  stepRun: activeJob.StepRun,
  {freed, registry, now, isReserved}: CycleContext,
): boolean {
  const {advice, job} = stepRun;
  const needsAdvice = job.policy.advice !== undefined;
  const size = stepNeeds.reservedSize(stepRun);
  for (const id of freed) {
    if (needsAdvice && !stepAdvice.ticketFor(advice, id, now)) continue;
    if (isReserved?.(id) === true) continue;
    const worker = registry.workers.get(id);
    if (worker !== undefined && types.resources.fits(size, worker.free)) {
      return true;
    }
  }
  return false;
}

function isWaitingGang({request, waitingIndexes}: activeJob.StepRun): boolean {
  return request.gang && waitingIndexes.length > 0;
}

/** Returns the placements that may start now: all or none for a gang. */
function committedOf(
  stepRun: activeJob.StepRun,
  found: placements.Placement[],
): placements.Placement[] {
  const committed = found.filter(
    (one) => placeTasks.isRecorded(stepRun, one.worker) && isCrashStored(one),
  );
  const isComplete = committed.length === found.length;
  return stepRun.request.gang && !isComplete ? [] : committed;
}

/**
 * Whether the crashes of a task that is about to start isolated are stored.
 * Otherwise a successor of this process would count them from zero.
 */
function isCrashStored({stepRun, index}: placements.Placement): boolean {
  if (stepRun.job.unstoredCrashes === undefined) return true;
  return !crashRecords.needsIsolation(stepRun, index);
}
