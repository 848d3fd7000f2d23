/**
 * What an adviser has said of one step: which workers it approved, until when
 * their tickets hold, and which it refused for good.
 */
import * as types from '@gypsumwall/types';

/** An approval of one worker. */
export interface Approval {
  readonly ticket: string;
  readonly validUntil: types.clock.MonotonicMs;
}

/** The advice on one step. */
export interface StepAdvice {
  readonly approvals: Map<types.ids.WorkerId, Approval>;
  /** Workers that were named and not approved; that doesn't change. */
  readonly refused: Set<types.ids.WorkerId>;
  /** Workers named in calls that aren't answered yet. */
  readonly pendingWorkers: Set<types.ids.WorkerId>;
  openCalls: number;
  /** When it is looked again whether to ask for more. */
  nextCheckAt: types.clock.MonotonicMs;
}

/** Approvals that end sooner than this are not used: the start takes time. */
const MIN_TICKET_REMAINING_MS = 60;

/** The advice on a step of which nobody was asked yet. */
export function createStepAdvice(): StepAdvice {
  return {
    approvals: new Map(),
    refused: new Set(),
    pendingWorkers: new Set(),
    openCalls: 0,
    nextCheckAt: 0 as types.clock.MonotonicMs,
  };
}

/** The ticket for a start on a worker now, if there is one. */
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

/** Notes that a call which names these workers is on its way. */
export function recordCall(
  advice: StepAdvice,
  workers: readonly types.ids.WorkerId[],
): void {
  advice.openCalls++;
  for (const worker of workers) advice.pendingWorkers.add(worker);
}

/** Notes the answer to a call; undefined approvals: there was none. */
export function recordAnswer(
  advice: StepAdvice,
  workers: readonly types.ids.WorkerId[],
  approved: ReadonlyMap<types.ids.WorkerId, string> | undefined,
  validUntil: types.clock.MonotonicMs,
): void {
  advice.openCalls--;
  for (const worker of workers) advice.pendingWorkers.delete(worker);
  if (approved === undefined) return;
  for (const worker of workers) {
    const ticket = approved.get(worker);
    if (ticket !== undefined) {
      advice.approvals.set(worker, {ticket, validUntil});
    } else {
      advice.refused.add(worker);
    }
  }
}
