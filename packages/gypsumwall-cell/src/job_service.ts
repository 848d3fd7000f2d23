/**
 * The job service of one entry: accepts jobs, cancels them, and returns their
 * state. A job is accepted once its record is stored in the log. No agreement
 * with other entries is needed, so any entry that reaches the store can accept
 * jobs.
 */
import type * as organisations from '@gypsumwall/organisations';
import type * as telemetry from '@gypsumwall/telemetry';
import * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import type * as jobServiceTypes from './job_service_types.js';
import type * as jobTable from './job_table.js';
import * as loadShedder from './load_shedder.js';
import type * as logFollower from './log_follower.js';
import type * as ports from './ports.js';
import * as recentAttempts from './recent_attempts.js';
import * as recordStore from './record_store.js';
import type * as storeHealth from './store_health.js';
import type * as storeRecords from './store_records.js';

/** When a caller should retry while the store is unavailable; milliseconds. */
const STORE_RETRY_AFTER_MS = 1_000;
/**
 * How long the logs are searched for a job. Callers wait for 3 s, and peers are
 * asked afterwards. An entry that is behind reads for up to 6 s, as seen on a
 * link of 10 Mbit/s; milliseconds.
 */
const FIND_TIMEOUT_MS = 800;
/**
 * Maximum age of a replica that pending jobs are counted in; with an older one,
 * peers are asked for the state of jobs. Callers are promised a count that is
 * at most 2 s old, which leaves half a second for the answer. With a store that
 * is sixty times slower than usual, replicas are up to 1.1 s old (calculated);
 * milliseconds.
 */
const MAX_REPLICA_AGE_MS = 1_500;

/**
 * Maximum age of a replica from which the state of an unfinished job is
 * returned without reading the log again. Callers learn of a job's end that
 * much later at most; milliseconds.
 */
export const MAX_STATE_AGE_MS = 20;
/** How long a query for a state waits for such a read; milliseconds. */
const REFRESH_TIMEOUT_MS = 300;

/** Options of a job service. */
export interface JobServiceOptions {
  readonly jobsLog: ports.KeyedLog;
  readonly jobs: jobTable.JobTable;
  readonly follower: logFollower.LogFollower;
  readonly storeHealth: storeHealth.StoreHealth;
  /** Maximum age of this entry's replica of the logs, in milliseconds. */
  readonly replicaAgeMs: () => number;
  /**
   * Reads all logs with records about jobs to their ends; false if that failed.
   */
  readonly catchUp: () => Promise<boolean>;
  /** Whether another entry may append what the store refuses here. */
  readonly canForward: () => boolean;
  /** Reads the log of job states to its end, unless that was done just now. */
  readonly refreshStates: () => Promise<boolean>;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
  /** Whether any worker could ever run a task of this size. */
  readonly couldEverFit: (
    pool: string,
    step: scheduling.jobRequest.StepRequest,
  ) => boolean;
  /** Whether the quota of the caller's organisation could ever fit a step. */
  readonly fitsQuota: (
    caller: organisations.keyDirectory.Caller,
    step: scheduling.jobRequest.StepRequest,
  ) => boolean;
  /** Decides whether the cell can take a job on. */
  readonly checkLoad: loadShedder.LoadShedder['check'];
  /** Whether the keys of the caller's organisation may have changed since. */
  readonly isOutdated: (caller: organisations.keyDirectory.Caller) => boolean;
}

/** Creates the job service of one entry. */
export function createJobService(
  options: JobServiceOptions,
): jobServiceTypes.JobService {
  const {jobs, follower, clock, logger} = options;
  const submissions = recentAttempts.createRecentAttempts(clock);
  const cancellations = recentAttempts.createRecentAttempts(clock);
  const records = recordStore.createRecordStore({
    log: options.jobsLog,
    follower,
    storeHealth: options.storeHealth,
    canForward: options.canForward,
    clock,
    logger,
  });

  async function storeAndAnswer(
    event: string,
    record: storeRecords.StoreRecord & {readonly jobId: types.ids.JobId},
  ): Promise<jobServiceTypes.JobServiceAnswer<undefined>> {
    const startedAt = clock.monotonic();
    const outcome = await records.store(record);
    logger.info(event, {
      job: record.jobId,
      outcome,
      tookMs: Math.round(clock.monotonic() - startedAt),
    });
    switch (outcome) {
      case 'stored':
        return {type: 'ok', value: undefined};
      case 'not_run':
        return {
          type: 'not_run',
          retryAfterMs: Math.max(STORE_RETRY_AFTER_MS, records.waitMs()),
          isStoreOverloaded: follower.reachableSince() !== undefined,
        };
      case 'unknown':
        return {type: 'unknown'};
    }
  }

  /**
   * A job without a request is finished; it counts as known once its end is
   * known.
   */
  function knownJob(id: types.ids.JobId): jobTable.JobEntry | undefined {
    const job = jobs.get(id);
    if (job?.record !== undefined) return job;
    const isOver =
      job !== undefined && scheduling.jobProgress.isOver(job.progress.phase);
    return isOver ? job : undefined;
  }

  async function falseAfter(timeoutMs: number): Promise<false> {
    await types.clock.sleepFor(clock, timeoutMs);
    return false;
  }

  /**
   * The phase according to the log's end, or the known phase if the log can't
   * be read in time.
   */
  async function refreshPhase(
    job: jobTable.JobEntry,
  ): Promise<scheduling.jobProgress.JobPhase> {
    if (!scheduling.jobProgress.isOver(job.progress.phase)) {
      const timeout = falseAfter(REFRESH_TIMEOUT_MS);
      await Promise.race([options.refreshStates(), timeout]);
    }
    return job.progress.phase;
  }

  /**
   * Searches for a job at the ends of all logs with records about jobs. The
   * request of a finished job is dropped from one of the logs, so only the
   * other one contains the job. An entry that had just started and read only
   * one log answered 410 for finished jobs.
   */
  async function findInLogs(
    id: types.ids.JobId,
  ): Promise<jobTable.JobEntry | 'not_read' | undefined> {
    const isCaughtUp = await Promise.race([
      options.catchUp(),
      falseAfter(FIND_TIMEOUT_MS),
    ]);
    return knownJob(id) ?? (isCaughtUp ? undefined : 'not_read');
  }

  /** The caller's job, searched for in the logs if it isn't known here. */
  async function find(
    id: types.ids.JobId,
    queue: string,
    caller: organisations.keyDirectory.Caller | undefined,
  ): Promise<jobServiceTypes.JobServiceAnswer<jobTable.JobEntry>> {
    if (isOutdated(caller)) return {type: 'outdated_caller'};
    const known = knownJob(id) ?? (await findInLogs(id));
    if (known === 'not_read') {
      return {type: 'not_run', retryAfterMs: STORE_RETRY_AFTER_MS};
    }
    return known?.queue === queue && isOwn(known, caller)
      ? {type: 'ok', value: known}
      : {type: 'absent'};
  }

  const isCurrent = () => options.replicaAgeMs() <= MAX_REPLICA_AGE_MS;

  /**
   * The first step whose tasks are too large for every worker. A stale replica
   * lacks the workers that were added since, so it must not be used for a
   * refusal that is permanent.
   */
  function findOversizedStep(
    pool: string,
    {steps}: scheduling.jobRequest.JobRequest,
  ): number | undefined {
    if (!isCurrent()) return undefined;
    const step = steps.findIndex((one) => !options.couldEverFit(pool, one));
    return step < 0 ? undefined : step;
  }

  /**
   * The refusal of a job that the cell can't take on. An entry with a stale
   * replica doesn't know the load.
   */
  function shed(
    stage: loadShedder.Stage,
    id: types.ids.JobId,
    policy: scheduling.jobRequest.QueuePolicy,
    request: scheduling.jobRequest.JobRequest,
    caller: organisations.keyDirectory.Caller | undefined,
  ): jobServiceTypes.JobServiceAnswer<undefined> | undefined {
    if (!isCurrent()) return undefined;
    const organisation = caller?.organisation;
    const verdict = options.checkLoad(stage, policy, request, organisation);
    switch (verdict.type) {
      case 'admitted':
        return undefined;
      case 'refused': {
        const {retryAfterMs} = verdict;
        logger.info('job_shed', {
          job: id,
          queue: policy.queue,
          organisation,
          stage,
          ...loadShedder.describeRefusal(verdict),
        });
        return {type: 'not_run', retryAfterMs, isCellOverloaded: true};
      }
    }
  }

  const isOutdated = (caller: organisations.keyDirectory.Caller | undefined) =>
    caller !== undefined && options.isOutdated(caller);

  /** Returns why a job can never run, or undefined. */
  function describeObstacle(
    policy: scheduling.jobRequest.QueuePolicy,
    request: scheduling.jobRequest.JobRequest,
    caller: organisations.keyDirectory.Caller | undefined,
  ): string | undefined {
    const fault = scheduling.jobRequest.describeFault(request);
    if (fault !== undefined) return fault;
    const oversized = findOversizedStep(policy.pool, request);
    if (oversized !== undefined) {
      return `step ${oversized}: its tasks are too large for every worker`;
    }
    if (caller === undefined) return undefined;
    const overQuota = request.steps.findIndex(
      (step) => !options.fitsQuota(caller, step),
    );
    if (overQuota < 0) return undefined;
    return `step ${overQuota}: the tasks that run together exceed the quota of ${caller.organisation}: use fewer or smaller ones`;
  }

  async function submitOnce(
    id: types.ids.JobId,
    policy: scheduling.jobRequest.QueuePolicy,
    request: scheduling.jobRequest.JobRequest,
    caller: organisations.keyDirectory.Caller | undefined,
  ): Promise<jobServiceTypes.JobServiceAnswer<undefined>> {
    if (isOutdated(caller)) return {type: 'outdated_caller'};
    const known = jobs.get(id);
    if (known !== undefined) {
      return isOwn(known, caller)
        ? {type: 'ok', value: undefined}
        : {type: 'invalid', message: 'the job id is in use: choose another'};
    }
    const message = describeObstacle(policy, request, caller);
    if (message !== undefined) return {type: 'invalid', message};
    const excess = scheduling.jobRequest.describeExcess(request);
    if (excess !== undefined) return refuseExcess(id, excess, caller);
    if (follower.reachableSince() === undefined) {
      logger.info('job_refused', {
        job: id,
        reason: 'the store is unavailable',
      });
      return {type: 'not_run', retryAfterMs: STORE_RETRY_AFTER_MS};
    }
    const refusal = shed('append', id, policy, request, caller);
    if (refusal !== undefined) return refusal;
    const organisation = caller?.organisation;
    const job = {request, policy, acceptedAt: clock.wall(), organisation};
    return storeAndAnswer('job_submitted', {kind: 'job', jobId: id, job});
  }

  /**
   * An earlier build may have accepted the job, which this entry hasn't read yet.
   */
  async function refuseExcess(
    id: types.ids.JobId,
    message: string,
    caller: organisations.keyDirectory.Caller | undefined,
  ): Promise<jobServiceTypes.JobServiceAnswer<undefined>> {
    const found = await findInLogs(id);
    if (found === 'not_read') return {type: 'unknown'};
    if (found !== undefined && isOwn(found, caller))
      return {type: 'ok', value: undefined};
    logger.info('job_refused', {job: id, reason: message});
    return {type: 'invalid', message};
  }

  async function cancelOnce(
    id: types.ids.JobId,
    queue: string,
    caller: organisations.keyDirectory.Caller | undefined,
  ): Promise<jobServiceTypes.JobServiceAnswer<undefined>> {
    const found = await find(id, queue, caller);
    switch (found.type) {
      case 'ok':
        if (scheduling.jobProgress.isOver(found.value.progress.phase))
          return {type: 'ok', value: undefined};
        break;
      case 'absent':
        // The job may arrive in the log after this; it is cancelled then.
        if (!submissions.mayBeApplied(id, caller)) return found;
        break;
      case 'not_run':
      case 'unknown':
      case 'outdated_caller':
      case 'invalid':
        return found;
    }
    const record = {kind: 'cancel', jobId: id, dropped: false} as const;
    return storeAndAnswer('job_cancel_asked', record);
  }

  function isStored(
    id: types.ids.JobId,
    caller: organisations.keyDirectory.Caller | undefined,
  ): boolean {
    const known = jobs.get(id);
    return known !== undefined && isOwn(known, caller);
  }

  return {
    async submit(id, policy, request, caller) {
      const call = submissions.open(id, caller);
      const answer = await call.runLocally('append', () =>
        submitOnce(id, policy, request, caller),
      );
      return call.conclude(answer, isStored(id, caller));
    },
    async cancel(id, queue, caller) {
      const call = cancellations.open(id, caller);
      return call.conclude(
        await call.runLocally('append', () => cancelOnce(id, queue, caller)),
      );
    },
    async phaseOf(id, queue, caller) {
      const found = await find(id, queue, caller);
      if (found.type !== 'ok') return found;
      return {type: 'ok', value: await refreshPhase(found.value)};
    },
    finalPhaseOf(id, queue, caller) {
      if (isOutdated(caller)) return Promise.resolve({type: 'outdated_caller'});
      const job = jobs.get(id);
      const isFound = job?.queue === queue && isOwn(job, caller);
      const phase = isFound ? job.progress.phase : undefined;
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
      const ageMs = Math.round(options.replicaAgeMs());
      logger.info('pending_asked', {queue, pending, ageMs, outcome});
      return Promise.resolve(
        pending === undefined
          ? {type: 'not_run', retryAfterMs: STORE_RETRY_AFTER_MS}
          : {type: 'ok', value: pending},
      );
    },
    shed: (id, policy, request, caller) =>
      shed('offered', id, policy, request, caller),
    isStored,
    isCurrent,
    storeLatencyMs: () => records.latencyMs(),
  };
}

/** Whether a job belongs to the caller's organisation, or to none. */
function isOwn(
  {organisation}: jobTable.JobEntry,
  caller: organisations.keyDirectory.Caller | undefined,
): boolean {
  if (organisation === undefined || caller === undefined) return true;
  return organisation === caller.organisation;
}
