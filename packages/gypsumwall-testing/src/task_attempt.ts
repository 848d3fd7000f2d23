/**
 * One attempt of a task on a stand-in worker: its progress, its lease and its
 * end. The attempt ends on time even if the worker receives no more calls.
 */
import type * as platform from '@gypsumwall/platform';
import type * as types from '@gypsumwall/types';
import type * as historyEvent from './history_event.js';
import * as machineClock from './machine_clock.js';
import * as taskWork from './task_work.js';

/** How an attempt ended. */
export interface AttemptEnd {
  readonly cause: historyEvent.EndCause;
  readonly end: types.job.TaskEnd;
  readonly ranMs: number;
  /** Run time completed so far, as if unthrottled; a checkpoint saves it. */
  readonly progressMs: number;
}

/** Options of an attempt. */
export interface TaskAttemptOptions {
  readonly task: platform.worker.StartTask;
  readonly work: taskWork.TaskWork;
  /** Progress that a checkpoint of an earlier attempt saved. */
  readonly progressMs: number;
  /** Whether the attempt succeeds, fails at its end, or fails at once. */
  readonly plannedEnd: 'done' | 'fails_at_end' | 'fails_at_once';
  /** End of the lease, on the machine's clock. */
  readonly leaseUntil: machineClock.MachineMs;
  readonly onEnd: (end: AttemptEnd) => void;
}

/** A running attempt of a task. */
export interface TaskAttempt {
  readonly task: platform.worker.StartTask;
  readonly work: taskWork.TaskWork;
  readonly startedAt: machineClock.MachineMs;
  leaseUntil(): machineClock.MachineMs;
  /** Extends the lease; an earlier end is ignored. */
  renew(leaseUntil: machineClock.MachineMs): void;
  /** Limits the processor use; 0 removes the limit. */
  throttle(cpuMillis: number): void;
  /** Returns the resources that the attempt uses now. */
  currentUsage(): types.resources.Resources;
  /** Ends the attempt now. */
  stop(cause: 'stop_call' | 'checkpointed' | 'worker_restarted'): void;
  /**
   * Ends the attempt if its run time or its lease is over; called before the
   * state is read, since timers may fire late.
   */
  finishIfDue(): void;
}

/** Starts an attempt. */
export function createTaskAttempt(options: TaskAttemptOptions): TaskAttempt {
  const {task, work} = options;
  const startedAt = machineClock.machineNow();
  const usage = taskWork.trueUsage(work, task.size);
  let leaseUntil = options.leaseUntil;
  let progressMs = options.progressMs;
  let progressUpdatedAt = startedAt;
  let cpuLimitMillis = 0;
  let hasEnded = false;
  let timer: NodeJS.Timeout | undefined;

  const progressRate = (): number =>
    cpuLimitMillis > 0 && usage.cpuMillis > 0
      ? Math.min(1, cpuLimitMillis / usage.cpuMillis)
      : 1;
  const updateProgress = (): void => {
    const now = machineClock.machineNow();
    progressMs += (now - progressUpdatedAt) * progressRate();
    progressUpdatedAt = now;
  };
  const endsAt = (): number =>
    options.plannedEnd === 'fails_at_once'
      ? startedAt
      : progressUpdatedAt + (work.runMs - progressMs) / progressRate();

  const finish = (
    cause: historyEvent.EndCause,
    end: types.job.TaskEnd,
  ): void => {
    if (hasEnded) return;
    hasEnded = true;
    clearTimeout(timer);
    updateProgress();
    const ranMs = machineClock.machineNow() - startedAt;
    options.onEnd({cause, end, ranMs, progressMs});
  };
  const finishIfDue = (): void => {
    const now = machineClock.machineNow();
    if (endsAt() <= Math.min(now, leaseUntil)) {
      if (options.plannedEnd === 'done') {
        finish('done', {type: 'done', result: work.result});
      } else {
        finish('failed', {type: 'failed', message: 'exit status 1'});
      }
    } else if (leaseUntil <= now) {
      finish('lease_lapsed', {type: 'stopped', message: 'lease lapsed'});
    }
  };
  const scheduleTimer = (): void => {
    clearTimeout(timer);
    if (hasEnded) return;
    const timerAt = Math.min(endsAt(), leaseUntil);
    const delayMs = Math.max(0, timerAt - machineClock.machineNow());
    timer = setTimeout(onTimer, Math.ceil(delayMs));
    timer.unref();
  };
  const onTimer = (): void => {
    finishIfDue();
    // The lease may have been extended since the timer was set.
    scheduleTimer();
  };
  scheduleTimer();

  return {
    task,
    work,
    startedAt,
    leaseUntil: () => leaseUntil,
    renew: (until) => {
      if (until > leaseUntil) leaseUntil = until;
    },
    throttle: (cpuMillis) => {
      updateProgress();
      cpuLimitMillis = cpuMillis;
      scheduleTimer();
    },
    currentUsage: () => ({
      ...usage,
      cpuMillis: usage.cpuMillis * progressRate(),
    }),
    stop: (cause) => {
      const message = cause.replaceAll('_', ' ');
      finish(cause, {type: 'stopped', message});
    },
    finishIfDue,
  };
}
