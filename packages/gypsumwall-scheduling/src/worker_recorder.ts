/**
 * Marks jobs to be stored with the workers on which their tasks are about to
 * start.
 */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as placements from './placements.js';
import type * as workerRegistry from './worker_registry.js';

/** Latency above which commits of the store are slow; milliseconds. */
const SLOW_COMMIT_MS = 100;
/** Number of further workers recorded for a step while commits are slow. */
const MAX_FURTHER_WORKERS = 3;

/** Records workers for placements. */
export interface WorkerRecorder {
  /** Marks the jobs of placements that wait for a commit of this latency. */
  record(
    awaitingCommit: readonly placements.Placement[],
    commitMs: number,
  ): void;
}

/** Creates a recorder that adds the jobs to be stored to `dirty`. */
export function createWorkerRecorder(
  registry: workerRegistry.WorkerRegistry,
  dirty: Set<activeJob.ActiveJob>,
): WorkerRecorder {
  function recordWorker(
    job: activeJob.ActiveJob,
    id: types.ids.WorkerId,
  ): void {
    if (job.workers.has(id)) return;
    job.workers.set(id, 'recording');
    dirty.add(job);
  }

  /**
   * Records more approved workers for a step than it needs now. When the commit
   * is done, others may use the capacity that the step had found. Those that an
   * earlier cycle recorded count: a failover waits for all of them.
   */
  function recordFurtherWorkers(
    {job, advice, attempts: started}: activeJob.StepRun,
    needed: ReadonlySet<types.ids.WorkerId>,
  ): void {
    const used = new Set(needed);
    for (const attempt of started) used.add(attempt.workerId);
    const further = [...advice.approvals.keys()].filter(
      (id) => !used.has(id) && registry.workers.has(id),
    );
    const unrecorded = further.filter((id) => !job.workers.has(id));
    const recorded = further.length - unrecorded.length;
    const missing = Math.max(0, MAX_FURTHER_WORKERS - recorded);
    for (const id of unrecorded.slice(0, missing)) recordWorker(job, id);
  }

  return {
    record(awaitingCommit, commitMs) {
      for (const {stepRun, worker} of awaitingCommit)
        recordWorker(stepRun.job, worker.info.id);
      if (commitMs <= SLOW_COMMIT_MS) return;
      const needed = new Map<activeJob.StepRun, Set<types.ids.WorkerId>>();
      for (const {stepRun, worker} of awaitingCommit) {
        const ids = needed.get(stepRun) ?? new Set();
        needed.set(stepRun, ids.add(worker.info.id));
      }
      for (const [stepRun, ids] of needed) recordFurtherWorkers(stepRun, ids);
    },
  };
}
