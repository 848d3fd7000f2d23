/**
 * Measures the cost of records: group commit, folding, snapshots and
 * rebuilding.
 */
import * as result from 'true-myth/result';
import type * as platform from '@gypsumwall/platform';
import * as records from '@gypsumwall/records';
import * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import type * as benchModule from './bench_module.js';
import * as statistics from './statistics.js';

const JOB_COUNTS = [1_000, 4_000, 16_000, 64_000];
const TASKS_PER_JOB = 4;
const RECORDS_PER_SECOND = [100, 1_000, 3_000, 7_500];
/** Minimum gaps between appends: none, and that of a domain's stream. */
const MIN_GAPS_MS = [0, 50];
/** Duration of one append to the platform's log. */
const APPEND_DURATION_MS = 5;
const NOW = 0 as types.clock.MonotonicMs;

/**
 * Measures group commit, and folding with snapshots and rebuilding, one table
 * each.
 */
export async function measureRecords(
  quick: boolean,
): Promise<benchModule.BenchTable[]> {
  const appended = [];
  for (const gapMs of MIN_GAPS_MS) {
    for (const rate of RECORDS_PER_SECOND) {
      appended.push(await measureAppends(rate, gapMs, quick ? 1_000 : 5_000));
    }
  }
  return [
    {
      title: `Group commit on a log that takes ${APPEND_DURATION_MS} ms an append`,
      columns: [
        'records/s',
        'appends/s',
        'records an append',
        'CPU us a record',
      ],
      rows: appended,
    },
    buildFoldTable(),
  ];
}

async function measureAppends(
  rate: number,
  gapMs: number,
  spanMs: number,
): Promise<Array<string | number>> {
  const clock = types.clock.createSystemClock();
  let appends = 0;
  let nextOffset = 0;
  const log: platform.platformLog.PlatformLog = {
    append: async ({bodies}) => {
      appends += 1;
      const firstOffset = nextOffset;
      nextOffset += bodies.length;
      const done = types.clock.after(clock.monotonic(), APPEND_DURATION_MS);
      await clock.sleepUntil(done);
      return result.ok({firstOffset});
    },
    read: () =>
      Promise.reject(new Error('the benchmark does not read from the log')),
  };
  const appender = records.logAppender.createLogAppender({
    stream: 'bench',
    producer: 'bench',
    log,
    clock,
    logger: telemetry.logger.createLogger('silent'),
    minGapMs: gapMs,
    follower: {
      waitFor: () => Promise.resolve(true),
      restores: () => 0,
      lastAnswerAt: () => clock.monotonic(),
    },
    signal: new AbortController().signal,
  });
  const body = records.envelope.encodeRecord(buildTaskEndedRecord(0, 0));
  const startedAt = clock.monotonic();
  const before = process.cpuUsage();
  const pending: Array<Promise<unknown>> = [];
  let recordCount = 0;
  for (;;) {
    const elapsedMs = clock.monotonic() - startedAt;
    if (elapsedMs >= spanMs) break;
    for (; recordCount < (elapsedMs * rate) / 1_000; recordCount += 1) {
      const deadline = types.clock.after(clock.monotonic(), 10_000);
      pending.push(appender.append(body, deadline));
    }
    await clock.sleepUntil(types.clock.after(clock.monotonic(), 1));
  }
  await Promise.all(pending);
  const used = process.cpuUsage(before);
  const seconds = (clock.monotonic() - startedAt) / 1_000;
  return [
    gapMs,
    Math.round(recordCount / seconds),
    statistics.formatNumber(appends / seconds),
    statistics.formatNumber(recordCount / appends),
    statistics.formatNumber((used.user + used.system) / recordCount),
  ];
}

function buildFoldTable(): benchModule.BenchTable {
  // Warms up, so that the first row does not include the cost of compilation.
  measureFold(1_000);
  return {
    title: `Folding open jobs of ${TASKS_PER_JOB} tasks, half of them done`,
    columns: [
      'jobs',
      'fold us a record',
      'heap bytes a job',
      'snapshot bytes a job',
      'write ms',
      'restore ms',
    ],
    rows: JOB_COUNTS.map(measureFold),
  };
}

function measureFold(jobs: number): Array<string | number> {
  const fold = records.jobFold.createJobFold();
  const heapBefore = readHeapBytes();
  const startedAt = performance.now();
  let recordCount = 0;
  for (let job = 0; job < jobs; job += 1) {
    fold.apply(recordCount++, buildJobAcceptedRecord(job), NOW);
    for (let index = 0; index < TASKS_PER_JOB / 2; index += 1) {
      fold.apply(recordCount++, buildTaskEndedRecord(job, index), NOW);
    }
  }
  const foldMs = performance.now() - startedAt;
  const heapAfter = readHeapBytes();
  const writeAt = performance.now();
  const text = fold.snapshot();
  const writeMs = performance.now() - writeAt;
  const restored = records.jobFold.createJobFold();
  const restoreAt = performance.now();
  restored.restore(text, NOW);
  const restoreMs = performance.now() - restoreAt;
  return [
    jobs,
    statistics.formatNumber((foldMs * 1_000) / recordCount),
    statistics.formatNumber((heapAfter - heapBefore) / jobs),
    statistics.formatNumber(text.length / jobs),
    statistics.formatNumber(writeMs),
    statistics.formatNumber(restoreMs),
  ];
}

/** Returns the heap in use; exact only with `node --expose-gc`. */
function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function jobIdOf(job: number): types.ids.JobId {
  const home = types.ids.brand<types.ids.FailureDomain>('merkato-hall');
  return types.ids.makeJobId(home, job.toString(16).padStart(16, '0'));
}

function buildJobAcceptedRecord(
  job: number,
): records.domainRecords.DomainRecord {
  return {
    type: 'job_accepted',
    jobId: jobIdOf(job),
    key: types.ids.brand<types.ids.IdempotencyKey>(`night-${job}`),
    acceptedAt: 0 as types.clock.WallMs,
    spec: {
      team: types.ids.brand<types.ids.TeamId>('night-plans'),
      shape: {kind: 'batch', tasks: TASKS_PER_JOB},
      jobClass: 'repayment-plan',
      urgency: 'overnight',
      size: {cpuMillis: 1_000, memoryMb: 2_048, accelerators: 0},
      estimateMs: 60_000,
      work: {command: 'build-plan', args: {client: `household-${job}`}},
    },
  };
}

function buildTaskEndedRecord(
  job: number,
  index: number,
): records.domainRecords.DomainRecord {
  return {
    type: 'task_ended',
    taskId: types.ids.makeTaskId(jobIdOf(job), index),
    attempt: types.ids.brand<types.ids.AttemptId>(`123456.${index}`),
    end: {type: 'done', result: `plan ${job}/${index}`},
  };
}
