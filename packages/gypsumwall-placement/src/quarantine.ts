/**
 * Places no tasks on workers that fail every task. Such a worker is always
 * free, so without quarantine it would attract task after task and fail all of
 * them. Only failures of distinct jobs without a success in between count, so
 * that a broken job can't put a worker into quarantine.
 */
import type * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';

/**
 * A worker is quarantined after failures of this many distinct jobs in a row.
 */
const MIN_FAILED_JOBS = 3;
const MIN_PROBE_DELAY_MS = 30_000;
const MAX_PROBE_DELAY_MS = 600_000;
/**
 * At most this share of workers is in quarantine. If more seem to fail, the
 * cause is likely elsewhere, and the domain must go on running jobs.
 */
const MAX_QUARANTINED_SHARE = 0.2;

/** Tracks how attempts end on each worker. */
export interface Quarantine {
  recordFailure(
    worker: allocationState.WorkerState,
    jobId: types.ids.JobId,
    now: number,
  ): void;
  recordSuccess(worker: allocationState.WorkerState): void;
  removeWorker(worker: allocationState.WorkerState): void;
  /** Lets each worker whose probe is due take one task. */
  tick(now: number): void;
  /**
   * Called when a task was placed on the worker. If the worker is in
   * quarantine, the task is its probe and no other task is placed there.
   */
  onTaskAllocated(worker: allocationState.WorkerState): void;
}

interface Suspect {
  readonly jobs: Set<types.ids.JobId>;
  probeDelayMs: number;
  probeAt: number;
  /** Whether it may take, or has taken, its probe task. */
  isProbing: boolean;
}

/**
 * Creates the quarantine of a domain. `onChange` is called with each worker
 * whose `isQuarantined` changed.
 */
export function createQuarantine(
  workers: ReadonlyMap<types.ids.WorkerId, allocationState.WorkerState>,
  onChange: (worker: allocationState.WorkerState) => void,
): Quarantine {
  const suspects = new Map<allocationState.WorkerState, Suspect>();
  let quarantinedCount = 0;

  function setQuarantined(
    worker: allocationState.WorkerState,
    isQuarantinedNow: boolean,
  ): void {
    if (worker.isQuarantined === isQuarantinedNow) return;
    worker.isQuarantined = isQuarantinedNow;
    onChange(worker);
  }

  /** True also while the worker may take its probe task. */
  function isQuarantined(suspect: Suspect): boolean {
    return suspect.probeDelayMs > 0;
  }

  function quarantineWorker(
    worker: allocationState.WorkerState,
    suspect: Suspect,
    now: number,
  ): void {
    const wasQuarantined = isQuarantined(suspect);
    const maxQuarantined = Math.max(
      1,
      Math.floor(workers.size * MAX_QUARANTINED_SHARE),
    );
    if (!wasQuarantined && quarantinedCount >= maxQuarantined) return;
    if (!wasQuarantined) quarantinedCount += 1;
    const doubledDelayMs = Math.min(
      MAX_PROBE_DELAY_MS,
      suspect.probeDelayMs * 2,
    );
    suspect.probeDelayMs = wasQuarantined ? doubledDelayMs : MIN_PROBE_DELAY_MS;
    suspect.probeAt = now + suspect.probeDelayMs;
    suspect.isProbing = false;
    setQuarantined(worker, true);
  }

  function removeWorker(worker: allocationState.WorkerState): void {
    const suspect = suspects.get(worker);
    if (suspect === undefined) return;
    if (isQuarantined(suspect)) quarantinedCount -= 1;
    suspects.delete(worker);
    setQuarantined(worker, false);
  }

  return {
    removeWorker,
    recordSuccess: removeWorker,
    recordFailure(worker, jobId, now) {
      let suspect = suspects.get(worker);
      if (suspect === undefined) {
        suspect = {
          jobs: new Set(),
          probeDelayMs: 0,
          probeAt: 0,
          isProbing: false,
        };
        suspects.set(worker, suspect);
      }
      if (suspect.jobs.size < MIN_FAILED_JOBS) suspect.jobs.add(jobId);
      const hasProbeFailed = isQuarantined(suspect) && suspect.isProbing;
      const hasTooManyFailures =
        !isQuarantined(suspect) && suspect.jobs.size >= MIN_FAILED_JOBS;
      if (hasProbeFailed || hasTooManyFailures)
        quarantineWorker(worker, suspect, now);
    },
    tick(now) {
      if (quarantinedCount === 0) return;
      for (const [worker, suspect] of suspects) {
        if (!isQuarantined(suspect) || suspect.probeAt > now) continue;
        suspect.isProbing = true;
        // A probe may never start or never end. The next one is then due after
        // the same delay.
        suspect.probeAt = now + suspect.probeDelayMs;
        setQuarantined(worker, false);
      }
    },
    onTaskAllocated(worker) {
      if (quarantinedCount === 0) return;
      const suspect = suspects.get(worker);
      if (suspect === undefined || !isQuarantined(suspect)) return;
      setQuarantined(worker, true);
    },
  };
}
