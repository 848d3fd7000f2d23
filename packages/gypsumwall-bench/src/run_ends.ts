/** How runs of a virtual cell end, and whom its adviser approves. */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import type * as adviserLines from './adviser_lines.js';
import * as stepLoad from './step_load.js';

/** Draws how a run ends, and its progress in between. */
export interface DrawEnd {
  (run: scheduling.activeJob.Attempt): {
    readonly spanMs: number;
    readonly how: scheduling.jobSteps.AttemptOutcome;
  };
  percent(): number;
}

/** Creates the draws of one cell. */
export function createDrawEnd(random: types.random.Random): DrawEnd {
  const draw = (run: scheduling.activeJob.Attempt) => {
    const {request, job} = run.task!.stepRun;
    const {failingShare} = kindOf(job.policy.queue);
    const fails = random.next() < failingShare;
    const spanMs = request.expectedMs * (fails ? random.next() : 1);
    return {spanMs, how: fails ? 'failed' : 'done'} as const;
  };
  const percent = () => Math.floor(random.next() * 100);
  return Object.assign(draw, {percent});
}

/** Creates an adviser that approves each kind's share of the workers. */
export function createAdviser(
  random: types.random.Random,
): adviserLines.Adviser {
  return (wish) => {
    const {approvedShare} = kindOf(wish.stepRun.job.policy.queue);
    const approved = new Map<types.ids.WorkerId, string>();
    for (const id of wish.workers) {
      if (random.next() < approvedShare) approved.set(id, 'ticket');
    }
    return approved;
  };
}

function kindOf(queue: string): stepLoad.JobKind {
  return stepLoad.PEAK_KINDS.find((kind) => kind.policy.queue === queue)!;
}
