/** One attempt of a task on a worker, from its start to its end. */
import * as types from '@gypsumwall/types';
import type * as checkpoints from './checkpoints.js';
import type * as gangs from './gangs.js';
import type * as history from './history.js';
import type * as jobCatalog from './job_catalog.js';

/** What an attempt needs from its worker. */
export interface AttemptHost {
  readonly clock: types.clock.Clock;
  readonly gangs: gangs.Gangs;
  readonly checkpoints: checkpoints.Checkpoints;
  readonly durations: AttemptDurations;
  /** Returns the work done per millisecond: 1 is normal, 0 is a standstill. */
  speed(): number;
  /** Draws whether an attempt fails, and after how much work it ends. */
  drawOutcome(step: jobCatalog.StepSpec): AttemptOutcome;
  onWorkStarted(): void;
  onEnd(how: history.AttemptEnd, checkpoint: string): void;
}

/** Durations that the platform defines, in milliseconds. */
export interface AttemptDurations {
  readonly startupMs: number;
  readonly restoreMs: number;
  readonly checkpointMs: number;
  readonly stopMs: number;
  readonly gangTimeoutMs: number;
}

/** How an attempt ends if nothing ends it earlier. */
export interface AttemptOutcome {
  readonly how: 'done' | 'failed';
  /** The work until then, in milliseconds; infinite for never. */
  readonly afterMs: number;
}

/** The attempt to start. */
export interface AttemptRequest extends history.AttemptId {
  readonly task: jobCatalog.CatalogTask;
  /** Owner of the checkpoints: the task, or the step run of a gang. */
  readonly owner: string;
  /** Progress from the checkpoint; undefined without a checkpoint. */
  readonly initialProgressMs: number | undefined;
}

/** An attempt that has started. */
export interface WorkerAttempt extends history.AttemptId {
  readonly size: types.resources.Resources;
  readonly checkpoint: () => string;
  readonly percent: () => number;
  /** Saves the progress and ends the attempt after the platform's `stopMs`. */
  stop(): void;
  /** Ends the attempt at once. */
  kill(how: 'lapsed' | 'failed'): void;
  /** Ends the attempt at once without a report, because its worker has ended. */
  discard(): void;
}

/** Interval of progress updates, after which a new speed applies. */
const PROGRESS_INTERVAL_MS = 100;
const FULL_PERCENT = 100;

/** Starts an attempt. */
export function startWorkerAttempt(
  request: AttemptRequest,
  host: AttemptHost,
): WorkerAttempt {
  const {clock, durations} = host;
  const {step, stepRunId} = request.task;
  const outcome = host.drawOutcome(step);
  const ended = new AbortController();
  const gangComplete = new AbortController();
  let progressMs = request.initialProgressMs ?? 0;
  let savedProgressMs = progressMs;
  let savedCheckpoint = '';
  let isWorking = false;
  let isStopping = false;

  const membership = step.gang
    ? host.gangs.join(stepRunId, request.attempt, step.taskCount, {
        onComplete: () => gangComplete.abort(),
        onEnd: (how) => end(how),
      })
    : undefined;

  function end(how: history.AttemptEnd): void {
    if (ended.signal.aborted) return;
    ended.abort();
    membership?.leave();
    host.onEnd(how, savedCheckpoint);
  }

  function save(): void {
    if (!step.savesProgress || progressMs === savedProgressMs) return;
    savedCheckpoint = host.checkpoints.save(request.owner, progressMs);
    savedProgressMs = progressMs;
  }

  async function waitForGang(): Promise<boolean> {
    if (membership === undefined || membership.isComplete()) return true;
    const deadline = types.clock.after(
      clock.monotonic(),
      durations.gangTimeoutMs,
    );
    await clock.sleepUntil(
      deadline,
      AbortSignal.any([ended.signal, gangComplete.signal]),
    );
    return membership.isComplete();
  }

  async function work(): Promise<void> {
    while (progressMs < outcome.afterMs && !ended.signal.aborted) {
      const speed = host.speed();
      const remainingMs =
        speed > 0 ? (outcome.afterMs - progressMs) / speed : Infinity;
      const intervalMs = Math.min(PROGRESS_INTERVAL_MS, remainingMs);
      await types.clock.sleepFor(clock, intervalMs, ended.signal);
      progressMs += intervalMs * speed;
      if (progressMs - savedProgressMs >= durations.checkpointMs) save();
    }
  }

  async function run(): Promise<void> {
    const hasCheckpoint = request.initialProgressMs !== undefined;
    const delayMs =
      durations.startupMs + (hasCheckpoint ? durations.restoreMs : 0);
    await types.clock.sleepFor(clock, delayMs, ended.signal);
    if (!(await waitForGang())) return end('alone');
    if (ended.signal.aborted) return;
    isWorking = true;
    host.onWorkStarted();
    await work();
    if (ended.signal.aborted || isStopping) return;
    if (outcome.how === 'failed') return end('failed');
    if (membership === undefined) return end('done');
    membership.finish();
  }

  async function stopAfterDelay(): Promise<void> {
    await types.clock.sleepFor(clock, durations.stopMs, ended.signal);
    if (ended.signal.aborted) return;
    save();
    end('stopped');
  }

  function percent(): number {
    if (step.lasting) return isWorking ? FULL_PERCENT : 0;
    return Math.min(
      FULL_PERCENT,
      Math.floor((progressMs / step.workMs) * FULL_PERCENT),
    );
  }

  void run();
  return {
    taskId: request.taskId,
    attempt: request.attempt,
    size: step.size,
    checkpoint: () => savedCheckpoint,
    percent,
    stop() {
      if (isStopping) return;
      isStopping = true;
      void stopAfterDelay();
    },
    kill: (how) => end(how),
    discard() {
      ended.abort();
      membership?.leave();
    },
  };
}
