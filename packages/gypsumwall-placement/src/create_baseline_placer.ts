/**
 * The baseline policy, to which the real one is compared: first in, first out,
 * on the first worker with enough free resources for the declared size. It
 * skips jobs that don't fit, learns no sizes and preempts no tasks. It respects
 * capacities, gangs and quotas as strictly as the real policy.
 */
import * as types from '@gypsumwall/types';
import type * as placer from './placer.js';

/** A job is abandoned after this many failures in a row. */
const MAX_CONSECUTIVE_FAILURES = 5;

interface WorkerState {
  worker: placer.PlacerWorker;
  free: types.resources.Resources;
  isSchedulable: boolean;
}

interface WaitingJob {
  readonly jobId: types.ids.JobId;
  readonly spec: types.job.JobSpec;
  waiting: number[];
}

/** The options of the baseline; there are none. */
export type BaselinePlacerOptions = Readonly<Record<string, never>>;

/** Creates the baseline policy without workers, teams or jobs. */
export function createBaselinePlacer(
  _options: BaselinePlacerOptions = {},
): placer.Placer {
  const workers = new Map<types.ids.WorkerId, WorkerState>();
  const teams = new Map<types.ids.TeamId, placer.PlacerTeam>();
  const allocatedByTeam = new Map<
    types.ids.TeamId,
    types.resources.Resources
  >();
  const runningTasks = new Map<types.ids.TaskId, placer.RunningTask>();
  /** The insertion order is the order of arrival. */
  const queue = new Map<types.ids.JobId, WaitingJob>();
  const failures = new Map<types.ids.JobId, number>();
  let abandonedJobs: Array<{jobId: types.ids.JobId; message: string}> = [];

  function allocate(task: placer.RunningTask): void {
    const state = workers.get(task.workerId);
    if (state !== undefined) {
      state.free = types.resources.subtract(state.free, task.size);
    }
    const team = task.spec.team;
    allocatedByTeam.set(
      team,
      types.resources.add(allocatedTo(team), task.size),
    );
    runningTasks.set(task.taskId, task);
  }

  function deallocate(task: placer.RunningTask): void {
    const state = workers.get(task.workerId);
    if (state !== undefined) {
      state.free = types.resources.add(state.free, task.size);
    }
    const team = task.spec.team;
    allocatedByTeam.set(
      team,
      types.resources.subtract(allocatedTo(team), task.size),
    );
    runningTasks.delete(task.taskId);
  }

  function allocatedTo(team: types.ids.TeamId): types.resources.Resources {
    return allocatedByTeam.get(team) ?? types.resources.NO_RESOURCES;
  }

  function fitsQuota(spec: types.job.JobSpec): boolean {
    const quota = teams.get(spec.team)?.quota;
    if (quota === undefined) return true;
    const wanted = types.resources.add(allocatedTo(spec.team), spec.size);
    return types.resources.fits(wanted, quota);
  }

  function fitsAnyWorker(size: types.resources.Resources): boolean {
    for (const state of workers.values()) {
      if (!state.isSchedulable) continue;
      if (types.resources.fits(size, state.free)) return true;
    }
    return false;
  }

  function placeOne(job: WaitingJob): placer.RunningTask | undefined {
    const index = job.waiting[0];
    if (index === undefined || !fitsQuota(job.spec)) return undefined;
    for (const state of workers.values()) {
      if (!state.isSchedulable) continue;
      if (!types.resources.fits(job.spec.size, state.free)) continue;
      const task = {
        taskId: types.ids.makeTaskId(job.jobId, index),
        spec: job.spec,
        workerId: state.worker.id,
        size: job.spec.size,
      };
      job.waiting.shift();
      allocate(task);
      return task;
    }
    return undefined;
  }

  function placeGang(job: WaitingJob): placer.RunningTask[] {
    const before = job.waiting.slice();
    const placed: placer.RunningTask[] = [];
    while (job.waiting.length > 0) {
      const task = placeOne(job);
      if (task === undefined) {
        placed.forEach(deallocate);
        job.waiting = before;
        return [];
      }
      placed.push(task);
    }
    return placed;
  }

  function placeUpTo(job: WaitingJob, limit: number): placer.RunningTask[] {
    const placed: placer.RunningTask[] = [];
    while (placed.length < limit) {
      const task = placeOne(job);
      if (task === undefined) break;
      placed.push(task);
    }
    return placed;
  }

  function countFailure(jobId: types.ids.JobId, message: string): void {
    const count = (failures.get(jobId) ?? 0) + 1;
    failures.set(jobId, count);
    if (count < MAX_CONSECUTIVE_FAILURES) return;
    failures.delete(jobId);
    queue.delete(jobId);
    abandonedJobs.push({
      jobId,
      message: `gave up after ${count} failures in a row, the last: ${message}`,
    });
  }

  return {
    setTeam: (team) => void teams.set(team.id, team),
    setWorker(worker) {
      const existing = workers.get(worker.id);
      const used =
        existing === undefined
          ? usedOn(worker.id)
          : types.resources.subtract(existing.worker.capacity, existing.free);
      const free = types.resources.subtract(worker.capacity, used);
      workers.set(worker.id, {worker, free, isSchedulable: true});
    },
    cordonWorker(workerId) {
      const state = workers.get(workerId);
      if (state !== undefined) state.isSchedulable = false;
    },
    removeWorker: (workerId) => void workers.delete(workerId),
    admit(spec, now) {
      if (spec.deadline !== undefined && spec.deadline <= now) {
        return {
          reason: 'deadline_passed',
          message: `deadline ${spec.deadline} is not after the current time ${now}; send a later one`,
        };
      }
      const existing = [...workers.values()];
      const fitsSome = existing.some((each) =>
        types.resources.fits(spec.size, each.worker.capacity),
      );
      if (fitsSome || existing.length === 0) return undefined;
      return {
        reason: 'can_never_run',
        message: `no worker is large enough for the declared size ${JSON.stringify(spec.size)}; declare a smaller one`,
      };
    },
    enqueue(job) {
      const existing = queue.get(job.jobId);
      if (existing === undefined) {
        const waiting = job.waiting.slice();
        queue.set(job.jobId, {jobId: job.jobId, spec: job.spec, waiting});
        return;
      }
      const merged = new Set([...existing.waiting, ...job.waiting]);
      existing.waiting = [...merged];
    },
    cancel: (jobId) => void queue.delete(jobId),
    adopt(task) {
      const existing = runningTasks.get(task.taskId);
      if (existing !== undefined) deallocate(existing);
      allocate(task);
    },
    release(taskId, report) {
      const task = runningTasks.get(taskId);
      if (task === undefined) return;
      deallocate(task);
      const {jobId} = types.ids.splitTaskId(taskId);
      switch (report.type) {
        case 'done':
          failures.delete(jobId);
          return;
        case 'failed':
          countFailure(jobId, report.message);
          return;
        case 'not_started':
        case 'stopped':
          return;
      }
    },
    reportUsage: () => undefined,
    decide(_now, limit) {
      const placements: placer.Placement[] = [];
      // Free resources only shrink within a call. A size that is at least as
      // large as one that didn't fit needn't be tried; this only saves time.
      const unplaceableSizes: types.resources.Resources[] = [];
      for (const job of queue.values()) {
        const remaining = limit - placements.length;
        if (remaining <= 0) break;
        const {size} = job.spec;
        if (unplaceableSizes.some((each) => types.resources.fits(each, size))) {
          continue;
        }
        const placed =
          job.spec.shape.kind === 'gang'
            ? placeGang(job)
            : placeUpTo(job, remaining);
        types.lists.append(placements, placed);
        if (job.waiting.length === 0) queue.delete(job.jobId);
        else if (!fitsAnyWorker(size)) unplaceableSizes.push(size);
      }
      return {placements, preemptions: []};
    },
    waitingTasks() {
      let count = 0;
      for (const job of queue.values()) count += job.waiting.length;
      return count;
    },
    explainWait(jobId) {
      const job = queue.get(jobId);
      if (job === undefined) return '';
      if (!fitsQuota(job.spec)) return `team ${job.spec.team} is at its quota`;
      return 'no worker has enough free resources for the declared size';
    },
    takeAbandonedJobs() {
      const jobs = abandonedJobs;
      abandonedJobs = [];
      return jobs;
    },
  };

  function usedOn(workerId: types.ids.WorkerId): types.resources.Resources {
    let used = types.resources.NO_RESOURCES;
    for (const task of runningTasks.values()) {
      if (task.workerId !== workerId) continue;
      used = types.resources.add(used, task.size);
    }
    return used;
  }
}
