/**
 * Keeps work off workers that fail everything they start. Such a worker is
 * always free, so without a safeguard it draws in task after task and fails
 * them all. Failures count only when they come from distinct jobs with no
 * success between, so a job that is itself broken condemns no worker.
 */
import type * as types from '@gypsumwall/types';
import type * as bookRecords from './book_records.js';

/** Failures of this many distinct jobs, with no success between. */
const DISTINCT_JOBS = 3;
const FIRST_PROBE_MS = 30_000;
const LONGEST_PROBE_MS = 600_000;
/**
 * At most this share of workers is kept out. When more seem to fail, the
 * cause is likely elsewhere, and an empty domain would serve nobody.
 */
const MOST_QUARANTINED = 0.2;

/** Watches how runs end on each worker. */
export interface Quarantine {
  noteFailure(
    worker: bookRecords.WorkerRecord,
    jobId: types.ids.JobId,
    now: number,
  ): void;
  noteSuccess(worker: bookRecords.WorkerRecord): void;
  forget(worker: bookRecords.WorkerRecord): void;
  /** Lets workers whose time has come take one probe. */
  tick(now: number): void;
  /** A quarantined worker holds its one probe. */
  noteProbeStarted(worker: bookRecords.WorkerRecord): void;
}

interface Suspect {
  readonly jobs: Set<types.ids.JobId>;
  waitMs: number;
  probeAt: number;
  /** Open for one task at present. */
  probing: boolean;
}

/**
 * Creates a quarantine over the workers of a domain. `onChange` is told of a
 * worker whose `quarantined` mark changed.
 */
export function createQuarantine(
  workers: ReadonlyMap<types.ids.WorkerId, bookRecords.WorkerRecord>,
  onChange: (worker: bookRecords.WorkerRecord) => void,
): Quarantine {
  const suspects = new Map<bookRecords.WorkerRecord, Suspect>();
  let quarantined = 0;

  function mark(worker: bookRecords.WorkerRecord, out: boolean): void {
    if (worker.quarantined === out) return;
    worker.quarantined = out;
    onChange(worker);
  }

  /** `waitMs` above zero: the worker has been quarantined and not cleared. */
  function isIn(suspect: Suspect): boolean {
    return suspect.waitMs > 0;
  }

  function keepOut(
    worker: bookRecords.WorkerRecord,
    suspect: Suspect,
    now: number,
  ): void {
    const again = isIn(suspect);
    const most = Math.max(1, Math.floor(workers.size * MOST_QUARANTINED));
    if (!again && quarantined >= most) return;
    if (!again) quarantined += 1;
    const doubled = Math.min(LONGEST_PROBE_MS, suspect.waitMs * 2);
    suspect.waitMs = again ? doubled : FIRST_PROBE_MS;
    suspect.probeAt = now + suspect.waitMs;
    suspect.probing = false;
    mark(worker, true);
  }

  function forget(worker: bookRecords.WorkerRecord): void {
    const suspect = suspects.get(worker);
    if (suspect === undefined) return;
    if (isIn(suspect)) quarantined -= 1;
    suspects.delete(worker);
    mark(worker, false);
  }

  return {
    forget,
    noteSuccess: forget,
    noteFailure(worker, jobId, now) {
      let suspect = suspects.get(worker);
      if (suspect === undefined) {
        suspect = {jobs: new Set(), waitMs: 0, probeAt: 0, probing: false};
        suspects.set(worker, suspect);
      }
      if (suspect.jobs.size < DISTINCT_JOBS) suspect.jobs.add(jobId);
      const probeFailed = isIn(suspect) && suspect.probing;
      const tooMany = !isIn(suspect) && suspect.jobs.size >= DISTINCT_JOBS;
      if (probeFailed || tooMany) keepOut(worker, suspect, now);
    },
    tick(now) {
      if (quarantined === 0) return;
      for (const [worker, suspect] of suspects) {
        if (!isIn(suspect) || suspect.probeAt > now) continue;
        suspect.probing = true;
        // A probe that never starts or never ends must not end the probing.
        suspect.probeAt = now + suspect.waitMs;
        mark(worker, false);
      }
    },
    noteProbeStarted(worker) {
      if (quarantined === 0) return;
      const suspect = suspects.get(worker);
      if (suspect === undefined || !isIn(suspect)) return;
      mark(worker, true);
    },
  };
}
