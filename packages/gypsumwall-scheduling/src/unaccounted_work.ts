/**
 * What attempts of an earlier scheduler may hold that are not found yet. Until
 * the workers recorded for a job are reconciled, each of its remaining tasks
 * may run there, so it counts against the quota of its organisation.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as jobRequest from './job_request.js';
import * as stepNeeds from './step_needs.js';

/** Sums up what these jobs may hold besides their known attempts. */
export function unaccountedWork(
  jobs: Iterable<activeJob.ActiveJob>,
): Map<types.ids.OrganisationId, types.resources.Resources> {
  const amounts = new Map<
    types.ids.OrganisationId,
    types.resources.Resources
  >();
  for (const job of jobs) {
    const {organisation} = job;
    if (organisation === undefined || !job.isAwaitingReconciliation) continue;
    const before = amounts.get(organisation) ?? types.resources.NO_RESOURCES;
    amounts.set(organisation, types.resources.add(before, remainderOf(job)));
  }
  return amounts;
}

function remainderOf(job: activeJob.ActiveJob): types.resources.Resources {
  let sum = types.resources.NO_RESOURCES;
  for (const {steps} of job.openOccurrences.values()) {
    for (const stepRun of steps) {
      if (stepRun.state === 'done') continue;
      const size = stepNeeds.reservedSize(stepRun);
      sum = types.resources.add(
        sum,
        types.resources.multiply(size, possibleAttempts(stepRun)),
      );
    }
  }
  if (job.unopenedDue === 0) return sum;
  for (const request of job.request.steps) {
    const tasks = job.unopenedDue * request.taskCount;
    const attempts = tasks * attemptsPerTask(request);
    const size = stepNeeds.reservedSize({request});
    sum = types.resources.add(sum, types.resources.multiply(size, attempts));
  }
  return sum;
}

function attemptsPerTask({speculative}: jobRequest.StepRequest): number {
  return speculative ? 2 : 1;
}

/** Maximum number of attempts of a step that may run and are not found. */
function possibleAttempts({
  request,
  doneIndexes,
  attempts,
}: activeJob.StepRun): number {
  const left = request.taskCount - doneIndexes.size;
  const possible = left * attemptsPerTask(request);
  return Math.max(0, possible - attempts.size);
}
