/**
 * Keeps room for gangs that wait. A gang needs all its room at one moment;
 * small tasks need little and take each bit that is freed, so in a full cell a
 * wide gang would wait until the small work has ended. The workers that are
 * nearest to having the gang's room take nothing of lower rank meanwhile, and
 * empty within the length of a small task.
 *
 * Pattern: a full cell of mixed widths in which a twentieth of the tasks fail,
 * so that gangs come back. Of 246 workers' wide gangs 0.953 were on time with
 * it and 0.884 without; at a fifth more load (0.924, 0.925) and with 82 workers
 * (0.918, 0.930) it made no difference beyond that between seeds; nor did it for
 * other kinds (virtual cell, five seeds, nothing else changed).
 */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as gangFit from './gang_fit.js';
import type * as workerRegistry from './worker_registry.js';

/**
 * Never hold more than this share of the workers: what they could run
 * meanwhile is lost.
 */
const MAX_RESERVED_SHARE = 0.25;
/** Looking for a gang's room takes a while, and there is little to hold. */
const MAX_GANGS_TRIED = 4;
/** More urgent work may still start on held workers; room for that. */
const SPARE_FACTOR = 1.25;

/** The room that one pass keeps. */
export interface GangReservation {
  isReserved(worker: types.ids.WorkerId): boolean;
  /** Workers whose room is kept, and the gang that it is kept for. */
  readonly reservations: ReadonlyMap<types.ids.WorkerId, activeJob.StepRun>;
  /** Holds workers for a gang that found no room now. */
  reserveFor(stepRun: activeJob.StepRun): void;
}

/** Creates the holds of one pass, with nothing held. */
export function createGangReservation(
  context: chooseWorker.ChoiceContext,
): GangReservation {
  const reservations = new Map<types.ids.WorkerId, activeJob.StepRun>();
  const maxReserved = context.registry.workers.size * MAX_RESERVED_SHARE;
  let gangsTried = 0;

  return {
    isReserved: (worker) => reservations.has(worker),
    reservations,
    reserveFor(stepRun) {
      if (gangsTried++ >= MAX_GANGS_TRIED) return;
      const size = chooseWorker.reservedSize(stepRun);
      let missing = stepRun.request.taskCount * SPARE_FACTOR;
      const chosen: types.ids.WorkerId[] = [];
      for (const worker of mostFreeFirst(stepRun, context)) {
        if (missing <= 0) break;
        const {id, capacity} = worker.info;
        if (reservations.has(id)) continue;
        chosen.push(id);
        missing -= Math.min(
          gangFit.tasksThatFit(size, capacity),
          stepRun.request.maxPerWorker ?? Infinity,
        );
      }
      // Part of the room would be held in vain.
      if (missing > 0 || reservations.size + chosen.length > maxReserved)
        return;
      for (const id of chosen) reservations.set(id, stepRun);
    },
  };
}

/** Workers that may run the step, those with the most free room first. */
function mostFreeFirst(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): workerRegistry.RegisteredWorker[] {
  return chooseWorker
    .findAvailableWorkers(stepRun, context)
    .sort((a, b) => b.free.cpuMillis - a.free.cpuMillis);
}
