/**
 * Adds up the waiting work that ranks before a step: it takes a share of the
 * room that becomes free.
 */
import type * as activeJob from './active_job.js';
import * as stepNeeds from './step_needs.js';
import * as workerRegistry from './worker_registry.js';

/** The waiting work of a scheduling cycle, for forecasts. */
export interface WorkAhead {
  /**
   * Number of tasks of the step's size that work of higher rank starts on the
   * workers before.
   */
  tasksBefore(
    stepRun: activeJob.StepRun,
    workers: readonly ApprovedWorker[],
  ): number;
  /** Whether more other work waits in the step's pool than has room there. */
  isContended(stepRun: activeJob.StepRun): boolean;
}

/** A worker, and the probability that the adviser lets it run the step. */
export interface ApprovedWorker {
  readonly worker: workerRegistry.RegisteredWorker;
  readonly approvedShare: number;
}

/**
 * Counts the waiting steps, sorted by rank. The position advances with the
 * questions, which are asked in this order, so that all of them together pass
 * over the waiting steps once.
 */
export function createWorkAhead(
  ordered: readonly activeJob.StepRun[],
  registry: workerRegistry.WorkerRegistry,
): WorkAhead {
  /** Processors that are waited for anywhere in a pool, and in one rack. */
  const byPool = new Map<string, number>();
  const byRack = new Map<string, number>();
  let totals: Totals | undefined;
  let position = 0;

  function countUpTo(stepRun: activeJob.StepRun): void {
    const end = ordered.indexOf(stepRun, position);
    for (; position < end; position++) {
      const other = ordered[position]!;
      const {preferredRack} = other.request;
      const {pool} = other.job.policy;
      const cpuMillis = waitingCpu(other);
      if (preferredRack === undefined) add(byPool, pool, cpuMillis);
      else add(byRack, preferredRack, cpuMillis);
    }
  }

  return {
    tasksBefore(stepRun, workers) {
      const {cpuMillis} = stepNeeds.reservedSize(stepRun);
      if (cpuMillis === 0) return 0;
      countUpTo(stepRun);
      totals ??= createTotals(ordered, registry);
      const anywhere = byPool.get(stepRun.job.policy.pool) ?? 0;
      const inPool = totals.capacityByPool.get(stepRun.job.policy.pool) ?? 0;
      let before = 0;
      for (const {worker, approvedShare} of workers) {
        const {rack, capacity} = worker.info;
        const share = capacity.cpuMillis * approvedShare;
        const inRack = totals.capacityByRack.get(rack) ?? 0;
        before += (anywhere * share) / Math.max(1, inPool);
        before += ((byRack.get(rack) ?? 0) * share) / Math.max(1, inRack);
      }
      return before / cpuMillis;
    },
    isContended(stepRun) {
      totals ??= createTotals(ordered, registry);
      const {pool} = stepRun.job.policy;
      const others =
        (totals.waitingByPool.get(pool) ?? 0) - waitingCpu(stepRun);
      return others > (totals.freeByPool.get(pool) ?? 0);
    },
  };
}

/** Processors of a cell, in thousandths of a core. */
interface Totals {
  readonly capacityByPool: ReadonlyMap<string, number>;
  readonly capacityByRack: ReadonlyMap<string, number>;
  readonly freeByPool: ReadonlyMap<string, number>;
  /** Needed by the tasks that wait. */
  readonly waitingByPool: ReadonlyMap<string, number>;
}

function createTotals(
  ordered: readonly activeJob.StepRun[],
  registry: workerRegistry.WorkerRegistry,
): Totals {
  const capacityByPool = new Map<string, number>();
  const capacityByRack = new Map<string, number>();
  const freeByPool = new Map<string, number>();
  const waitingByPool = new Map<string, number>();
  for (const worker of registry.workers.values()) {
    const {pool, rack, capacity} = worker.info;
    add(capacityByPool, pool, capacity.cpuMillis);
    add(capacityByRack, rack, capacity.cpuMillis);
    if (workerRegistry.acceptsTasks(worker))
      add(freeByPool, pool, Math.max(0, worker.free.cpuMillis));
  }
  for (const stepRun of ordered)
    add(waitingByPool, stepRun.job.policy.pool, waitingCpu(stepRun));
  return {capacityByPool, capacityByRack, freeByPool, waitingByPool};
}

/** Processors that the queued tasks of a step need, if they may start. */
function waitingCpu(stepRun: activeJob.StepRun): number {
  const {waitingIndexes, job, isOverQuota} = stepRun;
  if (isOverQuota || job.isAwaitingReconciliation) return 0;
  return waitingIndexes.length * stepNeeds.reservedSize(stepRun).cpuMillis;
}

function add(sums: Map<string, number>, key: string, amount: number): void {
  sums.set(key, (sums.get(key) ?? 0) + amount);
}
