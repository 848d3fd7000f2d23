/**
 * The work that waits in a cell, as an entry knows it from the logs, and how
 * much of it ranks before a new job. The holder ranks exactly; this is an
 * estimate without organisations and without the progress of chains.
 *
 * The tasks of a job are counted when a number of tasks is asked for, once for
 * all its changes until then: every entry learns of every change, and few of
 * them ask.
 */
import * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import type * as jobTable from './job_table.js';
import type * as storeRecords from './store_records.js';

/** How long the same ranks are used; milliseconds. */
const RANKS_VALID_MS = 100;

/** When the first task of a job has to start, from its acceptance. */
export interface StartLimits {
  /** For the job to be on time; milliseconds. */
  readonly onTimeMs: number;
  /** For its caller to have any use of it; milliseconds. */
  readonly usefulMs: number;
}

/** Numbers of tasks that rank before a new job. */
export interface TasksAhead {
  /** While the new job can still be on time. */
  readonly onTime: number;
  /** Once it is late. */
  readonly late: number;
}

/** The jobs that aren't done. */
export interface WaitingWork {
  onUpdated(job: jobTable.JobEntry, isLive: boolean): void;
  /** Number of jobs that aren't done. */
  jobs(): number;
  /** Number of jobs of which no task has started. */
  queuedJobs(): number;
  /** Number of the tasks of these jobs. */
  queuedTasks(): number;
  /** Number of all tasks that still have to start while this many run. */
  unstartedTasks(runs: number): number;
  /**
   * Number of tasks of this priority and more urgent ones that could start but
   * wait, while this many run.
   */
  waitingTasks(priority: number, runs: number): number;
  /** What ranks before a new job of a priority while this many tasks run. */
  ahead(priority: number, runs: number): TasksAhead;
}

/** Tasks of the jobs of one priority that are still of use to callers. */
interface RankedTasks {
  onTime: number;
  late: number;
}

/** Tasks of one priority whose steps wait for no other step. */
interface OpenTasks {
  /** Those of jobs of which no task has started. */
  queued: number;
  /** Those of other jobs; some of them run. */
  begun: number;
}

/** A job that isn't done, as far as no task has to be counted. */
interface LiveJob {
  /** Whether none of its tasks has started. */
  isQueued: boolean;
  /** Undefined until its tasks are counted. */
  counted: CountedJob | undefined;
  /** Undefined until they are needed; they never change. */
  limits: StartLimits | undefined;
}

interface CountedJob {
  /** Number of tasks that aren't done. */
  readonly tasks: number;
  /** Number of those whose steps wait for no other step. */
  readonly openTasks: number;
  /** Whether none of its tasks has started. */
  readonly isQueued: boolean;
  readonly priority: number;
  readonly acceptedAt: types.clock.WallMs;
}

/** When a job has to start, by its expected duration. */
export function startLimits(
  {slackFactor, targetMs}: scheduling.jobRequest.QueuePolicy,
  request: scheduling.jobRequest.JobRequest,
): StartLimits {
  const chainMs = scheduling.jobRequest.expectedChainMs(request);
  const objectiveMs = chainMs * slackFactor + targetMs;
  return {
    onTimeMs: objectiveMs - chainMs,
    usefulMs: objectiveMs * scheduling.jobOrder.LATE_FACTOR - chainMs,
  };
}

/** Creates the work of a cell without jobs. */
export function createWaitingWork(clock: types.clock.Clock): WaitingWork {
  const live = new Map<jobTable.JobEntry, LiveJob>();
  /** Jobs that have changed since their tasks were counted. */
  const changed = new Set<jobTable.JobEntry>();
  let queuedJobs = 0;
  let queuedTasks = 0;
  let liveTasks = 0;
  const openTasks = new Map<number, OpenTasks>();
  let ranks = new Map<number, RankedTasks>();
  let rankedAt: types.clock.MonotonicMs | undefined;

  function add(job: CountedJob, sign: 1 | -1): void {
    const open = openTasks.get(job.priority) ?? {queued: 0, begun: 0};
    openTasks.set(job.priority, open);
    open[job.isQueued ? 'queued' : 'begun'] += sign * job.openTasks;
    liveTasks += sign * job.tasks;
    if (job.isQueued) queuedTasks += sign * job.tasks;
  }

  function remove(job: jobTable.JobEntry): void {
    const known = live.get(job);
    if (known === undefined) return;
    if (known.isQueued) queuedJobs--;
    if (known.counted !== undefined) add(known.counted, -1);
    live.delete(job);
    changed.delete(job);
  }

  function countChanged(): void {
    for (const job of changed) {
      const known = live.get(job)!;
      if (known.counted !== undefined) add(known.counted, -1);
      known.counted = countJob(job.record!, job.progress);
      add(known.counted, 1);
    }
    changed.clear();
  }

  /** Share of the open tasks of begun jobs that don't run. */
  function waitingShare(runs: number): number {
    let begunTasks = 0;
    for (const {begun} of openTasks.values()) begunTasks += begun;
    return begunTasks > 0 ? Math.max(0, 1 - runs / begunTasks) : 0;
  }

  function rank(runs: number): void {
    const wall = clock.wall();
    const share = waitingShare(runs);
    ranks = new Map();
    for (const [{record}, job] of live) {
      const {priority, acceptedAt, isQueued, openTasks: open} = job.counted!;
      job.limits ??= startLimits(record!.policy, record!.request);
      const {limits} = job;
      const ageMs = wall - acceptedAt;
      if (ageMs > limits.usefulMs) continue;
      const ranked = ranks.get(priority) ?? {onTime: 0, late: 0};
      const waiting = isQueued ? open : open * share;
      ranked[ageMs <= limits.onTimeMs ? 'onTime' : 'late'] += waiting;
      ranks.set(priority, ranked);
    }
  }

  return {
    onUpdated(job, isLive) {
      const {record, progress} = job;
      const known = live.get(job);
      if (
        !isLive ||
        record === undefined ||
        (known === undefined &&
          scheduling.jobRequest.isOpenEnded(record.request))
      ) {
        remove(job);
        return;
      }
      const work = known ?? {
        isQueued: false,
        counted: undefined,
        limits: undefined,
      };
      if (work.isQueued) queuedJobs--;
      work.isQueued = progress.phase === 'queued';
      if (work.isQueued) queuedJobs++;
      live.set(job, work);
      changed.add(job);
    },
    jobs: () => live.size,
    queuedJobs: () => queuedJobs,
    queuedTasks() {
      countChanged();
      return queuedTasks;
    },
    unstartedTasks(runs) {
      countChanged();
      return Math.max(queuedTasks, liveTasks - runs);
    },
    waitingTasks(priority, runs) {
      countChanged();
      const share = waitingShare(runs);
      let waiting = 0;
      for (const [other, {queued, begun}] of openTasks)
        if (other <= priority) waiting += queued + begun * share;
      return waiting;
    },
    ahead(priority, runs) {
      const now = clock.monotonic();
      if (rankedAt === undefined || now - rankedAt >= RANKS_VALID_MS) {
        countChanged();
        rank(runs);
        rankedAt = now;
      }
      const ahead = {onTime: 0, late: 0};
      for (const [other, {onTime, late}] of ranks) {
        ahead.late += onTime;
        if (other <= priority) ahead.late += late;
        // Late work of the same priority gets its turn first, or the queue
        // would admit what makes it later still.
        if (other <= priority) ahead.onTime += onTime;
        if (other === priority) ahead.onTime += late;
      }
      return ahead;
    },
  };
}

function countJob(
  {request, policy, acceptedAt}: storeRecords.JobRecord,
  progress: scheduling.jobProgress.JobProgress,
): CountedJob {
  return {
    ...countTasks(request, progress),
    isQueued: progress.phase === 'queued',
    priority: policy.priority,
    acceptedAt,
  };
}

/** Numbers of tasks of a job that aren't done. */
function countTasks(
  {steps}: scheduling.jobRequest.JobRequest,
  {occurrences}: scheduling.jobProgress.JobProgress,
): Pick<CountedJob, 'tasks' | 'openTasks'> {
  const [progress = []] = Object.values(occurrences);
  const left = steps.map(({taskCount}, step) => {
    const done = progress[step]?.done ?? [];
    return done === 'all' ? 0 : taskCount - done.length;
  });
  let tasks = 0;
  let openTasks = 0;
  steps.forEach(({after}, step) => {
    const isOpen = after.every((earlier) => left[earlier] === 0);
    tasks += left[step]!;
    if (isOpen) openTasks += left[step]!;
  });
  return {tasks, openTasks};
}
