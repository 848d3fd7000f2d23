/**
 * Reports steps that wait long, with the reasons, to the log. Nothing but the
 * log depends on it. The number of reports is bounded, however many steps wait.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as chooseWorker from './choose_worker.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as waitReasons from './wait_reasons.js';

/** A step is reported once none of its tasks has started for this long. */
const REPORT_AFTER_MS = 1_000;
/** Minimum interval between two reports of one step. */
const REPEAT_AFTER_MS = 2_000;
/** Minimum interval between two sweeps over the waiting steps. */
const MIN_SWEEP_INTERVAL_MS = 500;
/**
 * The interval for each waiting step: a sweep looks at all of them, and must not
 * delay the start of what it reports on.
 */
const SWEEP_INTERVAL_PER_STEP_MS = 2;
const MAX_REPORTS_PER_SWEEP = 4;

/** Input of a sweep. */
export interface WaitContext extends chooseWorker.ChoiceContext {
  /** Number of calls to the adviser that could be made before this cycle. */
  readonly callsLeft: number;
}

/** The steps that a sweep checks. */
export interface WaitingSteps {
  /** Steps with queued tasks, most urgent first. */
  readonly ordered: readonly activeJob.StepRun[];
  /** Jobs that may have gangs with members that have not ended. */
  readonly jobs: Iterable<activeJob.ActiveJob>;
}

/** Reports on the waiting steps of a scheduler. */
export interface WaitReporter {
  /** Restarts the waiting time of a step, because a task of it starts. */
  onPlaced(stepRun: activeJob.StepRun): void;
  /** Reports on the steps if a sweep is due. */
  sweep(steps: WaitingSteps, context: WaitContext): void;
}

interface WaitRecord {
  readonly since: types.clock.MonotonicMs;
  /** Position in the order in which steps get capacity. */
  rank: number;
  reportedAt?: types.clock.MonotonicMs;
}

/** Creates a reporter without steps. */
export function createWaitReporter(
  onEvent: (event: schedulerTypes.SchedulerEvent) => void,
): WaitReporter {
  let waits = new Map<activeJob.StepRun, WaitRecord>();
  let nextSweepAt = 0 as types.clock.MonotonicMs;

  function isDue(wait: WaitRecord, now: types.clock.MonotonicMs): boolean {
    if (now - wait.since < REPORT_AFTER_MS) return false;
    const {reportedAt} = wait;
    return reportedAt === undefined || now - reportedAt >= REPEAT_AFTER_MS;
  }

  function report(
    stepRun: activeJob.StepRun,
    wait: WaitRecord,
    context: WaitContext,
  ): void {
    wait.reportedAt = context.now;
    const waitedMs = Math.round(context.now - wait.since);
    if (isGangStopping(stepRun)) {
      onEvent(gangStoppingEvent(stepRun, waitedMs));
      return;
    }
    const reasons = waitReasons.countReasons(stepRun, context);
    onEvent({
      type: 'step_waits',
      step: stepRun.id,
      queue: stepRun.job.policy.queue,
      organisation: stepRun.job.organisation,
      reason: organisationReason(stepRun),
      tasks: stepRun.waitingIndexes.length,
      ofTasks: stepRun.request.taskCount,
      waitedMs,
      rank: wait.rank,
      heldBack: stepRun.job.isAwaitingReconciliation,
      openCalls: stepRun.advice.openCalls,
      callsLeft: context.callsLeft,
      workers: Object.entries(reasons)
        .map(([reason, count]) => `${reason}:${count}`)
        .join(','),
    });
  }

  return {
    onPlaced: (stepRun) => void waits.delete(stepRun),
    sweep({ordered, jobs}, context) {
      const {now} = context;
      if (now < nextSweepAt) return;
      const intervalMs = Math.max(
        MIN_SWEEP_INTERVAL_MS,
        ordered.length * SWEEP_INTERVAL_PER_STEP_MS,
      );
      nextSweepAt = types.clock.after(now, intervalMs);
      const previous = waits;
      waits = new Map();
      [...ordered, ...stoppingGangs(jobs)].forEach((stepRun, rank) => {
        const wait = previous.get(stepRun) ?? {since: now, rank};
        wait.rank = rank;
        waits.set(stepRun, wait);
      });
      const due = [...waits].filter(([, wait]) => isDue(wait, now));
      const lastReportedAt = ({since, reportedAt}: WaitRecord) =>
        reportedAt ?? since;
      due.sort(([, a], [, b]) => lastReportedAt(a) - lastReportedAt(b));
      for (const [stepRun, wait] of due.slice(0, MAX_REPORTS_PER_SWEEP)) {
        report(stepRun, wait, context);
      }
    },
  };
}

function organisationReason({
  isOverQuota,
  job,
}: activeJob.StepRun): schedulerTypes.OrganisationWaitReason | undefined {
  if (isOverQuota) return 'organisation_at_quota';
  return job.isExcess ? 'behind_other_organisations' : undefined;
}

/** Whether a gang waits for the end of its remaining members. */
function isGangStopping({
  request,
  state,
  attempts,
}: activeJob.StepRun): boolean {
  if (!request.gang || state !== 'open') return false;
  for (const attempt of attempts) if (attempt.phase === 'stopping') return true;
  return false;
}

function* stoppingGangs(
  jobs: Iterable<activeJob.ActiveJob>,
): Iterable<activeJob.StepRun> {
  for (const job of jobs) {
    for (const {steps} of job.openOccurrences.values())
      yield* steps.filter(isGangStopping);
  }
}

function gangStoppingEvent(
  stepRun: activeJob.StepRun,
  waitedMs: number,
): schedulerTypes.SchedulerEvent {
  const attempts = [...stepRun.attempts];
  return {
    type: 'gang_breaks',
    step: stepRun.id,
    ofTasks: stepRun.request.taskCount,
    runs: attempts.length,
    unconfirmed: attempts.filter((attempt) => attempt.confirmedAt === undefined)
      .length,
    worker: attempts[0]?.workerId,
    waitedMs,
  };
}
