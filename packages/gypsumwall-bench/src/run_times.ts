/**
 * How long tasks run on the workers of a simulated cell, and how far they are.
 * By default all workers are equally fast and the estimates are right.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import * as distributions from './distributions.js';

/** Workers of unlike speed, and tasks whose run times aren't known. */
export interface Unevenness {
  /** Speeds of the workers by their number, in turn. */
  readonly speeds: readonly number[];
  /** Standard deviation of the logarithm, among the tasks of one step. */
  readonly taskSpread: number;
  /** The same of a step's work, compared with its estimate. */
  readonly estimateSpread: number;
}

const EVEN: Unevenness = {speeds: [1], taskSpread: 0, estimateSpread: 0};

/** The run times of one run of a cell. */
export interface RunTimes {
  /** The request with its real work in place of the estimates. */
  realRequest(
    id: types.ids.JobId,
    request: scheduling.jobRequest.JobRequest,
  ): scheduling.jobRequest.JobRequest;
  /** Draws the run time of an attempt on its worker, in milliseconds. */
  drawRunMs(attempt: scheduling.activeJob.Attempt): number;
}

/** Creates run times; `workerNumber` selects the speed of a worker. */
export function createRunTimes(
  random: types.random.Random,
  workerNumber: (id: types.ids.WorkerId) => number,
  {speeds, taskSpread, estimateSpread}: Unevenness = EVEN,
): RunTimes {
  const realSteps = new Map<
    types.ids.JobId,
    readonly scheduling.jobRequest.StepRequest[]
  >();
  const draw = (spread: number) =>
    spread > 0 ? distributions.drawLogNormal(random, 1, spread) : 1;

  return {
    realRequest(id, request) {
      const steps = request.steps.map((step) => ({
        ...step,
        expectedMs: step.expectedMs * draw(estimateSpread),
      }));
      realSteps.set(id, steps);
      return {...request, steps};
    },
    drawRunMs({task, workerId}) {
      const {job, number} = task!.stepRun;
      const step = realSteps.get(job.id)?.[number] ?? task!.stepRun.request;
      const speed = speeds[workerNumber(workerId) % speeds.length]!;
      return (step.expectedMs * draw(taskSpread)) / speed;
    },
  };
}
