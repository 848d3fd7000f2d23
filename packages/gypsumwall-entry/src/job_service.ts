/**
 * Accepts, shows and cancels the jobs whose home is this entry's failure
 * domain. A job is accepted once its record is in the log. Any entry of the
 * domain can accept a job; the domain's holder then places its tasks.
 */
import * as crypto from 'node:crypto';
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as records from '@gypsumwall/records';
import * as types from '@gypsumwall/types';
import * as chooseHome from './choose_home.js';
import type * as domainScheduler from './domain_scheduler.js';
import * as logProblem from './log_problem.js';
import * as problem from './problem.js';

/** Options of `createJobService`. */
export interface JobServiceOptions {
  readonly failureDomain: types.ids.FailureDomain;
  readonly clock: types.clock.Clock;
  readonly jobs: records.jobFold.JobFold;
  readonly follower: records.streamFollower.StreamFollower;
  readonly appender: records.logAppender.LogAppender;
  /** The scheduler, while this entry holds the domain. */
  readonly scheduler: () => domainScheduler.DomainScheduler | undefined;
  /** Used to submit jobs whose home is another failure domain. */
  readonly log: platform.platformLog.PlatformLog;
  readonly self: types.ids.EntryId;
}

type Answer<Value> = Promise<result.Result<Value, problem.Problem>>;

/** Job calls of one failure domain. */
export interface JobService {
  submit(
    spec: types.job.JobSpec,
    key: types.ids.IdempotencyKey,
    deadline: types.clock.MonotonicMs,
    traceparent?: string,
  ): Answer<types.ids.JobId>;
  /**
   * Appends the job directly to the stream of its home, for use when none of
   * the home's entries is reachable. This entry can't see which keys the home
   * has accepted: if the key already belongs to a job, that job remains.
   */
  submitToHome(
    home: types.ids.FailureDomain,
    spec: types.job.JobSpec,
    key: types.ids.IdempotencyKey,
    traceparent?: string,
  ): Answer<types.ids.JobId>;
  view(
    team: types.ids.TeamId,
    jobId: types.ids.JobId,
  ): types.job.JobView | undefined;
  list(team: types.ids.TeamId, limit: number): readonly types.job.JobView[];
  cancel(
    team: types.ids.TeamId,
    jobId: types.ids.JobId,
    deadline: types.clock.MonotonicMs,
  ): Answer<void>;
}

/** Creates the service. */
export function createJobService(options: JobServiceOptions): JobService {
  const {jobs, clock, appender, follower} = options;

  async function append(
    record: records.domainRecords.DomainRecord,
    deadline: types.clock.MonotonicMs,
  ): Answer<number> {
    const outage = appender.outage();
    if (outage !== undefined)
      return result.err(logProblem.logUnavailable(outage.retryAfterMs));
    const appended = await appender.append(
      records.envelope.encodeRecord(record),
      deadline,
    );
    if (appended.isErr)
      return result.err(logProblem.ofStepError(appended.error));
    const {offset} = appended.value;
    if (!(await follower.waitFor(offset, deadline))) {
      return result.err(
        problem.unknownOutcome(
          'the record is in the log, but could not be read back',
        ),
      );
    }
    return result.ok(offset);
  }

  return {
    submit: async (spec, key, deadline, traceparent) => {
      const existing = jobs.byKey(spec.team, key);
      if (existing !== undefined) return checkSameJob(existing, spec);
      const refusal = options.scheduler()?.admit(spec);
      if (refusal !== undefined) {
        return result.err(
          problem.notRun(refusal.reason, refusal.message, refusal.retryAfterMs),
        );
      }
      const jobId = types.ids.makeJobId(
        options.failureDomain,
        chooseHome.suffixOfKey(spec.team, key),
      );
      const appended = await append(
        {
          type: 'job_accepted',
          jobId,
          key,
          spec,
          acceptedAt: clock.wall(),
          traceparent,
        },
        deadline,
      );
      if (appended.isErr) return result.err(appended.error);
      const accepted = jobs.byKey(spec.team, key);
      if (accepted === undefined) {
        return result.err(
          problem.unknownOutcome('the record was read back, but not applied'),
        );
      }
      return checkSameJob(accepted, spec);
    },
    submitToHome: async (home, spec, key, traceparent) => {
      const outage = appender.outage();
      if (outage !== undefined)
        return result.err(logProblem.logUnavailable(outage.retryAfterMs));
      const suffix = chooseHome.suffixOfKey(spec.team, key);
      const jobId = types.ids.makeJobId(home, suffix);
      const appended = await options.log.append({
        stream: records.domainRecords.streamOf(home),
        // Each append has a producer id of its own. If concurrent appends
        // shared one, the later could overtake the earlier and make it void.
        producer: `${options.self}-${crypto.randomUUID()}`,
        sequence: 0,
        bodies: [
          records.envelope.encodeRecord({
            type: 'job_accepted',
            jobId,
            key,
            spec,
            acceptedAt: clock.wall(),
            traceparent,
          }),
        ],
      });
      if (appended.isErr)
        return result.err(logProblem.ofStepError(appended.error));
      return result.ok(jobId);
    },
    view: (team, jobId) => {
      const job = jobs.job(jobId);
      // Callers must not learn that another team's job exists.
      if (job?.spec.team !== team) return undefined;
      return toJobView(job, options.scheduler());
    },
    list: (team, limit) =>
      [...jobs.jobs()]
        .filter((job) => job.spec.team === team)
        .slice(-limit)
        .map((job) => toJobView(job, options.scheduler())),
    cancel: async (team, jobId, deadline) => {
      const job = jobs.job(jobId);
      if (job?.spec.team !== team) {
        return result.err(problem.notRun('not_found', `no job "${jobId}"`));
      }
      if (job.phase.type !== 'open') return result.ok(undefined);
      const appended = await append({type: 'job_cancelled', jobId}, deadline);
      return appended.map(() => undefined);
    },
  };
}

/** Returns the job's id, or a refusal if the key was used for another spec. */
function checkSameJob(
  job: records.jobFold.JobState,
  spec: types.job.JobSpec,
): result.Result<types.ids.JobId, problem.Problem> {
  if (JSON.stringify(job.spec) === JSON.stringify(spec)) {
    return result.ok(job.jobId);
  }
  return result.err(
    problem.notRun(
      'key_in_use',
      `idempotency-key "${job.key}" was already used for job "${job.jobId}" ` +
        'with another body: use a new key for a new job',
    ),
  );
}

function toJobView(
  job: records.jobFold.JobState,
  scheduler: domainScheduler.DomainScheduler | undefined,
): types.job.JobView {
  const running = scheduler?.activeTaskCount(job.jobId) ?? 0;
  const isDone = job.phase.type === 'done';
  return {
    jobId: job.jobId,
    team: job.spec.team,
    state: stateOf(job.phase, running),
    kind: job.spec.shape.kind,
    tasks: types.job.maxTaskCount(job.spec.shape),
    finished: job.results.size,
    failed: scheduler?.failedAttempts(job.jobId) ?? 0,
    running,
    message: messageOf(job, scheduler),
    results: isDone
      ? [...job.results].sort(([a], [b]) => a - b).map(([, text]) => text)
      : [],
  };
}

function stateOf(
  phase: records.jobFold.JobPhase,
  running: number,
): types.job.JobView['state'] {
  switch (phase.type) {
    case 'open':
      return running > 0 ? 'running' : 'queued';
    case 'done':
      return 'done';
    case 'cancelled':
      return 'cancelled';
    case 'given_up':
      return 'failed';
  }
}

function messageOf(
  job: records.jobFold.JobState,
  scheduler: domainScheduler.DomainScheduler | undefined,
): string {
  switch (job.phase.type) {
    case 'open':
      return scheduler?.explain(job.jobId) ?? '';
    case 'given_up':
      return job.phase.message;
    case 'done':
    case 'cancelled':
      return '';
  }
}
