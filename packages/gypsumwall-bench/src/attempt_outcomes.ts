/**
 * Random outcomes of a virtual cell: how attempts end and which workers are
 * approved.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import type * as adviserCalls from './adviser_calls.js';
import * as stepLoad from './step_load.js';

/** Draws how and when an attempt ends. */
export type DrawOutcome = (attempt: scheduling.activeJob.Attempt) => {
  readonly spanMs: number;
  readonly outcome: scheduling.jobSteps.AttemptOutcome;
};

export function createDrawOutcome(random: types.random.Random): DrawOutcome {
  return (attempt) => {
    const {request, job} = attempt.task!.stepRun;
    const {failingShare} = jobKindOf(job.policy.queue);
    const fails = random.next() < failingShare;
    const spanMs = request.expectedMs * (fails ? random.next() : 1);
    return {spanMs, outcome: fails ? 'failed' : 'done'} as const;
  };
}

/** Progress that an attempt reports, 0 to 100; all workers are equally fast. */
export function percentOf(
  {task, startedAt}: scheduling.activeJob.Attempt,
  now: types.clock.MonotonicMs,
): number {
  const {expectedMs} = task!.stepRun.request;
  const ranMs = now - (startedAt ?? now);
  return Math.min(100, Math.floor((100 * ranMs) / expectedMs));
}

/**
 * Creates an adviser that approves a random share of the workers, set by the
 * kind of job.
 */
export function createAdviser(
  random: types.random.Random,
): adviserCalls.Adviser {
  return (request) => {
    const {approvedShare} = jobKindOf(request.stepRun.job.policy.queue);
    const approved = new Map<types.ids.WorkerId, string>();
    for (const id of request.workers) {
      if (random.next() < approvedShare) approved.set(id, 'ticket');
    }
    return approved;
  };
}

function jobKindOf(queue: string): stepLoad.JobKind {
  return stepLoad.PEAK_KINDS.find((kind) => kind.policy.queue === queue)!;
}
