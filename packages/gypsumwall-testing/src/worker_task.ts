/**
 * One task that runs at a stand-in worker: its progress, its lease and its
 * end. It ends by itself, also when nobody speaks to the worker any more.
 */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';
import type * as historyEvent from './history_event.js';
import * as machineClock from './machine_clock.js';
import * as taskWork from './task_work.js';

/** How a task's run came to its end. */
export interface RunEnd {
  readonly cause: historyEvent.EndCause;
  readonly end: types.job.TaskEnd;
  readonly ranMs: number;
  /** Unthrottled run time that is behind it; a checkpoint keeps it. */
  readonly progressMs: number;
}

/** What a run needs to know. */
export interface WorkerTaskOptions {
  readonly task: platform.worker.StartTask;
  readonly work: taskWork.TaskWork;
  /** Progress saved by an earlier attempt's checkpoint. */
  readonly progressMs: number;
  /** Whether it fails, and not at its end but at once. */
  readonly fate: 'done' | 'fails_at_end' | 'fails_at_once';
  /** End of the lease on the machine's clock. */
  readonly leaseUntil: machineClock.MachineMs;
  readonly onEnd: (end: RunEnd) => void;
}

/** A running task. */
export interface WorkerTask {
  readonly task: platform.worker.StartTask;
  readonly work: taskWork.TaskWork;
  readonly startedAt: machineClock.MachineMs;
  leaseUntil(): machineClock.MachineMs;
  /** Moves the lease, never back. */
  renew(leaseUntil: machineClock.MachineMs): void;
  /** 0 lifts the limit. */
  throttle(cpuMillis: number): void;
  /** What it uses now. */
  used(): types.resources.Resources;
  /** Ends the run now. */
  stop(cause: 'stop_call' | 'checkpointed' | 'worker_restarted'): void;
  /** Ends the run if its time or its lease is over; timers may be late. */
  settle(): void;
}

/** Starts a run. */
export function createWorkerTask(options: WorkerTaskOptions): WorkerTask {
  const {task, work} = options;
  const startedAt = machineClock.machineNow();
  const usage = taskWork.trueUsage(work, task.size);
  let leaseUntil = options.leaseUntil;
  let progressMs = options.progressMs;
  let progressAt = startedAt;
  let limit = 0;
  let over = false;
  let timer: NodeJS.Timeout | undefined;

  const rate = (): number =>
    limit > 0 && usage.cpuMillis > 0 ? Math.min(1, limit / usage.cpuMillis) : 1;
  const advance = (): void => {
    const now = machineClock.machineNow();
    progressMs += (now - progressAt) * rate();
    progressAt = now;
  };
  const endsAt = (): number =>
    options.fate === 'fails_at_once'
      ? startedAt
      : progressAt + (work.runMs - progressMs) / rate();

  const finish = (
    cause: historyEvent.EndCause,
    end: types.job.TaskEnd,
  ): void => {
    if (over) return;
    over = true;
    clearTimeout(timer);
    advance();
    const ranMs = machineClock.machineNow() - startedAt;
    options.onEnd({cause, end, ranMs, progressMs});
  };
  const settle = (): void => {
    const now = machineClock.machineNow();
    if (endsAt() <= Math.min(now, leaseUntil)) {
      if (options.fate === 'done') {
        finish('done', {type: 'done', result: work.result});
      } else {
        finish('failed', {type: 'failed', message: 'exit status 1'});
      }
    } else if (leaseUntil <= now) {
      finish('lease_lapsed', {type: 'stopped', message: 'lease lapsed'});
    }
  };
  const arm = (): void => {
    clearTimeout(timer);
    if (over) return;
    const wakeAt = Math.min(endsAt(), leaseUntil);
    const spanMs = Math.max(0, wakeAt - machineClock.machineNow());
    timer = setTimeout(onTimer, Math.ceil(spanMs));
    timer.unref();
  };
  const onTimer = (): void => {
    settle();
    // The lease may have moved since the timer was set.
    arm();
  };
  arm();

  return {
    task,
    work,
    startedAt,
    leaseUntil: () => leaseUntil,
    renew: (until) => {
      if (until > leaseUntil) leaseUntil = until;
    },
    throttle: (cpuMillis) => {
      advance();
      limit = cpuMillis;
      arm();
    },
    used: () => ({...usage, cpuMillis: usage.cpuMillis * rate()}),
    stop: (cause) => {
      const message = cause.replaceAll('_', ' ');
      finish(cause, {type: 'stopped', message});
    },
    settle,
  };
}
