/**
 * Model of one worker, as docs/PLATFORM.md describes it. It accepts a start
 * that exceeds its capacity and records it, so that the judge can detect the
 * violation.
 */
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import type * as history from './history.js';
import * as machineClock from './machine_clock.js';
import * as standInServer from './stand_in_server.js';
import * as taskWork from './task_work.js';
import * as taskAttempt from './task_attempt.js';

/** Options of a worker. */
export interface WorkerModelOptions {
  readonly id: string;
  readonly capacity: types.resources.Resources;
  readonly clockOffsetMs: number;
  readonly usageLagMs: number;
  readonly random: types.random.Random;
  readonly recorded: history.History;
  /** Progress saved by checkpoints, by task id; shared by all workers. */
  readonly checkpoints: Map<string, number>;
}

interface AttemptRef {
  readonly taskId: string;
  readonly attempt: string;
}

/** A worker; its calls throw refusals. */
export interface WorkerModel {
  attach(epoch: number): platform.worker.AttachAnswer;
  start(
    call: platform.worker.HolderCall,
    startBy: number,
    tasks: readonly platform.worker.StartTask[],
  ): platform.worker.StartAnswer[];
  heartbeat(
    call: platform.worker.HolderCall,
    leaseUntil: number,
    acknowledged: readonly string[],
  ): platform.worker.HeartbeatAnswer;
  stop(call: platform.worker.HolderCall, attempts: readonly AttemptRef[]): void;
  throttle(
    call: platform.worker.HolderCall,
    attempt: string,
    cpuMillis: number,
  ): void;
  checkpoint(call: platform.worker.HolderCall, attempt: string): void;
  /**
   * Ends the process with all its tasks and starts it again as a new
   * incarnation.
   */
  restart(): void;
  setFailsAll(failsAll: boolean): void;
}

const CONFLICT_STATUS = 409;

/** Creates a worker without running tasks. */
export function createWorkerModel(options: WorkerModelOptions): WorkerModel {
  const {id, recorded} = options;
  const running = new Map<string, taskAttempt.TaskAttempt>();
  const finished = new Map<string, platform.worker.FinishedTask>();
  /** Attempts that were stopped or have ended; they are never started again. */
  const closedAttempts = new Set<string>();
  let highestEpoch = -1;
  let incarnationCount = 0;
  let incarnation = types.ids.brand<types.ids.WorkerIncarnation>('');
  let failsAll = false;

  const toWorkerMs = (at: number): platform.worker.WorkerMs =>
    (at + options.clockOffsetMs) as platform.worker.WorkerMs;
  const toMachineMs = (at: number): machineClock.MachineMs =>
    (at - options.clockOffsetMs) as machineClock.MachineMs;
  const now = (): platform.worker.WorkerMs =>
    toWorkerMs(machineClock.machineNow());

  const refuse = (error: string, message: string): never => {
    throw standInServer.createRefusalError({
      status: CONFLICT_STATUS,
      error,
      message,
    });
  };
  const fence = (epoch: number): void => {
    if (epoch < highestEpoch) {
      refuse('stale_epoch', `epoch ${epoch} is older than ${highestEpoch}`);
    }
    highestEpoch = epoch;
  };
  const validateCall = (call: platform.worker.HolderCall): void => {
    if (call.incarnation !== incarnation) {
      refuse('conflict', `incarnation is ${incarnation}`);
    }
    fence(call.epoch);
    finishDueAttempts();
  };
  const finishDueAttempts = (): void => {
    for (const task of [...running.values()]) task.finishIfDue();
  };
  const startIncarnation = (): void => {
    incarnationCount += 1;
    incarnation = types.ids.brand(`${id}-stay-${incarnationCount}`);
    const {capacity} = options;
    recorded.record({type: 'worker_up', workerId: id, incarnation, capacity});
  };

  const startTask = (
    epoch: number,
    task: platform.worker.StartTask,
  ): platform.worker.StartAnswer => {
    const key = keyOf(task);
    if (running.has(key)) return {type: 'started'};
    if (closedAttempts.has(key)) {
      return {
        type: 'refused',
        message: 'this attempt has ended or was stopped',
      };
    }
    const work = taskWork.parseWork(task.work);
    const {taskId, attempt, size} = task;
    recorded.record({
      type: 'task_started',
      workerId: id,
      taskId,
      attempt,
      epoch,
      size,
      label: work.label,
    });
    const execution = taskAttempt.createTaskAttempt({
      task,
      work,
      progressMs: options.checkpoints.get(taskId) ?? 0,
      plannedEnd: choosePlannedEnd(work),
      leaseUntil: toMachineMs(task.leaseUntil),
      onEnd: (end) => onEnd(execution, end),
    });
    running.set(key, execution);
    return {type: 'started'};
  };
  const choosePlannedEnd = (
    work: taskWork.TaskWork,
  ): taskAttempt.TaskAttemptOptions['plannedEnd'] => {
    if (failsAll || work.neverRuns) return 'fails_at_once';
    return options.random.next() < work.failRate ? 'fails_at_end' : 'done';
  };
  const onEnd = (
    execution: taskAttempt.TaskAttempt,
    {cause, end, ranMs, progressMs}: taskAttempt.AttemptEnd,
  ): void => {
    const {taskId, attempt} = execution.task;
    const key = keyOf(execution.task);
    running.delete(key);
    closedAttempts.add(key);
    finished.set(key, {taskId, attempt, end});
    if (cause === 'checkpointed') options.checkpoints.set(taskId, progressMs);
    const used = execution.currentUsage();
    recorded.record({
      type: 'task_ended',
      workerId: id,
      taskId,
      attempt,
      cause,
      used,
      ranMs,
    });
  };
  const findExecution = (
    attempt: string,
  ): taskAttempt.TaskAttempt | undefined =>
    [...running.values()].find(
      (execution) => execution.task.attempt === attempt,
    );

  const recordEnd = (
    type: 'end_told' | 'end_acknowledged',
    {taskId, attempt}: AttemptRef,
  ): void => {
    recorded.record({type, workerId: id, taskId, attempt});
  };
  const reportEnds = (): platform.worker.FinishedTask[] => {
    const ends = [...finished.values()];
    for (const end of ends) recordEnd('end_told', end);
    return ends;
  };
  const runningTasks = (): platform.worker.RunningTask[] =>
    [...running.values()].map((execution) => {
      const {taskId, attempt, size} = execution.task;
      return {
        taskId,
        attempt,
        size,
        leaseUntil: toWorkerMs(execution.leaseUntil()),
      };
    });
  const usage = (): platform.worker.TaskUsage[] => {
    const latestStart = machineClock.machineNow() - options.usageLagMs;
    return [...running.values()]
      .filter((execution) => execution.startedAt <= latestStart)
      .map((execution) => {
        const {taskId, attempt} = execution.task;
        return {taskId, attempt, used: execution.currentUsage()};
      });
  };

  startIncarnation();
  return {
    attach: (epoch) => {
      fence(epoch);
      finishDueAttempts();
      return {
        incarnation,
        now: now(),
        capacity: options.capacity,
        running: runningTasks(),
        finished: reportEnds(),
      };
    },
    start: (call, startBy, tasks) => {
      validateCall(call);
      if (now() > startBy) refuse('too_late', `now ${now()}, by ${startBy}`);
      return tasks.map((task) => startTask(call.epoch, task));
    },
    heartbeat: (call, leaseUntil, acknowledged) => {
      validateCall(call);
      const known = new Set(acknowledged);
      for (const [key, task] of finished) {
        if (!known.has(task.attempt)) continue;
        finished.delete(key);
        recordEnd('end_acknowledged', task);
      }
      for (const task of running.values()) task.renew(toMachineMs(leaseUntil));
      return {
        now: now(),
        running: runningTasks(),
        finished: reportEnds(),
        usage: usage(),
      };
    },
    stop: (call, attempts) => {
      validateCall(call);
      for (const attempt of attempts) {
        closedAttempts.add(keyOf(attempt));
        running.get(keyOf(attempt))?.stop('stop_call');
      }
    },
    throttle: (call, attempt, cpuMillis) => {
      validateCall(call);
      findExecution(attempt)?.throttle(cpuMillis);
    },
    checkpoint: (call, attempt) => {
      validateCall(call);
      findExecution(attempt)?.stop('checkpointed');
    },
    restart: () => {
      for (const task of [...running.values()]) task.stop('worker_restarted');
      finished.clear();
      closedAttempts.clear();
      highestEpoch = -1;
      startIncarnation();
    },
    setFailsAll: (newValue) => {
      failsAll = newValue;
    },
  };
}

function keyOf({taskId, attempt}: AttemptRef): string {
  return `${taskId} ${attempt}`;
}
