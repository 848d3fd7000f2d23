/**
 * What an entry does for callers: takes jobs, cancels them, and tells how they
 * stand. A job is accepted once its record stands in the log; nobody else has
 * to agree, so any entry that reaches the store can accept.
 */
import * as result from 'true-myth/result';
import type * as telemetry from '@gypsumwall/telemetry';
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as batchAppender from './batch_appender.js';
import type * as jobTable from './job_table.js';
import type * as logFollower from './log_follower.js';
import type * as ports from './ports.js';
import type * as storeHealth from './store_health.js';
import * as storeRecords from './store_records.js';

/** How long an append is tried: callers wait 3 s; milliseconds. */
const APPEND_PATIENCE_MS = 2_400;
/** When a caller should come back while the store is away; milliseconds. */
const STORE_RETRY_AFTER_MS = 1_000;
/**
 * How long a job is looked for in the logs: callers wait 3 s, and peers are
 * asked after that. An entry that is behind reads for up to 6 s, seen on a link
 * of 10 Mbit/s; milliseconds.
 */
const FIND_PATIENCE_MS = 800;
/**
 * An older copy of the logs is not counted in, and peers are asked for the
 * state of jobs. Callers are promised a number that is 2 s old at most, which
 * leaves half a second for the answer; a store that is sixty times slower than
 * usual lets copies grow 1.1 s old, worked out; milliseconds.
 */
const CURRENT_COPY_MS = 1_500;

/**
 * A copy that is younger tells the state of a job that isn't over as it is; an
 * older one is brought up to date first. Callers learn of an end that much
 * later at most; milliseconds.
 */
export const FRESH_STATE_MS = 20;
/** How long a question about a state waits for that; milliseconds. */
const REFRESH_PATIENCE_MS = 300;
/**
 * An append without an answer for so long has the log read, so that a store
 * that is away is noticed; a usual one takes 10 ms; milliseconds.
 */
const SUSPECT_STORE_MS = 150;

/** What became of a call. */
export type JobServiceAnswer<Value> =
  | {readonly type: 'ok'; readonly value: Value}
  /** Nothing was done, and nothing will be. */
  | {readonly type: 'not_run'; readonly retryAfterMs: number}
  /** It may have been done; the caller should ask again. */
  | {readonly type: 'unknown'}
  | {readonly type: 'absent'}
  | {readonly type: 'invalid'; readonly message: string};

/** Serves callers. */
export interface JobService {
  submit(
    id: types.ids.JobId,
    policy: scheduling.jobRequest.QueuePolicy,
    request: scheduling.jobRequest.JobRequest,
  ): Promise<JobServiceAnswer<undefined>>;
  cancel(
    id: types.ids.JobId,
    queue: string,
  ): Promise<JobServiceAnswer<undefined>>;
  phaseOf(
    id: types.ids.JobId,
    queue: string,
  ): Promise<JobServiceAnswer<scheduling.jobProgress.JobPhase>>;
  /**
   * What became of a job that is over, which no copy is too old for; else a
   * refusal.
   */
  finalPhaseOf(
    id: types.ids.JobId,
    queue: string,
  ): Promise<JobServiceAnswer<scheduling.jobProgress.JobPhase>>;
  /**
   * Jobs of a queue of which no task has started. An entry that the store has
   * turned away lacks what the others accept, until it has read all of that:
   * 4 were told where 20 had waited for 5 s. It must not take its own copy for
   * an answer then.
   */
  pendingIn(queue: string): Promise<JobServiceAnswer<number>>;
  /** Whether this entry knows what the store had a moment ago. */
  isCurrent(): boolean;
  /** What appends took lately, in milliseconds; undefined: there were none. */
  storeLatencyMs(): number | undefined;
}

/** What a desk is made with. */
export interface JobServiceOptions {
  readonly jobsLog: ports.KeyedLog;
  readonly jobs: jobTable.JobTable;
  readonly follower: logFollower.LogFollower;
  readonly storeHealth: storeHealth.StoreHealth;
  /** How old this entry's copy of the logs is at most, in milliseconds. */
  readonly copyAgeMs: () => number;
  /** Reads all logs that tell of jobs to their ends; false if that failed. */
  readonly catchUp: () => Promise<boolean>;
  /** Whether another entry may append what the store refuses here. */
  readonly mayHandOn: () => boolean;
  /** Reads the log of states to its end, unless that was done just now. */
  readonly refreshStates: () => Promise<boolean>;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  /** Whether any worker could ever run a task of this size. */
  readonly couldEverFit: (
    pool: string,
    step: scheduling.jobRequest.StepRequest,
  ) => boolean;
}

/** Creates the desk of one entry. */
export function createJobService(options: JobServiceOptions): JobService {
  const {jobs, follower, clock, logger} = options;
  const appender = batchAppender.createBatchAppender({
    log: options.jobsLog,
    clock,
    storeHealth: options.storeHealth,
    isStoreAway: () => follower.reachableSince() === undefined,
    mayHandOn: options.mayHandOn,
  });

  /** Appends, several times if need be: every record here may be repeated. */
  async function store(
    record: storeRecords.StoreRecord,
  ): Promise<'stored' | 'not_run' | 'unknown'> {
    const entry = storeRecords.encode(record);
    const until = types.clock.after(clock.monotonic(), APPEND_PATIENCE_MS);
    const appended = appender.append(entry, until);
    void readIfOverdue(appended);
    const answer = await appended;
    if (result.isOk(answer)) return 'stored';
    logger.info('append_failed', {
      key: entry.key,
      error: types.stepError.describeError(answer.error),
    });
    if (answer.error.effect === 'unknown') return 'unknown';
    await findOutWhoIsRefused();
    return 'not_run';
  }

  /**
   * A store that turns this entry away refuses reads as well; one whose log has
   * too many appends in line doesn't. Only in the first case can a peer do
   * better, and in the second its appends would make the line longer.
   */
  async function findOutWhoIsRefused(): Promise<void> {
    const patience = outOfPatience(REFRESH_PATIENCE_MS);
    await Promise.race([follower.catchUp(), patience]);
  }

  /** Finds out whether the store is away; the log is read seldom otherwise. */
  async function readIfOverdue(appended: Promise<unknown>): Promise<void> {
    const answered = new AbortController();
    void appended.then(() => answered.abort());
    await types.clock.sleepFor(clock, SUSPECT_STORE_MS, answered.signal);
    if (!answered.signal.aborted) await follower.catchUp();
  }

  async function storeAndAnswer(
    event: string,
    record: storeRecords.StoreRecord & {readonly jobId: types.ids.JobId},
  ): Promise<JobServiceAnswer<undefined>> {
    const startedAt = clock.monotonic();
    const outcome = await store(record);
    logger.info(event, {
      job: record.jobId,
      outcome,
      tookMs: Math.round(clock.monotonic() - startedAt),
    });
    switch (outcome) {
      case 'stored':
        return {type: 'ok', value: undefined};
      case 'not_run':
        return {type: 'not_run', retryAfterMs: STORE_RETRY_AFTER_MS};
      case 'unknown':
        return {type: 'unknown'};
    }
  }

  /** A job without a request is over; it is known once its end is. */
  function knownJob(id: types.ids.JobId): jobTable.JobEntry | undefined {
    const job = jobs.get(id);
    if (job?.record !== undefined) return job;
    const over =
      job !== undefined && scheduling.jobProgress.isOver(job.progress.phase);
    return over ? job : undefined;
  }

  async function outOfPatience(patienceMs: number): Promise<false> {
    await types.clock.sleepFor(clock, patienceMs);
    return false;
  }

  /** The state as the log has it now, or as it was known if that can't be read. */
  async function freshPhase(
    job: jobTable.JobEntry,
  ): Promise<scheduling.jobProgress.JobPhase> {
    if (!scheduling.jobProgress.isOver(job.progress.phase)) {
      const patience = outOfPatience(REFRESH_PATIENCE_MS);
      await Promise.race([options.refreshStates(), patience]);
    }
    return job.progress.phase;
  }

  /**
   * Looks for a job at the ends of all logs that tell of jobs. The request of
   * one that is over is dropped from one of them, and only the other knows it:
   * an entry that had just started told 410 of jobs that were done.
   */
  async function findInLogs(
    id: types.ids.JobId,
  ): Promise<jobTable.JobEntry | 'not_read' | undefined> {
    const current = await Promise.race([
      options.catchUp(),
      outOfPatience(FIND_PATIENCE_MS),
    ]);
    return knownJob(id) ?? (current ? undefined : 'not_read');
  }

  /** The job, looked for in the logs if it isn't known here. */
  async function find(
    id: types.ids.JobId,
    queue: string,
  ): Promise<JobServiceAnswer<jobTable.JobEntry>> {
    const known = knownJob(id) ?? (await findInLogs(id));
    if (known === 'not_read') {
      return {type: 'not_run', retryAfterMs: STORE_RETRY_AFTER_MS};
    }
    return known?.queue === queue
      ? {type: 'ok', value: known}
      : {type: 'absent'};
  }

  const isCurrent = () => options.copyAgeMs() <= CURRENT_COPY_MS;

  /**
   * The first step that no worker has room for. An old copy doesn't know the
   * workers that have come since, and a refusal of this kind is for good.
   */
  function tooLargeStep(
    pool: string,
    {steps}: scheduling.jobRequest.JobRequest,
  ): number | undefined {
    if (!isCurrent()) return undefined;
    const step = steps.findIndex((one) => !options.couldEverFit(pool, one));
    return step < 0 ? undefined : step;
  }

  return {
    async submit(id, policy, request) {
      if (jobs.get(id) !== undefined) return {type: 'ok', value: undefined};
      const fault = scheduling.jobRequest.describeFault(request);
      if (fault !== undefined) return {type: 'invalid', message: fault};
      const tooLarge = tooLargeStep(policy.pool, request);
      if (tooLarge !== undefined) {
        const message = `step ${tooLarge}: no worker has room for its size`;
        return {type: 'invalid', message};
      }
      if (follower.reachableSince() === undefined) {
        logger.info('job_refused', {job: id, reason: 'the store is away'});
        return {type: 'not_run', retryAfterMs: STORE_RETRY_AFTER_MS};
      }
      const job = {request, policy, acceptedAt: clock.wall()};
      return storeAndAnswer('job_submitted', {kind: 'job', jobId: id, job});
    },
    async cancel(id, queue) {
      const found = await find(id, queue);
      if (found.type !== 'ok') return found;
      const {phase} = found.value.progress;
      if (scheduling.jobProgress.isOver(phase)) {
        return {type: 'ok', value: undefined};
      }
      const record = {kind: 'cancel', jobId: id, dropped: false} as const;
      return storeAndAnswer('job_cancel_asked', record);
    },
    async phaseOf(id, queue) {
      const found = await find(id, queue);
      if (found.type !== 'ok') return found;
      return {type: 'ok', value: await freshPhase(found.value)};
    },
    finalPhaseOf(id, queue) {
      const job = jobs.get(id);
      const phase = job?.queue === queue ? job.progress.phase : undefined;
      const isFinal =
        phase !== undefined && scheduling.jobProgress.isOver(phase);
      return Promise.resolve(
        isFinal
          ? {type: 'ok', value: phase}
          : {type: 'not_run', retryAfterMs: STORE_RETRY_AFTER_MS},
      );
    },
    pendingIn(queue) {
      const pending = isCurrent() ? jobs.pendingIn(queue) : undefined;
      const outcome = pending === undefined ? 'not_run' : 'ok';
      const ageMs = Math.round(options.copyAgeMs());
      logger.info('pending_asked', {queue, pending, ageMs, outcome});
      return Promise.resolve(
        pending === undefined
          ? {type: 'not_run', retryAfterMs: STORE_RETRY_AFTER_MS}
          : {type: 'ok', value: pending},
      );
    },
    isCurrent,
    storeLatencyMs: () => appender.latencyMs(),
  };
}
