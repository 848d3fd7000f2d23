/** Measurements of a run of a cell with several deciders. */
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as stepLoad from './step_load.js';
import type * as virtualDecider from './virtual_decider.js';
import type * as virtualTimeline from './virtual_timeline.js';

/**
 * Interval at which the free capacity is sampled once the cell has filled. Only
 * steps that were already waiting at the previous sample count.
 */
const SAMPLE_INTERVAL_MS = 500;
const FIRST_SAMPLE_AFTER_MS = 6_000;
/** Gangs accepted within this time before the end are not counted. */
const GANG_MARGIN_MS = 5_000;

/** Totals at the end of a run. */
export interface SpreadCounts {
  readonly jobs: number;
  readonly starts: number;
  /** Share of the jobs that met their objective, by kind. */
  readonly onTime: ReadonlyMap<string, number>;
  /**
   * Share of the jobs with gangs of which a gang was started with all members
   * at once.
   */
  readonly gangsStartedWhole: number;
  /** Number of gangs that were started with only some of their members. */
  readonly gangsPartial: number;
  /**
   * Share of the capacity that is free on workers where no waiting task fits.
   */
  readonly unfitShare: number;
  /**
   * Share of the capacity that is free on workers where a waiting task would
   * fit.
   */
  readonly unusedShare: number;
  /**
   * Number of samples of a worker on which more is reserved than its capacity.
   */
  readonly overbooked: number;
}

/** Records the measurements of one run. */
export interface SpreadMeasures {
  recordAccepted(
    id: types.ids.JobId,
    kind: stepLoad.JobKind,
    request: scheduling.jobRequest.JobRequest,
    objectiveMs: number,
  ): void;
  recordStarts(starts: readonly scheduling.schedulerTypes.StartOrder[]): void;
  recordJobOver(id: types.ids.JobId): void;
  counts(): SpreadCounts;
}

interface PendingJob {
  readonly kind: stepLoad.JobKind;
  readonly at: types.clock.MonotonicMs;
  readonly objectiveMs: number;
}

/**
 * Creates empty measurements and starts the sampling of workers and waiting
 * steps.
 */
export function createSpreadMeasures(parts: {
  readonly timeline: virtualTimeline.VirtualTimeline;
  readonly endMs: number;
  readonly workerDeciders: () => readonly virtualDecider.VirtualDecider[];
  readonly jobDeciders: () => readonly virtualDecider.VirtualDecider[];
}): SpreadMeasures {
  const {timeline} = parts;
  const pendingJobs = new Map<types.ids.JobId, PendingJob>();
  const onTime = new Map<string, {met: number; all: number}>();
  const gangJobs = new Map<types.ids.JobId, boolean>();
  let waitingBefore = new Set<scheduling.activeJob.StepRun>();
  const samples = {unfit: 0, unused: 0, capacity: 0, overbooked: 0};
  let jobs = 0;
  let starts = 0;
  let gangsPartial = 0;

  function countObjective({kind}: PendingJob, met: boolean): void {
    const counts = onTime.get(kind.name) ?? {met: 0, all: 0};
    counts.all++;
    if (met) counts.met++;
    onTime.set(kind.name, counts);
  }

  function sample(): void {
    const waiting = findWaitingSteps(parts.jobDeciders());
    const sizes = findSmallestSizes(
      waiting.filter((step) => waitingBefore.has(step)),
    );
    waitingBefore = new Set(waiting);
    for (const {scheduler} of parts.workerDeciders()) {
      for (const {info, free} of scheduler.workerRegistry.workers.values()) {
        samples.capacity += info.capacity.cpuMillis;
        if (free.cpuMillis < 0 || free.memoryMb < 0) samples.overbooked++;
        if (sizes.length === 0 || free.cpuMillis <= 0) continue;
        const fits = sizes.some((size) => types.resources.fits(size, free));
        samples[fits ? 'unused' : 'unfit'] += free.cpuMillis;
      }
    }
    timeline.schedule(SAMPLE_INTERVAL_MS, sample);
  }

  function recordGang(
    stepRun: scheduling.activeJob.StepRun,
    members: number,
  ): void {
    if (members < stepRun.request.taskCount) gangsPartial++;
    else if (gangJobs.has(stepRun.job.id)) gangJobs.set(stepRun.job.id, true);
  }

  timeline.schedule(FIRST_SAMPLE_AFTER_MS, sample);
  return {
    recordAccepted(id, kind, request, objectiveMs) {
      jobs++;
      const at = timeline.now();
      pendingJobs.set(id, {kind, at, objectiveMs});
      const hasGang = request.steps.some((step) => step.gang);
      if (hasGang && at < parts.endMs - GANG_MARGIN_MS) gangJobs.set(id, false);
    },
    recordStarts(orders) {
      starts += orders.length;
      const gangs = new Map<scheduling.activeJob.StepRun, number>();
      for (const {attempt} of orders) {
        const {stepRun} = attempt.task!;
        if (!stepRun.request.gang) continue;
        gangs.set(stepRun, (gangs.get(stepRun) ?? 0) + 1);
      }
      for (const [stepRun, members] of gangs) recordGang(stepRun, members);
    },
    recordJobOver(id) {
      const pendingJob = pendingJobs.get(id);
      if (pendingJob === undefined) return;
      pendingJobs.delete(id);
      countObjective(
        pendingJob,
        timeline.now() - pendingJob.at <= pendingJob.objectiveMs,
      );
    },
    counts() {
      // A job that is already late at the end of the run missed its objective.
      for (const pendingJob of pendingJobs.values()) {
        if (timeline.now() - pendingJob.at > pendingJob.objectiveMs)
          countObjective(pendingJob, false);
      }
      const shares = [...onTime].map(
        ([name, {met, all}]) => [name, met / all] as const,
      );
      const startedWhole = [...gangJobs.values()].filter(Boolean).length;
      return {
        jobs,
        starts,
        onTime: new Map(shares),
        gangsStartedWhole: startedWhole / gangJobs.size,
        gangsPartial,
        unfitShare: samples.unfit / samples.capacity,
        unusedShare: samples.unused / samples.capacity,
        overbooked: samples.overbooked,
      };
    },
  };
}

function findWaitingSteps(
  deciders: readonly virtualDecider.VirtualDecider[],
): scheduling.activeJob.StepRun[] {
  return deciders
    .flatMap(({jobs}) => [...jobs.values()])
    .flatMap((job) => [...job.openOccurrences.values()])
    .flatMap(({steps}) => steps)
    .filter(({waitingIndexes}) => waitingIndexes.length > 0);
}

/**
 * Returns the task sizes of the steps, without those that are at least as large
 * as another one.
 */
function findSmallestSizes(
  steps: readonly scheduling.activeJob.StepRun[],
): types.resources.Resources[] {
  const smallest: types.resources.Resources[] = [];
  for (const {request} of steps) {
    const {size} = request;
    if (smallest.some((smaller) => types.resources.fits(smaller, size)))
      continue;
    smallest.push(size);
  }
  return smallest;
}
