/** One run of a task on a worker, from its start to its end. */
import * as types from '@gypsumwall/types';
import type * as checkpoints from './checkpoints.js';
import type * as gangs from './gangs.js';
import type * as history from './history.js';
import type * as jobCatalog from './job_catalog.js';

/** What a run can ask of its worker. */
export interface RunHost {
  readonly clock: types.clock.Clock;
  readonly gangs: gangs.Gangs;
  readonly checkpoints: checkpoints.Checkpoints;
  readonly durations: RunDurations;
  /** Work done a millisecond: 1 on a sound worker, 0 where it stands still. */
  pace(): number;
  /** Draws whether a run fails at its end, or how long a lasting one runs. */
  drawFate(step: jobCatalog.StepSpec): RunFate;
  onAtWork(): void;
  onEnd(how: history.RunEnd, checkpoint: string): void;
}

/** Spans that the platform fixes, in milliseconds. */
export interface RunDurations {
  readonly startupMs: number;
  readonly restoreMs: number;
  readonly checkpointMs: number;
  readonly stopMs: number;
  readonly gangTimeoutMs: number;
}

/** How a run would end by itself. */
export interface RunFate {
  readonly how: 'done' | 'failed';
  /** After so much work, in milliseconds; infinite for never. */
  readonly afterMs: number;
}

/** What to run. */
export interface RunRequest extends history.RunId {
  readonly place: jobCatalog.TaskPlace;
  /** Where the progress belongs. */
  readonly owner: string;
  /** Progress with which the run begins; undefined without a checkpoint. */
  readonly resumesAtMs: number | undefined;
}

/** A run. */
export interface WorkerRun extends history.RunId {
  readonly size: types.resources.Resources;
  readonly checkpoint: () => string;
  readonly percent: () => number;
  /** Ends it in the platform's time for stops, with its progress saved. */
  stop(): void;
  /** Ends it at once. */
  kill(how: 'lapsed' | 'failed'): void;
  /** Ends it at once and without a trace: its worker is gone. */
  vanish(): void;
}

/** Work between two looks at the pace, in milliseconds. */
const SLICE_MS = 100;
const WHOLE = 100;

/** Starts a run. */
export function startWorkerRun(request: RunRequest, host: RunHost): WorkerRun {
  const {clock, durations} = host;
  const {step, stepRunId} = request.place;
  const fate = host.drawFate(step);
  const over = new AbortController();
  const complete = new AbortController();
  let progressMs = request.resumesAtMs ?? 0;
  let savedMs = progressMs;
  let saved = '';
  let atWork = false;
  let stopping = false;

  const place = step.gang
    ? host.gangs.join(stepRunId, request.attempt, step.taskCount, {
        onComplete: () => complete.abort(),
        onEnd: (how) => end(how),
      })
    : undefined;

  function end(how: history.RunEnd): void {
    if (over.signal.aborted) return;
    over.abort();
    place?.leave();
    host.onEnd(how, saved);
  }

  function save(): void {
    if (!step.savesProgress || progressMs === savedMs) return;
    saved = host.checkpoints.save(request.owner, progressMs);
    savedMs = progressMs;
  }

  async function assemble(): Promise<boolean> {
    if (place === undefined || place.isComplete()) return true;
    const until = types.clock.after(clock.monotonic(), durations.gangTimeoutMs);
    await clock.sleepUntil(
      until,
      AbortSignal.any([over.signal, complete.signal]),
    );
    return place.isComplete();
  }

  async function work(): Promise<void> {
    while (progressMs < fate.afterMs && !over.signal.aborted) {
      const pace = host.pace();
      const leftMs = pace > 0 ? (fate.afterMs - progressMs) / pace : Infinity;
      const sliceMs = Math.min(SLICE_MS, leftMs);
      await types.clock.sleepFor(clock, sliceMs, over.signal);
      progressMs += sliceMs * pace;
      if (progressMs - savedMs >= durations.checkpointMs) save();
    }
  }

  async function live(): Promise<void> {
    const resumes = request.resumesAtMs !== undefined;
    const startMs = durations.startupMs + (resumes ? durations.restoreMs : 0);
    await types.clock.sleepFor(clock, startMs, over.signal);
    if (!(await assemble())) return end('alone');
    if (over.signal.aborted) return;
    atWork = true;
    host.onAtWork();
    await work();
    if (over.signal.aborted || stopping) return;
    if (fate.how === 'failed') return end('failed');
    if (place === undefined) return end('done');
    place.finish();
  }

  async function stopLater(): Promise<void> {
    await types.clock.sleepFor(clock, durations.stopMs, over.signal);
    if (over.signal.aborted) return;
    save();
    end('stopped');
  }

  function percent(): number {
    if (step.lasting) return atWork ? WHOLE : 0;
    return Math.min(WHOLE, Math.floor((progressMs / step.workMs) * WHOLE));
  }

  void live();
  return {
    taskId: request.taskId,
    attempt: request.attempt,
    size: step.size,
    checkpoint: () => saved,
    percent,
    stop() {
      if (stopping) return;
      stopping = true;
      void stopLater();
    },
    kill: (how) => end(how),
    vanish() {
      over.abort();
      place?.leave();
    },
  };
}
