/** A decider of a virtual cell: a scheduler and the process that runs it. */
import * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import * as adviserCalls from './adviser_calls.js';
import * as attemptOutcomes from './attempt_outcomes.js';
import type * as virtualProcess from './virtual_process.js';
import type * as virtualTimeline from './virtual_timeline.js';
import * as workerCalls from './worker_calls.js';

/** Duration of an append to the store. */
const APPEND_MS = 16;
/** Time that a worker takes to stop a task. */
const STOP_TASK_MS = 150;
/**
 * Delay before a scheduling cycle, as the holder waits: at least
 * `MIN_CYCLE_DELAY_MS`, and `CYCLE_DELAY_FACTOR` times the duration of the
 * previous cycle.
 */
const MIN_CYCLE_DELAY_MS = 3;
const CYCLE_DELAY_FACTOR = 4;

/** A job as it is passed to a decider. */
export type JobStart = Omit<scheduling.restoreJob.AddedJob, 'inherited'>;

/** Dependencies of a decider. */
export interface DeciderParts {
  readonly timeline: virtualTimeline.VirtualTimeline;
  readonly process: virtualProcess.VirtualProcess;
  /** Entries through which the decider may call the adviser. */
  readonly entries: readonly string[];
  readonly attemptBase: number;
  readonly drawOutcome: attemptOutcomes.DrawOutcome;
  readonly adviser: adviserCalls.Adviser;
  readonly callsFor: (worker: types.ids.WorkerId) => workerCalls.WorkerCalls;
  /**
   * Takes the decided starts, to send them later; if absent, they are sent at
   * once.
   */
  readonly dispatchStarts?: (
    starts: readonly scheduling.schedulerTypes.StartOrder[],
  ) => void;
  /** Called when starts are sent. */
  readonly onStarts: (
    starts: readonly scheduling.schedulerTypes.StartOrder[],
  ) => void;
  readonly onAttemptEnd?: (attempt: scheduling.activeJob.Attempt) => void;
  readonly onJobOver: (job: types.ids.JobId) => void;
}

/** A decider of a virtual cell. */
export interface VirtualDecider {
  readonly scheduler: scheduling.schedulerTypes.Scheduler;
  readonly process: virtualProcess.VirtualProcess;
  /** Unfinished jobs for which the adviser was called. */
  readonly jobs: ReadonlyMap<types.ids.JobId, scheduling.activeJob.ActiveJob>;
  accept(start: JobStart): void;
  /**
   * Removes a job so that another decider can accept it; none of its tasks may
   * run.
   */
  transferOut(job: scheduling.activeJob.ActiveJob): JobStart;
  /** Sends the starts to the workers. */
  sendStarts(starts: readonly scheduling.schedulerTypes.StartOrder[]): void;
  /** Reports that these starts were never sent and will not run. */
  refuseStarts(starts: readonly scheduling.schedulerTypes.StartOrder[]): void;
  requestCycle(): void;
  adviserCallCount(): number;
}

/** Creates a decider without jobs and workers. */
export function createVirtualDecider(parts: DeciderParts): VirtualDecider {
  const {timeline, process} = parts;
  const dispatchStarts = parts.dispatchStarts ?? sendStarts;
  const jobs = new Map<types.ids.JobId, scheduling.activeJob.ActiveJob>();
  const transferredOut = new Set<types.ids.JobId>();
  const running = new Map<
    types.ids.WorkerId,
    Set<scheduling.activeJob.Attempt>
  >();
  const sequences = new Map<types.ids.WorkerId, number>();
  let isCyclePlanned = false;
  let cycleDelayMs = MIN_CYCLE_DELAY_MS;

  const scheduler = scheduling.scheduler.createScheduler({
    attemptBase: parts.attemptBase,
    isReconciled: () => true,
    onEvent(event) {
      if (event.type !== 'job_over') return;
      jobs.delete(event.job);
      if (!transferredOut.delete(event.job)) parts.onJobOver(event.job);
    },
  });
  const adviser = adviserCalls.createAdviserCalls({
    ...parts,
    scheduler,
    onAnswer: requestCycle,
  });
  const wall = () => timeline.now() as unknown as types.clock.WallMs;

  function requestCycle(): void {
    if (isCyclePlanned) return;
    isCyclePlanned = true;
    timeline.schedule(cycleDelayMs, () => process.enqueue(0, runCycle));
  }

  function runCycle(): void {
    isCyclePlanned = false;
    let decisions: scheduling.schedulerTypes.Decisions = {
      starts: [],
      advice: [],
    };
    const cycleMs = process.measure(() => {
      const capacity = adviser.capacity();
      decisions = scheduler.decide(timeline.now(), wall(), capacity);
    });
    cycleDelayMs = Math.max(MIN_CYCLE_DELAY_MS, cycleMs * CYCLE_DELAY_FACTOR);
    appendDirty();
    if (decisions.starts.length > 0) dispatchStarts(decisions.starts);
    for (const request of decisions.advice) {
      const {job} = request.stepRun;
      jobs.set(job.id, job);
      adviser.requestAdvice(request);
    }
  }

  function appendDirty(): void {
    const dirty = scheduler.takeDirty();
    if (dirty.length === 0) return;
    process.enqueue(workerCalls.CALL_COST_MS, () => {
      timeline.schedule(APPEND_MS, () => {
        process.enqueue(0, () => {
          process.measure(() => scheduler.onStored(dirty));
          requestCycle();
        });
      });
    });
  }

  function sendStarts(
    starts: readonly scheduling.schedulerTypes.StartOrder[],
  ): void {
    parts.onStarts(starts);
    const batches = new Map<workerCalls.WorkerCalls, workerCalls.Order[]>();
    for (const {attempt} of starts) {
      const calls = parts.callsFor(attempt.workerId);
      const batch = batches.get(calls) ?? [];
      batches.set(calls, batch);
      batch.push({
        workerId: attempt.workerId,
        onArrival: () => startAttempt(attempt),
        onAnswer: () => confirmStart(attempt),
      });
    }
    for (const [calls, batch] of batches) calls.send(batch);
  }

  function confirmStart(attempt: scheduling.activeJob.Attempt): void {
    process.measure(() =>
      scheduler.onStartAnswered(attempt, {type: 'started'}, timeline.now()),
    );
  }

  function startAttempt(attempt: scheduling.activeJob.Attempt): void {
    const attempts = running.get(attempt.workerId) ?? new Set();
    running.set(attempt.workerId, attempts.add(attempt));
    const {spanMs, outcome} = parts.drawOutcome(attempt);
    timeline.schedule(spanMs, () => endAttempt(attempt, outcome));
  }

  function endAttempt(
    attempt: scheduling.activeJob.Attempt,
    outcome: scheduling.jobSteps.AttemptOutcome,
  ): void {
    const {taskId, number, workerId} = attempt;
    const attempts = running.get(workerId);
    if (attempts?.delete(attempt) !== true) return;
    parts.onAttemptEnd?.(attempt);
    const sequence = (sequences.get(workerId) ?? 0) + 1;
    sequences.set(workerId, sequence);
    const report: scheduling.schedulerTypes.WorkerReport = {
      workerId,
      askedAt: timeline.now(),
      running: [...attempts].map((other) => ({
        taskId: other.taskId,
        attempt: other.number,
        checkpoint: '',
        percent: attemptOutcomes.percentOf(other, timeline.now()),
      })),
      ends: [{sequence, taskId, attempt: number, how: outcome, checkpoint: ''}],
      complete: true,
    };
    parts.callsFor(workerId).deliverReport(workerId, () => applyReport(report));
  }

  function applyReport(report: scheduling.schedulerTypes.WorkerReport): void {
    process.measure(() => scheduler.applyReport(report, timeline.now()));
    for (const attempt of scheduler.takeStops()) stopTask(attempt);
    appendDirty();
    requestCycle();
  }

  function stopTask(attempt: scheduling.activeJob.Attempt): void {
    const {workerId} = attempt;
    const onArrival = () =>
      timeline.schedule(STOP_TASK_MS, () => endAttempt(attempt, 'stopped'));
    const onAnswer = () => scheduler.onStopAnswered(attempt, timeline.now());
    parts.callsFor(workerId).send([{workerId, onArrival, onAnswer}]);
  }

  return {
    scheduler,
    process,
    jobs,
    accept(start) {
      process.enqueue(workerCalls.CALL_COST_MS, () => {
        process.measure(() =>
          scheduler.addJob(
            {...start, inherited: false},
            timeline.now(),
            wall(),
          ),
        );
        requestCycle();
      });
    },
    transferOut(job) {
      const {id, request, policy, acceptedAt} = job;
      const progress = scheduling.activeJob.progressOf(job, true);
      transferredOut.add(id);
      scheduler.cancelJob(id);
      return {
        id,
        request,
        policy,
        acceptedAt,
        progress: {...progress, workers: []},
      };
    },
    sendStarts,
    refuseStarts(starts) {
      for (const {attempt} of starts) {
        const outcome = {type: 'refused', reason: 'superseded'} as const;
        scheduler.onStartAnswered(attempt, outcome, timeline.now());
      }
      requestCycle();
    },
    requestCycle,
    adviserCallCount: () => adviser.callCount(),
  };
}
