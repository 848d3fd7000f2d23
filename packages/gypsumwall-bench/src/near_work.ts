/**
 * Work that runs slower in some places than in others, for the simulated cell of
 * step jobs: data in racks, gangs that need one rack, and estimates that are
 * off.
 */
import * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import * as distributions from './distributions.js';

/** How much of the work has a near place, and what a far one costs. */
export interface NearWork {
  /** Run time at a far place divided by that at a near one. */
  readonly farFactor: number;
  /** Whether a step waits; by forecast if absent. */
  readonly decidePlace?: scheduling.waitForPlace.DecidePlace;
  /** Share of the steps of single tasks whose data is in one rack. */
  readonly dataShare: number;
  /** Share of the gangs that run slower when they are spread over racks. */
  readonly sameRackShare: number;
  /** Spread of actual run times around the estimate, log-normal. */
  readonly estimateSigma: number;
}

/** Runs tasks of such work. */
export interface NearRuns {
  /** Adds near places to the steps of a new job and draws their run times. */
  addPlaces(
    id: types.ids.JobId,
    request: scheduling.jobRequest.JobRequest,
  ): scheduling.jobRequest.JobRequest;
  /** Notes which of the starts are far; gangs are started as a whole. */
  onStarts(starts: readonly scheduling.schedulerTypes.StartOrder[]): void;
  /** Run time of an attempt; milliseconds. */
  runMs(attempt: scheduling.activeJob.Attempt): number;
  /** Progress of an attempt that has run for this long, 0 to 100. */
  percentAfter(attempt: scheduling.activeJob.Attempt, ranMs: number): number;
}

/** Creates the runs of a cell with the given racks. */
export function createNearRuns(
  {farFactor, dataShare, sameRackShare, estimateSigma}: NearWork,
  rackOf: (worker: types.ids.WorkerId) => string,
  racks: readonly string[],
  random: types.random.Random,
): NearRuns {
  const far = new Set<scheduling.activeJob.Attempt>();
  /** Actual run time of the tasks of each step divided by the estimate. */
  const factors = new Map<string, number>();

  function addPlace(
    step: scheduling.jobRequest.StepRequest,
  ): scheduling.jobRequest.StepRequest {
    const drawn = random.next();
    if (step.gang) return {...step, sameRack: drawn < sameRackShare};
    const rack = racks[Math.floor(random.next() * racks.length)];
    return drawn < dataShare ? {...step, preferredRack: rack} : step;
  }

  function isFar(
    {request}: scheduling.activeJob.StepRun,
    workers: readonly types.ids.WorkerId[],
  ): boolean {
    const used = new Set(workers.map(rackOf));
    if (request.sameRack) return used.size > 1;
    const {preferredRack} = request;
    return preferredRack !== undefined && !used.has(preferredRack);
  }

  function runMs(attempt: scheduling.activeJob.Attempt): number {
    const {request, id} = attempt.task!.stepRun;
    const factor = far.has(attempt) ? farFactor : 1;
    return request.expectedMs * factors.get(id)! * factor;
  }

  return {
    addPlaces(id, request) {
      const steps = request.steps.map((step, number) => {
        const factor = distributions.drawLogNormal(random, 1, estimateSigma);
        factors.set(scheduling.taskId.stepRunId(id, 0, number), factor);
        return addPlace(step);
      });
      return {...request, steps};
    },
    onStarts(starts) {
      const gangs = new Map<string, scheduling.activeJob.Attempt[]>();
      for (const {attempt} of starts) {
        const {stepRun} = attempt.task!;
        const key = `${stepRun.id}#${attempt.number}`;
        const members = stepRun.request.gang ? (gangs.get(key) ?? []) : [];
        gangs.set(stepRun.request.gang ? key : attempt.taskId, members);
        members.push(attempt);
      }
      for (const members of gangs.values()) {
        const {stepRun} = members[0]!.task!;
        const workers = members.map(({workerId}) => workerId);
        if (isFar(stepRun, workers))
          for (const attempt of members) far.add(attempt);
      }
    },
    runMs,
    percentAfter: (attempt, ranMs) =>
      Math.min(99, Math.floor((100 * ranMs) / runMs(attempt))),
  };
}
