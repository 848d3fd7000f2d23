/**
 * Measures the run times of tasks from their starts, progress and ends, as far
 * as these tell how fast a worker is.
 */
import type * as types from '@gypsumwall/types';
import * as activeJob from './active_job.js';
import type * as learnedSpeeds from './learned_speeds.js';
import type * as workerRegistry from './worker_registry.js';

/** Whole percents are reported, so a shorter part is measured too coarsely. */
const MIN_MEASURED_PERCENT = 25;
/** Progress of a task that has finished its own work. */
const DONE_PERCENT = 100;

/** Measures attempts. */
export interface RunMeter {
  /** A worker has accepted the start of an attempt. */
  onStarted(attempt: activeJob.Attempt, now: types.clock.MonotonicMs): void;
  /** An attempt runs and has reached the given progress, 0 to 100. */
  onProgress(
    attempt: activeJob.Attempt,
    percent: number,
    now: types.clock.MonotonicMs,
  ): void;
  /** An attempt has ended as done. */
  onDone(attempt: activeJob.Attempt, now: types.clock.MonotonicMs): void;
}

interface Measurement {
  readonly at: types.clock.MonotonicMs;
  readonly percent: number;
  run?: learnedSpeeds.Run;
}

/** Creates a meter that adds its measurements to the speeds. */
export function createRunMeter(
  speeds: learnedSpeeds.LearnedSpeeds,
  registry: workerRegistry.WorkerRegistry,
): RunMeter {
  const measurements = new WeakMap<activeJob.Attempt, Measurement>();

  /** Whether the speed of the worker decides the run time. */
  function isComparable({task, workerId, phase}: activeJob.Attempt): boolean {
    if (task === undefined || phase === 'stopping') return false;
    const {request} = task.stepRun;
    // The place decides as well: tasks run slower far from their data or group.
    if (request.sameRack || request.longRunning || request.usesSpareCpu)
      return false;
    if (request.taskCount < 2) return false;
    const {preferredRack} = request;
    if (preferredRack === undefined) return true;
    return registry.workers.get(workerId)?.info.rack === preferredRack;
  }

  function measure(
    attempt: activeJob.Attempt,
    percent: number,
    now: types.clock.MonotonicMs,
  ): void {
    const measurement = measurements.get(attempt);
    if (measurement === undefined) return;
    const measured = percent - measurement.percent;
    if (measured < MIN_MEASURED_PERCENT) return;
    const runMs = ((now - measurement.at) * DONE_PERCENT) / measured;
    if (measurement.run !== undefined) {
      speeds.update(measurement.run, runMs);
      return;
    }
    measurement.run = speeds.add(attempt.stepRunId, attempt.workerId, runMs);
  }

  return {
    onStarted(attempt, now) {
      if (measurements.has(attempt) || !isComparable(attempt)) return;
      const {stepRun, index} = attempt.task!;
      // A gang waits for its members, and a resumed task doesn't start at 0.
      if (stepRun.request.gang) return;
      if (stepRun.checkpoints.has(activeJob.counterKey(stepRun, index))) return;
      measurements.set(attempt, {at: now, percent: 0});
    },
    onProgress(attempt, percent, now) {
      // At 100, a member of a gang waits for the slower ones.
      if (percent <= 0 || percent >= DONE_PERCENT) return;
      if (measurements.has(attempt)) measure(attempt, percent, now);
      else if (isComparable(attempt))
        measurements.set(attempt, {at: now, percent});
    },
    onDone(attempt, now) {
      // The members of a gang end together.
      if (attempt.task?.stepRun.request.gang === false)
        measure(attempt, DONE_PERCENT, now);
    },
  };
}
