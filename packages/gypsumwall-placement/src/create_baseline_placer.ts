/**
 * The naive policy that the real one is measured against: first in, first
 * out, on the first worker with room for the declared size. It skips a job
 * that doesn't fit, learns nothing and moves nothing. Its books are as strict
 * as the real policy's: no worker, gang or quota is ever over-committed.
 */
import * as types from '@gypsumwall/types';
import type * as placer from './placer.js';

/** A job is given up after this many failures in a row. */
const FAILURES_IN_A_ROW = 5;

interface BookedWorker {
  worker: placer.PlacerWorker;
  free: types.resources.Resources;
  open: boolean;
}

interface WaitingJob {
  readonly jobId: types.ids.JobId;
  readonly spec: types.job.JobSpec;
  waiting: number[];
}

/** Settings of the baseline; there are none yet. */
export type BaselinePlacerOptions = Readonly<Record<string, never>>;

/** Creates the baseline policy with empty books. */
export function createBaselinePlacer(
  _options: BaselinePlacerOptions = {},
): placer.Placer {
  const workers = new Map<types.ids.WorkerId, BookedWorker>();
  const teams = new Map<types.ids.TeamId, placer.PlacerTeam>();
  const heldByTeam = new Map<types.ids.TeamId, types.resources.Resources>();
  const held = new Map<types.ids.TaskId, placer.RunningTask>();
  /** Insertion order is arrival order. */
  const queue = new Map<types.ids.JobId, WaitingJob>();
  const failures = new Map<types.ids.JobId, number>();
  let givenUp: Array<{jobId: types.ids.JobId; message: string}> = [];

  function book(task: placer.RunningTask): void {
    const booked = workers.get(task.workerId);
    if (booked !== undefined) {
      booked.free = types.resources.subtract(booked.free, task.size);
    }
    const team = task.spec.team;
    heldByTeam.set(team, types.resources.add(heldOf(team), task.size));
    held.set(task.taskId, task);
  }

  function unbook(task: placer.RunningTask): void {
    const booked = workers.get(task.workerId);
    if (booked !== undefined) {
      booked.free = types.resources.add(booked.free, task.size);
    }
    const team = task.spec.team;
    heldByTeam.set(team, types.resources.subtract(heldOf(team), task.size));
    held.delete(task.taskId);
  }

  function heldOf(team: types.ids.TeamId): types.resources.Resources {
    return heldByTeam.get(team) ?? types.resources.NO_RESOURCES;
  }

  function fitsQuota(spec: types.job.JobSpec): boolean {
    const quota = teams.get(spec.team)?.quota;
    if (quota === undefined) return true;
    const wanted = types.resources.add(heldOf(spec.team), spec.size);
    return types.resources.fits(wanted, quota);
  }

  function hasRoom(size: types.resources.Resources): boolean {
    for (const booked of workers.values()) {
      if (!booked.open) continue;
      if (types.resources.fits(size, booked.free)) return true;
    }
    return false;
  }

  function placeOne(job: WaitingJob): placer.RunningTask | undefined {
    const index = job.waiting[0];
    if (index === undefined || !fitsQuota(job.spec)) return undefined;
    for (const booked of workers.values()) {
      if (!booked.open) continue;
      if (!types.resources.fits(job.spec.size, booked.free)) continue;
      const task = {
        taskId: types.ids.makeTaskId(job.jobId, index),
        spec: job.spec,
        workerId: booked.worker.id,
        size: job.spec.size,
      };
      job.waiting.shift();
      book(task);
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
        placed.forEach(unbook);
        job.waiting = before;
        return [];
      }
      placed.push(task);
    }
    return placed;
  }

  function placeSeveral(job: WaitingJob, limit: number): placer.RunningTask[] {
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
    if (count < FAILURES_IN_A_ROW) return;
    failures.delete(jobId);
    queue.delete(jobId);
    givenUp.push({
      jobId,
      message: `gave up after ${count} failures in a row, the last: ${message}`,
    });
  }

  return {
    setTeam: (team) => void teams.set(team.id, team),
    setWorker(worker) {
      const known = workers.get(worker.id);
      const used =
        known === undefined
          ? usedOn(worker.id)
          : types.resources.subtract(known.worker.capacity, known.free);
      const free = types.resources.subtract(worker.capacity, used);
      workers.set(worker.id, {worker, free, open: true});
    },
    cordonWorker(workerId) {
      const booked = workers.get(workerId);
      if (booked !== undefined) booked.open = false;
    },
    removeWorker: (workerId) => void workers.delete(workerId),
    admit(spec, now) {
      if (spec.deadline !== undefined && spec.deadline <= now) {
        return {
          reason: 'deadline_passed',
          message: `deadline ${spec.deadline} is not after ${now}; send a later one`,
        };
      }
      const known = [...workers.values()];
      const some = known.some((each) =>
        types.resources.fits(spec.size, each.worker.capacity),
      );
      if (some || known.length === 0) return undefined;
      return {
        reason: 'can_never_run',
        message: `no worker is large enough for size ${JSON.stringify(spec.size)}; declare a smaller one`,
      };
    },
    enqueue(job) {
      const known = queue.get(job.jobId);
      if (known === undefined) {
        const waiting = job.waiting.slice();
        queue.set(job.jobId, {jobId: job.jobId, spec: job.spec, waiting});
        return;
      }
      const merged = new Set([...known.waiting, ...job.waiting]);
      known.waiting = [...merged];
    },
    cancel: (jobId) => void queue.delete(jobId),
    adopt(task) {
      const known = held.get(task.taskId);
      if (known !== undefined) unbook(known);
      book(task);
    },
    release(taskId, report) {
      const task = held.get(taskId);
      if (task === undefined) return;
      unbook(task);
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
      // Room only shrinks within a round: what is no smaller than a size that
      // found none needn't be tried. It changes no decision, only the time.
      const foundNone: types.resources.Resources[] = [];
      for (const job of queue.values()) {
        const left = limit - placements.length;
        if (left <= 0) break;
        const {size} = job.spec;
        if (foundNone.some((each) => types.resources.fits(each, size))) {
          continue;
        }
        const placed =
          job.spec.shape.kind === 'gang'
            ? placeGang(job)
            : placeSeveral(job, left);
        placements.push(...placed);
        if (job.waiting.length === 0) queue.delete(job.jobId);
        else if (!hasRoom(size)) foundNone.push(size);
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
      return 'no worker has room for the declared size';
    },
    takeAbandonedJobs() {
      const taken = givenUp;
      givenUp = [];
      return taken;
    },
  };

  function usedOn(workerId: types.ids.WorkerId): types.resources.Resources {
    let used = types.resources.NO_RESOURCES;
    for (const task of held.values()) {
      if (task.workerId !== workerId) continue;
      used = types.resources.add(used, task.size);
    }
    return used;
  }
}
