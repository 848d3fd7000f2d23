/**
 * Reserves workers for waiting gangs. A gang needs all its capacity at the same
 * moment; small tasks need little and use every bit that becomes free, so in a
 * full cell a wide gang would wait until the small work has ended. The workers
 * that are closest to having the capacity for the gang accept no task of lower
 * rank meanwhile, and become free within the duration of a small task.
 *
 * Pattern: a full cell of mixed widths in which tasks fail, so that gangs are
 * queued again.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as chooseWorker from './choose_worker.js';
import * as nearPlace from './near_place.js';
import * as rackOrder from './rack_order.js';
import * as stepNeeds from './step_needs.js';
import type * as workerRegistry from './worker_registry.js';

/**
 * Maximum share of the workers that are reserved: the work that they could run
 * meanwhile is lost.
 */
const MAX_RESERVED_SHARE = 0.25;
/**
 * Maximum number of gangs for which a cycle tries to reserve workers: the
 * search is expensive and few workers can be reserved.
 */
const MAX_GANGS_TRIED = 4;
/**
 * Reserves this multiple of the needed capacity, because more urgent work may
 * still start on reserved workers.
 */
const SPARE_FACTOR = 1.25;

/** The reservations of one scheduling cycle. */
export interface GangReservation {
  isReserved(worker: types.ids.WorkerId): boolean;
  /** Reserved workers and the gang for which each is reserved. */
  readonly reservations: ReadonlyMap<types.ids.WorkerId, activeJob.StepRun>;
  /** Reserves workers for a gang that does not fit now. */
  reserveFor(stepRun: activeJob.StepRun): void;
}

/** Creates the reservations of one cycle, without reserved workers. */
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
      const chosen = chooseWorkers(stepRun, mostFreeFirst(stepRun, context));
      if (chosen === undefined) return;
      if (reservations.size + chosen.length > maxReserved) return;
      for (const id of chosen) reservations.set(id, stepRun);
    },
  };

  /** In one rack if the gang runs slower elsewhere and a rack is large enough. */
  function chooseWorkers(
    stepRun: activeJob.StepRun,
    workers: readonly workerRegistry.RegisteredWorker[],
  ): types.ids.WorkerId[] | undefined {
    if (!nearPlace.hasNearPlace(stepRun.request))
      return chooseAmong(stepRun, workers);
    for (const inRack of rackOrder.nearRacks(stepRun, workers)) {
      const chosen = chooseAmong(stepRun, inRack);
      if (chosen !== undefined) return chosen;
    }
    return chooseAmong(stepRun, workers);
  }

  /** Undefined if only a part of the capacity is there, which is useless. */
  function chooseAmong(
    stepRun: activeJob.StepRun,
    workers: readonly workerRegistry.RegisteredWorker[],
  ): types.ids.WorkerId[] | undefined {
    const size = stepNeeds.reservedSize(stepRun);
    let missing = stepRun.request.taskCount * SPARE_FACTOR;
    const chosen: types.ids.WorkerId[] = [];
    for (const worker of workers) {
      if (missing <= 0) break;
      const {id, capacity} = worker.info;
      if (reservations.has(id)) continue;
      chosen.push(id);
      missing -= Math.min(
        types.resources.tasksThatFit(size, capacity),
        stepRun.request.maxPerWorker ?? Infinity,
      );
    }
    return missing > 0 ? undefined : chosen;
  }
}

/**
 * Returns the workers that may run the step, those with the most free
 * processors first.
 */
function mostFreeFirst(
  stepRun: activeJob.StepRun,
  context: chooseWorker.ChoiceContext,
): workerRegistry.RegisteredWorker[] {
  return chooseWorker
    .findAvailableWorkers(stepRun, context)
    .sort((a, b) => b.free.cpuMillis - a.free.cpuMillis);
}
