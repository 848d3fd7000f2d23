/** One run of a task on a worker, from its start to its end. */
import * as types from '@gypsumwall/types';
import type * as checkpoints from './checkpoints.js';
import type * as gangs from './gangs.js';
import type * as history from './history.js';
import type * as jobCatalog from './job_catalog.js';

/** What a run can ask of its worker. */
export interface AttemptHost {
  readonly clock: types.clock.Clock;
  readonly gangs: gangs.Gangs;
  readonly checkpoints: checkpoints.Checkpoints;
  readonly durations: AttemptDurations;
  /** Work done a millisecond: 1 on a sound worker, 0 where it stands still. */
  speed(): number;
  /** Draws whether a run fails at its end, or how long a lasting one runs. */
  drawOutcome(step: jobCatalog.StepSpec): AttemptOutcome;
  onWorkStarted(): void;
  onEnd(how: history.AttemptEnd, checkpoint: string): void;
}

/** Spans that the platform fixes, in milliseconds. */
export interface AttemptDurations {
  readonly startupMs: number;
  readonly restoreMs: number;
  readonly checkpointMs: number;
  readonly stopMs: number;
  readonly gangTimeoutMs: number;
}

/** How a run would end by itself. */
export interface AttemptOutcome {
  readonly how: 'done' | 'failed';
  /** After so much work, in milliseconds; infinite for never. */
  readonly afterMs: number;
}

/** What to run. */
export interface AttemptRequest extends history.AttemptId {
  readonly task: jobCatalog.CatalogTask;
  /** Where the progress belongs. */
  readonly owner: string;
  /** Progress with which the run begins; undefined without a checkpoint. */
  readonly initialProgressMs: number | undefined;
}

/** A run. */
export interface WorkerAttempt extends history.AttemptId {
  readonly size: types.resources.Resources;
  readonly checkpoint: () => string;
  readonly percent: () => number;
  /** Ends it in the platform's time for stops, with its progress saved. */
  stop(): void;
  /** Ends it at once. */
  kill(how: 'lapsed' | 'failed'): void;
  /** Ends it at once and without a trace: its worker is gone. */
  discard(): void;
}

/** Work between two looks at the pace, in milliseconds. */
const PROGRESS_INTERVAL_MS = 100;
const FULL_PERCENT = 100;

/** Starts a run. */
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
    const until = types.clock.after(clock.monotonic(), durations.gangTimeoutMs);
    await clock.sleepUntil(
      until,
      AbortSignal.any([ended.signal, gangComplete.signal]),
    );
    return membership.isComplete();
  }

  async function work(): Promise<void> {
    while (progressMs < outcome.afterMs && !ended.signal.aborted) {
      const pace = host.speed();
      const leftMs =
        pace > 0 ? (outcome.afterMs - progressMs) / pace : Infinity;
      const intervalMs = Math.min(PROGRESS_INTERVAL_MS, leftMs);
      await types.clock.sleepFor(clock, intervalMs, ended.signal);
      progressMs += intervalMs * pace;
      if (progressMs - savedProgressMs >= durations.checkpointMs) save();
    }
  }

  async function run(): Promise<void> {
    const hasCheckpoint = request.initialProgressMs !== undefined;
    const startupMs =
      durations.startupMs + (hasCheckpoint ? durations.restoreMs : 0);
    await types.clock.sleepFor(clock, startupMs, ended.signal);
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
