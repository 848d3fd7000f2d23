/**
 * Forecasts when tasks of a step could start on given workers, from their free
 * capacity, the expected ends of what runs there, and the waiting work of higher
 * rank. It is made for one scheduling cycle and computes only what is asked.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as nearPlace from './near_place.js';
import * as stepNeeds from './step_needs.js';
import * as workAhead from './work_ahead.js';
import type * as workerRegistry from './worker_registry.js';
import type * as workerSpeeds from './worker_speeds.js';

/** A worker on which tasks of a step may start. */
export interface PossibleWorker extends workAhead.ApprovedWorker {
  /** Earliest start, because approvals are asked for before. */
  readonly notBefore: types.clock.MonotonicMs;
}

/** An expected start and end of a task. */
export interface ExpectedRun {
  readonly startsAt: types.clock.MonotonicMs;
  readonly endsAt: types.clock.MonotonicMs;
}

/** The question of a forecast. */
export interface RoomQuestion {
  readonly stepRun: activeJob.StepRun;
  readonly workers: readonly PossibleWorker[];
  readonly tasks: number;
  /** Later starts are of no interest. */
  readonly until: types.clock.MonotonicMs;
}

/** Forecasts of one scheduling cycle. */
export interface RoomForecast {
  /**
   * Returns the expected runs of up to `tasks` tasks, earliest start first; of
   * fewer tasks if not all could start until the end of the question's time.
   */
  runsOf(question: RoomQuestion): ExpectedRun[];
  /**
   * Whether more other work waits in the step's pool than has room there, so that
   * a far start makes other work wait for as long as it runs longer.
   */
  isContended(stepRun: activeJob.StepRun): boolean;
}

/** Input of a forecast. */
export interface RoomForecastParts {
  readonly now: types.clock.MonotonicMs;
  /** Waiting steps, by rank. Questions are asked in this order. */
  readonly ordered: readonly activeJob.StepRun[];
  readonly registry: workerRegistry.WorkerRegistry;
  readonly attemptsOf: (
    worker: types.ids.WorkerId,
  ) => Iterable<activeJob.Attempt>;
  readonly speeds: workerSpeeds.WorkerSpeeds;
  /** Factor by which run times are longer at a far place. */
  readonly farFactor: number;
}

/** Estimated run times are off by up to this factor in either direction. */
const MAX_ESTIMATE_ERROR = 6;
/** Progress below this percentage tells little about the run time. */
const MIN_PERCENT = 10;
/**
 * A task that runs longer than estimated is expected to take this much of the
 * time that it has run.
 */
const OVERRUN_SHARE = 0.5;
/** Expected time until an attempt that is being stopped has ended. */
const STOP_MS = 500;

/** Creates the forecast of a cycle. */
export function createRoomForecast(parts: RoomForecastParts): RoomForecast {
  const {now, speeds} = parts;
  const endsByWorker = new Map<types.ids.WorkerId, ExpectedEnd[]>();
  const ahead = workAhead.createWorkAhead(parts.ordered, parts.registry);

  function endsOn(id: types.ids.WorkerId): ExpectedEnd[] {
    const known = endsByWorker.get(id);
    if (known !== undefined) return known;
    const ends: ExpectedEnd[] = [];
    for (const attempt of parts.attemptsOf(id)) {
      const remaining = remainingMs(attempt, parts);
      if (remaining === undefined) continue;
      const {size, stepRunId} = attempt;
      ends.push({at: types.clock.after(now, remaining), size, stepRunId});
    }
    ends.sort((a, b) => a.at - b.at);
    endsByWorker.set(id, ends);
    return ends;
  }

  return {
    runsOf({stepRun, workers, tasks, until}) {
      const openings = workers.flatMap((possible) =>
        openingsOn(
          possible,
          stepRun,
          endsOn(possible.worker.info.id),
          now,
          until,
        ),
      );
      openings.sort((a, b) => a.at - b.at);
      const runs: ExpectedRun[] = [];
      let slots = -ahead.tasksBefore(stepRun, workers);
      for (const {at, weight, worker} of openings) {
        slots += weight;
        const runMs =
          stepRun.request.expectedMs / speeds.speedOf(worker.info.id);
        while (runs.length < tasks && slots >= runs.length + 1)
          runs.push({startsAt: at, endsAt: types.clock.after(at, runMs)});
        if (runs.length === tasks) break;
      }
      return runs;
    },
    isContended: (stepRun) => ahead.isContended(stepRun),
  };
}

interface ExpectedEnd {
  readonly at: types.clock.MonotonicMs;
  readonly size: types.resources.Resources;
  readonly stepRunId: string;
}

/** A moment from which a worker has room for more tasks. */
interface Opening {
  readonly at: types.clock.MonotonicMs;
  /** Expected number of further tasks. */
  readonly weight: number;
  readonly worker: workerRegistry.RegisteredWorker;
}

function openingsOn(
  {worker, approvedShare, notBefore}: PossibleWorker,
  stepRun: activeJob.StepRun,
  ends: readonly ExpectedEnd[],
  now: types.clock.MonotonicMs,
  until: types.clock.MonotonicMs,
): Opening[] {
  const size = stepNeeds.reservedSize(stepRun);
  const openings: Opening[] = [];
  let {free} = worker;
  let slotsLeft = stepNeeds.remainingSlots(stepRun, worker);
  let counted = 0;

  function addOpening(at: types.clock.MonotonicMs): void {
    const fitting = Math.min(
      types.resources.tasksThatFit(size, free),
      slotsLeft,
      stepRun.request.taskCount,
    );
    const further = fitting - counted;
    if (further <= 0) return;
    counted = fitting;
    openings.push({
      at: at < notBefore ? notBefore : at,
      weight: further * approvedShare,
      worker,
    });
  }

  if (notBefore > until) return openings;
  addOpening(now);
  for (const end of ends) {
    if (end.at > until) break;
    free = types.resources.add(free, end.size);
    if (end.stepRunId === stepRun.id) slotsLeft++;
    addOpening(end.at);
  }
  return openings;
}

/**
 * Expected time until an attempt ends, in milliseconds; undefined if it runs
 * until it is cancelled or belongs to no known task.
 */
function remainingMs(
  attempt: activeJob.Attempt,
  {now, registry, speeds, farFactor}: RoomForecastParts,
): number | undefined {
  if (attempt.phase === 'stopping') return STOP_MS;
  const {task, workerId, startedAt, percent} = attempt;
  const worker = registry.workers.get(workerId);
  if (task === undefined || worker === undefined) return undefined;
  const {request} = task.stepRun;
  if (request.longRunning) return undefined;
  const isFar = nearPlace.isFarFromData(request, worker);
  const estimatedMs =
    (request.expectedMs * (isFar ? farFactor : 1)) / speeds.speedOf(workerId);
  if (startedAt === undefined) return estimatedMs;
  const ranMs = now - startedAt;
  const knownMs = attempt.percentChangedAt - startedAt;
  if (percent >= MIN_PERCENT && knownMs > 0) {
    const totalMs = clamp(
      (knownMs / percent) * 100,
      estimatedMs / MAX_ESTIMATE_ERROR,
      estimatedMs * MAX_ESTIMATE_ERROR,
    );
    if (totalMs > ranMs) return totalMs - ranMs;
  }
  if (ranMs < estimatedMs) return estimatedMs - ranMs;
  return ranMs * OVERRUN_SHARE;
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
