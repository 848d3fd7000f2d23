/**
 * Keeps work off workers that fail everything they start. Such a worker is
 * always free, so without a safeguard it draws in task after task and fails
 * them all. Failures count only when they come from distinct jobs with no
 * success between, so a job that is itself broken condemns no worker.
 */
import type * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';

/** Failures of this many distinct jobs, with no success between. */
const MIN_FAILED_JOBS = 3;
const MIN_PROBE_DELAY_MS = 30_000;
const MAX_PROBE_DELAY_MS = 600_000;
/**
 * At most this share of workers is kept out. When more seem to fail, the
 * cause is likely elsewhere, and an empty domain would serve nobody.
 */
const MAX_QUARANTINED_SHARE = 0.2;

/** Watches how runs end on each worker. */
export interface Quarantine {
  recordFailure(
    worker: allocationState.WorkerState,
    jobId: types.ids.JobId,
    now: number,
  ): void;
  recordSuccess(worker: allocationState.WorkerState): void;
  removeWorker(worker: allocationState.WorkerState): void;
  /** Lets workers whose time has come take one probe. */
  tick(now: number): void;
  /** A quarantined worker holds its one probe. */
  onTaskAllocated(worker: allocationState.WorkerState): void;
}

interface Suspect {
  readonly jobs: Set<types.ids.JobId>;
  probeDelayMs: number;
  probeAt: number;
  /** Open for one task at present. */
  isProbing: boolean;
}

/**
 * Creates a quarantine over the workers of a domain. `onChange` is told of a
 * worker whose `quarantined` mark changed.
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

  /** `waitMs` above zero: the worker has been quarantined and not cleared. */
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
    const doubled = Math.min(MAX_PROBE_DELAY_MS, suspect.probeDelayMs * 2);
    suspect.probeDelayMs = wasQuarantined ? doubled : MIN_PROBE_DELAY_MS;
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
      const probeFailed = isQuarantined(suspect) && suspect.isProbing;
      const tooMany =
        !isQuarantined(suspect) && suspect.jobs.size >= MIN_FAILED_JOBS;
      if (probeFailed || tooMany) quarantineWorker(worker, suspect, now);
    },
    tick(now) {
      if (quarantinedCount === 0) return;
      for (const [worker, suspect] of suspects) {
        if (!isQuarantined(suspect) || suspect.probeAt > now) continue;
        suspect.isProbing = true;
        // A probe that never starts or never ends must not end the probing.
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
