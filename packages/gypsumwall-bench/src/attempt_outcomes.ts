/**
 * Random outcomes of a virtual cell: how attempts end and which workers are
 * approved.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import type * as adviserCalls from './adviser_calls.js';
import * as stepLoad from './step_load.js';

/**
 * Draws how and when an attempt ends, and the progress it reports meanwhile.
 */
export interface DrawOutcome {
  (attempt: scheduling.activeJob.Attempt): {
    readonly spanMs: number;
    readonly outcome: scheduling.jobSteps.AttemptOutcome;
  };
  drawPercent(): number;
}

export function createDrawOutcome(random: types.random.Random): DrawOutcome {
  const drawOutcome = (attempt: scheduling.activeJob.Attempt) => {
    const {request, job} = attempt.task!.stepRun;
    const {failingShare} = jobKindOf(job.policy.queue);
    const fails = random.next() < failingShare;
    const spanMs = request.expectedMs * (fails ? random.next() : 1);
    return {spanMs, outcome: fails ? 'failed' : 'done'} as const;
  };
  const drawPercent = () => Math.floor(random.next() * 100);
  return Object.assign(drawOutcome, {drawPercent});
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
