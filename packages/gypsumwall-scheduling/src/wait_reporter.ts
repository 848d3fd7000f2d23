/**
 * Tells the log of steps that wait long and what they wait for. Only the log
 * depends on it. Reports are bounded, however many steps wait.
 */
import * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import type * as chooseWorker from './choose_worker.js';
import type * as schedulerTypes from './scheduler_types.js';
import * as waitReasons from './wait_reasons.js';

/** A step is reported once nothing of it has started for so long. */
const REPORT_AFTER_MS = 1_000;
/** Least span between two reports of one step. */
const REPEAT_AFTER_MS = 2_000;
/** Pause between two sweeps over the waiting steps. */
const SWEEP_PAUSE_MS = 500;
const MOST_REPORTS_IN_SWEEP = 4;

/** What a sweep takes into account. */
export interface WaitContext extends chooseWorker.ChoiceContext {
  /** Calls that the adviser's callers could take before this cycle's. */
  readonly callsLeft: number;
}

/** The steps that a sweep goes over. */
export interface WaitingSteps {
  /** With tasks that wait, most urgent first. */
  readonly ordered: readonly activeJob.StepRun[];
  /** Jobs that may have gangs whose members have not all ended. */
  readonly jobs: Iterable<activeJob.ActiveJob>;
}

/** Reports on the waiting steps of a scheduler. */
export interface WaitReporter {
  /** Something of the step starts: its wait begins anew. */
  notePlaced(stepRun: activeJob.StepRun): void;
  /** Sweeps over the steps if it is time. */
  sweep(steps: WaitingSteps, context: WaitContext): void;
}

interface Wait {
  readonly since: types.clock.MonotonicMs;
  /** Place in the order of work. */
  rank: number;
  reportedAt?: types.clock.MonotonicMs;
}

/** Creates a reporter that has seen no step yet. */
export function createWaitReporter(
  onEvent: (event: schedulerTypes.SchedulerEvent) => void,
): WaitReporter {
  let waits = new Map<activeJob.StepRun, Wait>();
  let nextSweepAt = 0 as types.clock.MonotonicMs;

  function isDue(wait: Wait, now: types.clock.MonotonicMs): boolean {
    if (now - wait.since < REPORT_AFTER_MS) return false;
    const {reportedAt} = wait;
    return reportedAt === undefined || now - reportedAt >= REPEAT_AFTER_MS;
  }

  function report(
    stepRun: activeJob.StepRun,
    wait: Wait,
    context: WaitContext,
  ): void {
    wait.reportedAt = context.now;
    const waitedMs = Math.round(context.now - wait.since);
    if (isBreaking(stepRun)) {
      onEvent(breakingEvent(stepRun, waitedMs));
      return;
    }
    const reasons = waitReasons.countReasons(stepRun, context);
    onEvent({
      type: 'step_waits',
      step: stepRun.id,
      queue: stepRun.job.policy.queue,
      tasks: stepRun.waitingIndexes.length,
      ofTasks: stepRun.request.taskCount,
      waitedMs,
      rank: wait.rank,
      heldBack: stepRun.job.heldBack,
      openCalls: stepRun.advice.openCalls,
      callsLeft: context.callsLeft,
      workers: Object.entries(reasons)
        .map(([reason, count]) => `${reason}:${count}`)
        .join(','),
    });
  }

  return {
    notePlaced: (stepRun) => void waits.delete(stepRun),
    sweep({ordered, jobs}, context) {
      const {now} = context;
      if (now < nextSweepAt) return;
      nextSweepAt = types.clock.after(now, SWEEP_PAUSE_MS);
      const before = waits;
      waits = new Map();
      [...ordered, ...breakingGangs(jobs)].forEach((stepRun, rank) => {
        const wait = before.get(stepRun) ?? {since: now, rank};
        wait.rank = rank;
        waits.set(stepRun, wait);
      });
      const due = [...waits].filter(([, wait]) => isDue(wait, now));
      const lastTold = ({since, reportedAt}: Wait) => reportedAt ?? since;
      due.sort(([, a], [, b]) => lastTold(a) - lastTold(b));
      for (const [stepRun, wait] of due.slice(0, MOST_REPORTS_IN_SWEEP)) {
        report(stepRun, wait, context);
      }
    },
  };
}

/** Whether a gang waits until the last of its members has ended. */
function isBreaking({
  request,
  state,
  attempts: runs,
}: activeJob.StepRun): boolean {
  if (!request.gang || state !== 'open') return false;
  for (const run of runs) if (run.phase === 'stopping') return true;
  return false;
}

function* breakingGangs(
  jobs: Iterable<activeJob.ActiveJob>,
): Iterable<activeJob.StepRun> {
  for (const job of jobs) {
    for (const {steps} of job.openOccurrences.values())
      yield* steps.filter(isBreaking);
  }
}

function breakingEvent(
  stepRun: activeJob.StepRun,
  waitedMs: number,
): schedulerTypes.SchedulerEvent {
  const runs = [...stepRun.attempts];
  return {
    type: 'gang_breaks',
    step: stepRun.id,
    ofTasks: stepRun.request.taskCount,
    runs: runs.length,
    unconfirmed: runs.filter((run) => run.confirmedAt === undefined).length,
    worker: runs[0]?.workerId,
    waitedMs,
  };
}
