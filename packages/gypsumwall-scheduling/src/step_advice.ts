/**
 * Answers of the adviser for one step: the approved workers, the expiry of
 * their tickets, and the refused workers.
 */
import * as types from '@gypsumwall/types';

/** Approval of one worker. */
export interface Approval {
  readonly ticket: string;
  readonly validUntil: types.clock.MonotonicMs;
}

/** The advice for one step. */
export interface StepAdvice {
  readonly approvals: Map<types.ids.WorkerId, Approval>;
  /** When the last of its tickets expires. */
  ticketsUntil: types.clock.MonotonicMs;
  /** Workers that were named and not approved. Refusals are final. */
  readonly refused: Set<types.ids.WorkerId>;
  /** Workers named in open calls. */
  readonly pendingWorkers: Set<types.ids.WorkerId>;
  openCalls: number;
  /** When it is checked next whether more workers should be asked about. */
  nextCheckAt: types.clock.MonotonicMs;
}

/**
 * Tickets that expire sooner than this are not used, because the start takes
 * time.
 */
const MIN_TICKET_REMAINING_MS = 60;

/** Creates the advice for a step that the adviser was not asked about. */
export function createStepAdvice(): StepAdvice {
  return {
    approvals: new Map(),
    ticketsUntil: 0 as types.clock.MonotonicMs,
    refused: new Set(),
    pendingWorkers: new Set(),
    openCalls: 0,
    nextCheckAt: 0 as types.clock.MonotonicMs,
  };
}

/** Returns the ticket for a start on a worker now, if there is a valid one. */
export function ticketFor(
  advice: StepAdvice,
  worker: types.ids.WorkerId,
  now: types.clock.MonotonicMs,
): string | undefined {
  const approval = advice.approvals.get(worker);
  if (approval === undefined) return undefined;
  const usableUntil = types.clock.after(
    approval.validUntil,
    -MIN_TICKET_REMAINING_MS,
  );
  return now < usableUntil ? approval.ticket : undefined;
}

/** Whether there may be a worker with a valid ticket. */
export function hasTicket(
  {approvals, ticketsUntil}: StepAdvice,
  now: types.clock.MonotonicMs,
): boolean {
  return approvals.size > 0 && now + MIN_TICKET_REMAINING_MS < ticketsUntil;
}

/** Records that a call which names these workers was sent. */
export function recordCall(
  advice: StepAdvice,
  workers: readonly types.ids.WorkerId[],
): void {
  advice.openCalls++;
  for (const worker of workers) advice.pendingWorkers.add(worker);
}

/**
 * Forgets a worker: tickets are valid for one incarnation, and the next one may
 * be of another kind.
 */
export function forgetWorker(
  {approvals, refused}: StepAdvice,
  worker: types.ids.WorkerId,
): void {
  approvals.delete(worker);
  refused.delete(worker);
}

/** Records the answer to a call; `approved` is undefined if there was none. */
export function recordAnswer(
  advice: StepAdvice,
  workers: readonly types.ids.WorkerId[],
  approved: ReadonlyMap<types.ids.WorkerId, string> | undefined,
  validUntil: types.clock.MonotonicMs,
): void {
  advice.openCalls--;
  for (const worker of workers) advice.pendingWorkers.delete(worker);
  if (approved === undefined) return;
  if (approved.size > 0 && validUntil > advice.ticketsUntil)
    advice.ticketsUntil = validUntil;
  for (const worker of workers) {
    const ticket = approved.get(worker);
    if (ticket !== undefined) {
      advice.approvals.set(worker, {ticket, validUntil});
    } else {
      advice.refused.add(worker);
    }
  }
}
