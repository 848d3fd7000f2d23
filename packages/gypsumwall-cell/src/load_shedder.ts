/**
 * Refuses submissions while the holder's processor would need too long to start
 * the work that waits, or to start the job while its caller has any use of it. A
 * cell that accepts more than its holder can start never runs the rest, and what
 * it does run is late. Work that would wait too long for workers is refused by
 * `room_admission`.
 */
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as holderCapacity from './holder_capacity.js';
import type * as jobTable from './job_table.js';
import * as offeredTasks from './offered_tasks.js';
import * as roomAdmission from './room_admission.js';
import * as waitingWork from './waiting_work.js';

/** Fewer jobs are no sign of overload, however many tasks they have. */
const MIN_JOBS = 15;
/**
 * Processor time that a task takes at a holder that hasn't measured its rate,
 * on one core, from its submission to its end; milliseconds.
 */
const TASK_PROCESSOR_MS = 1.4;
/** Cores that one process uses. */
const MAX_CORES = 1;
/**
 * Time within which the holder should be able to start all work, also that which
 * waits for earlier steps; milliseconds.
 */
const MAX_TOTAL_BACKLOG_MS = 20_000;
/**
 * Time within which a holder that has measured its rate should be able to start
 * what could start before a job; milliseconds.
 */
const MAX_BACKLOG_MS = 10_000;
/**
 * Time within which entries have read the jobs that the others have accepted;
 * milliseconds.
 */
const READ_DELAY_MS = 700;
/**
 * Time for which a capacity is used after it was read. A holder at its limit
 * stores it every second; a takeover takes some seconds. An older build doesn't
 * replace it; milliseconds.
 */
const CAPACITY_VALID_MS = 20_000;
/** Bounds of the delay after which a refused caller should retry; milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 10_000;
const MS_PER_SECOND = 1_000;

/**
 * Whether a caller offers a job to this entry, or an entry that has admitted it
 * wants it appended.
 */
export type Stage = 'offered' | 'append';

/** Why a job is refused. */
export type RefusalReason = 'backlog' | 'no_use' | 'no_room';

/** Whether a submission may be accepted. */
export type Verdict =
  | {readonly type: 'admitted'}
  | {
      readonly type: 'refused';
      readonly reason: 'backlog' | 'no_use';
      readonly retryAfterMs: number;
      /** Time in which the holder could start all that waits; milliseconds. */
      readonly backlogMs: number;
    }
  | roomAdmission.RoomRefusal;

/** Options of a shedder. */
export interface LoadShedderOptions {
  /** Processor capacity of the holder, in cores. */
  readonly holderCores: () => number;
  /** What the holder can do; undefined unless it is at its limit. */
  readonly capacity: () => holderCapacity.HolderCapacity | undefined;
  /** Number of entries that accept jobs. */
  readonly entries: () => number;
  /** Decides by the room of the workers; absent where nothing measures it. */
  readonly room?: roomAdmission.RoomAdmission;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
}

/** Decides by the jobs that aren't done, as an entry knows them. */
export interface LoadShedder {
  onUpdated(job: jobTable.JobEntry, isLive: boolean): void;
  check(
    stage: Stage,
    policy: scheduling.jobRequest.QueuePolicy,
    request: scheduling.jobRequest.JobRequest,
    organisation?: types.ids.OrganisationId,
  ): Verdict;
}

/** What accepting a job means. */
interface Estimate {
  readonly reason: 'backlog' | 'no_use';
  readonly backlogMs: number;
  /** How much more waits than may wait; negative if there is room. */
  readonly excessMs: number;
  /**
   * The same for all jobs of the priority that callers offer to entries until
   * they know of each other's.
   */
  readonly unreadMs?: number;
}

const ADMITTED: Verdict = {type: 'admitted'};

/** Creates a shedder that knows no jobs. */
export function createLoadShedder({
  holderCores,
  capacity,
  entries,
  room,
  clock,
  random,
}: LoadShedderOptions): LoadShedder {
  const offered = offeredTasks.createOfferedTasks(clock);
  let lastCapacity: holderCapacity.HolderCapacity | undefined;
  let validUntil = clock.monotonic();
  const work = waitingWork.createWaitingWork(clock);

  function validCapacity(): holderCapacity.HolderCapacity | undefined {
    const now = clock.monotonic();
    const measured = capacity();
    if (measured !== lastCapacity) {
      lastCapacity = measured;
      validUntil = types.clock.after(now, CAPACITY_VALID_MS);
    }
    return now < validUntil ? measured : undefined;
  }

  /** Estimate for a holder that isn't known to be at its limit. */
  function estimateAssumed(): Estimate {
    const cores = Math.min(holderCores(), MAX_CORES);
    const backlogMs = (work.queuedTasks() * TASK_PROCESSOR_MS) / cores;
    const excessMs = backlogMs - MAX_TOTAL_BACKLOG_MS;
    return {reason: 'backlog', backlogMs, excessMs};
  }

  function estimateMeasured(
    {startsPerSecond, runs}: holderCapacity.HolderCapacity,
    policy: scheduling.jobRequest.QueuePolicy,
    request: scheduling.jobRequest.JobRequest,
  ): Estimate {
    const timeFor = (tasks: number) =>
      (tasks * MS_PER_SECOND) / startsPerSecond;
    const backlogMs = timeFor(work.waitingTasks(policy.priority, runs));
    const totalMs = timeFor(work.unstartedTasks(runs));
    const backlogExcessMs = Math.max(
      backlogMs - MAX_BACKLOG_MS,
      totalMs - MAX_TOTAL_BACKLOG_MS,
    );
    const limits = waitingWork.startLimits(policy, request);
    const ahead = work.ahead(policy.priority, runs);
    const useExcessMs = Math.min(
      timeFor(ahead.onTime) - limits.onTimeMs,
      timeFor(ahead.late) - limits.usefulMs,
    );
    const unreadTasks =
      offered.perMs(policy.priority) * entries() * READ_DELAY_MS;
    return {
      reason: backlogExcessMs > 0 ? 'backlog' : 'no_use',
      backlogMs,
      excessMs: Math.max(backlogExcessMs, useExcessMs),
      unreadMs: timeFor(unreadTasks),
    };
  }

  function estimate(
    policy: scheduling.jobRequest.QueuePolicy,
    request: scheduling.jobRequest.JobRequest,
  ): Estimate | undefined {
    if (scheduling.jobRequest.isOpenEnded(request)) return undefined;
    const measured = validCapacity();
    if (measured === undefined)
      return work.queuedJobs() < MIN_JOBS ? undefined : estimateAssumed();
    // Jobs that have begun may have most of the tasks that wait.
    return work.jobs() < MIN_JOBS
      ? undefined
      : estimateMeasured(measured, policy, request);
  }

  function checkHolder(
    stage: Stage,
    policy: scheduling.jobRequest.QueuePolicy,
    request: scheduling.jobRequest.JobRequest,
  ): Verdict {
    if (stage === 'offered') offered.add(policy.priority, countTasks(request));
    const estimated = estimate(policy, request);
    if (estimated === undefined) return ADMITTED;
    const {excessMs, unreadMs = 0} = estimated;
    // Together, the entries admit as much as there is room for, although each
    // of them learns late what the others have admitted.
    const share = stage === 'offered' ? random.next() : 0;
    return excessMs <= -share * unreadMs ? ADMITTED : refusal(estimated);
  }

  return {
    onUpdated: (job, isLive) => work.onUpdated(job, isLive),
    check(stage, policy, request, organisation) {
      const verdict = checkHolder(stage, policy, request);
      if (verdict.type === 'refused') return verdict;
      return room?.check(policy, request, organisation) ?? verdict;
    },
  };
}

/** What a refusal was based on, for the log. */
export function describeRefusal(
  refusal: Extract<Verdict, {readonly type: 'refused'}>,
): Record<string, string | number | boolean> {
  const {reason} = refusal;
  const retryAfterMs = Math.round(refusal.retryAfterMs);
  switch (reason) {
    case 'backlog':
    case 'no_use':
      return {reason, backlogMs: Math.round(refusal.backlogMs), retryAfterMs};
    case 'no_room':
      return {
        reason,
        ...roomAdmission.describeRefusal(refusal),
        retryAfterMs,
      };
  }
}

/** The refusal of a job until the excess should be worked off. */
function refusal({reason, backlogMs, excessMs}: Estimate): Verdict {
  const retryAfterMs = Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, excessMs),
  );
  return {type: 'refused', reason, retryAfterMs, backlogMs};
}

function countTasks({steps}: scheduling.jobRequest.JobRequest): number {
  return steps.reduce((sum, step) => sum + step.taskCount, 0);
}
