/**
 * Accepts, shows and cancels the jobs whose home is this entry's failure
 * domain. A job is accepted once its record stands in the log; any entry of
 * the domain can do that, the domain's holder then places it.
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

/** What the service needs. */
export interface JobServiceOptions {
  readonly failureDomain: types.ids.FailureDomain;
  readonly clock: types.clock.Clock;
  readonly jobs: records.jobFold.JobFold;
  readonly follower: records.streamFollower.StreamFollower;
  readonly appender: records.logAppender.LogAppender;
  /** The scheduler, while this entry holds the domain. */
  readonly scheduler: () => domainScheduler.DomainScheduler | undefined;
  /** For jobs whose home is another failure domain. */
  readonly log: platform.platformLog.PlatformLog;
  readonly self: types.ids.EntryId;
}

type Answer<Value> = Promise<result.Result<Value, problem.Problem>>;

/** The jobs of this domain. */
export interface JobService {
  submit(
    spec: types.job.JobSpec,
    key: types.ids.IdempotencyKey,
    deadline: types.clock.MonotonicMs,
    traceparent?: string,
  ): Answer<types.ids.JobId>;
  /**
   * Appends the job to the stream of its home, no entry of which can be
   * reached. What the home knows of the key is not seen from here: a key that
   * stands for another job already keeps to that one.
   */
  submitElsewhere(
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

/** Makes the service. */
export function createJobService(options: JobServiceOptions): JobService {
  const {jobs, clock, appender, follower} = options;

  async function append(
    record: records.domainRecords.DomainRecord,
    deadline: types.clock.MonotonicMs,
  ): Answer<number> {
    const outage = appender.outage();
    if (outage !== undefined)
      return result.err(logProblem.logDown(outage.retryAfterMs));
    const appended = await appender.append(
      records.envelope.encodeRecord(record),
      deadline,
    );
    if (appended.isErr)
      return result.err(logProblem.ofStepError(appended.error));
    const {offset} = appended.value;
    if (!(await follower.waitFor(offset, deadline))) {
      return result.err(
        problem.unknownOutcome('the log took it, but can not be read back'),
      );
    }
    return result.ok(offset);
  }

  return {
    submit: async (spec, key, deadline, traceparent) => {
      const before = jobs.byKey(spec.team, key);
      if (before !== undefined) return sameJob(before, spec);
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
        return result.err(problem.unknownOutcome('the record was not taken'));
      }
      return sameJob(accepted, spec);
    },
    submitElsewhere: async (home, spec, key, traceparent) => {
      const outage = appender.outage();
      if (outage !== undefined)
        return result.err(logProblem.logDown(outage.retryAfterMs));
      const suffix = chooseHome.suffixOfKey(spec.team, key);
      const jobId = types.ids.makeJobId(home, suffix);
      const appended = await options.log.append({
        stream: records.domainRecords.streamOf(home),
        // A producer of its own: in one count, two appends under way at once
        // could pass each other, and the earlier one would be void.
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
      // Another team's job is as good as none: not even its being is told.
      if (job?.spec.team !== team) return undefined;
      return viewOf(job, options.scheduler());
    },
    list: (team, limit) =>
      [...jobs.jobs()]
        .filter((job) => job.spec.team === team)
        .slice(-limit)
        .map((job) => viewOf(job, options.scheduler())),
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

/** A key stands for one job; another body under it is the caller's mistake. */
function sameJob(
  job: records.jobFold.JobState,
  spec: types.job.JobSpec,
): result.Result<types.ids.JobId, problem.Problem> {
  if (JSON.stringify(job.spec) === JSON.stringify(spec)) {
    return result.ok(job.jobId);
  }
  return result.err(
    problem.notRun(
      'key_in_use',
      `idempotency-key "${job.key}" already stands for job "${job.jobId}" ` +
        'with another body: use a new key for a new job',
    ),
  );
}

function viewOf(
  job: records.jobFold.JobState,
  scheduler: domainScheduler.DomainScheduler | undefined,
): types.job.JobView {
  const running = scheduler?.activeTaskCount(job.jobId) ?? 0;
  const closedWell = job.phase.type === 'done';
  return {
    jobId: job.jobId,
    team: job.spec.team,
    state: stateOf(job.phase, running),
    kind: job.spec.shape.kind,
    tasks: types.job.maxTaskCount(job.spec.shape),
    finished: job.results.size,
    failed: scheduler?.failures(job.jobId) ?? 0,
    running,
    message: messageOf(job, scheduler),
    results: closedWell
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
