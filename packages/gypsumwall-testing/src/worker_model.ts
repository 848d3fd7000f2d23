/**
 * One worker's behaviour, as docs/PLATFORM.md tells it. It does not refuse a
 * start that is over its capacity: it records it, so that the judge can see
 * the breach.
 */
import type * as platform from '@gypsumwall/platform';
import * as types from '@gypsumwall/types';
import type * as history from './history.js';
import * as machineClock from './machine_clock.js';
import * as standInServer from './stand_in_server.js';
import * as taskWork from './task_work.js';
import * as workerTask from './worker_task.js';

/** A worker's surroundings. */
export interface WorkerModelOptions {
  readonly id: string;
  readonly capacity: types.resources.Resources;
  readonly clockOffsetMs: number;
  readonly usageLagMs: number;
  readonly random: types.random.Random;
  readonly recorded: history.History;
  /** Progress that checkpoints saved, by task id; all workers share it. */
  readonly checkpoints: Map<string, number>;
}

interface Attempt {
  readonly taskId: string;
  readonly attempt: string;
}

/** A worker. Calls throw refusals. */
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
  stop(call: platform.worker.HolderCall, attempts: readonly Attempt[]): void;
  throttle(
    call: platform.worker.HolderCall,
    attempt: string,
    cpuMillis: number,
  ): void;
  checkpoint(call: platform.worker.HolderCall, attempt: string): void;
  /** The process dies with its tasks and comes back as another stay. */
  restart(): void;
  setFailsAll(failsAll: boolean): void;
}

const CONFLICT_STATUS = 409;

/** Makes a worker with nothing running. */
export function createWorkerModel(options: WorkerModelOptions): WorkerModel {
  const {id, recorded} = options;
  const running = new Map<string, workerTask.WorkerTask>();
  const finished = new Map<string, platform.worker.FinishedTask>();
  /** Attempts that were stopped or have ended; they never start again. */
  const over = new Set<string>();
  let highestEpoch = -1;
  let stays = 0;
  let incarnation = types.ids.brand<types.ids.WorkerIncarnation>('');
  let failsAll = false;

  const toWorkerMs = (at: number): platform.worker.WorkerMs =>
    (at + options.clockOffsetMs) as platform.worker.WorkerMs;
  const toMachineMs = (at: number): machineClock.MachineMs =>
    (at - options.clockOffsetMs) as machineClock.MachineMs;
  const now = (): platform.worker.WorkerMs =>
    toWorkerMs(machineClock.machineNow());

  const refuse = (error: string, message: string): never => {
    throw standInServer.refusalError({status: CONFLICT_STATUS, error, message});
  };
  const fence = (epoch: number): void => {
    if (epoch < highestEpoch) {
      refuse('stale_epoch', `epoch ${epoch} is older than ${highestEpoch}`);
    }
    highestEpoch = epoch;
  };
  const check = (call: platform.worker.HolderCall): void => {
    if (call.incarnation !== incarnation) {
      refuse('conflict', `incarnation is ${incarnation}`);
    }
    fence(call.epoch);
    settleAll();
  };
  const settleAll = (): void => {
    for (const task of [...running.values()]) task.settle();
  };
  const beginStay = (): void => {
    stays += 1;
    incarnation = types.ids.brand(`${id}-stay-${stays}`);
    const {capacity} = options;
    recorded.record({type: 'worker_up', workerId: id, incarnation, capacity});
  };

  const startOne = (
    epoch: number,
    task: platform.worker.StartTask,
  ): platform.worker.StartAnswer => {
    const key = keyOf(task);
    if (running.has(key)) return {type: 'started'};
    if (over.has(key)) {
      return {type: 'refused', message: 'this attempt is over'};
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
    const run = workerTask.createWorkerTask({
      task,
      work,
      progressMs: options.checkpoints.get(taskId) ?? 0,
      fate: drawFate(work),
      leaseUntil: toMachineMs(task.leaseUntil),
      onEnd: (end) => onEnd(run, end),
    });
    running.set(key, run);
    return {type: 'started'};
  };
  const drawFate = (
    work: taskWork.TaskWork,
  ): workerTask.WorkerTaskOptions['fate'] => {
    if (failsAll || work.neverRuns) return 'fails_at_once';
    return options.random.next() < work.failRate ? 'fails_at_end' : 'done';
  };
  const onEnd = (
    run: workerTask.WorkerTask,
    {cause, end, ranMs, progressMs}: workerTask.RunEnd,
  ): void => {
    const {taskId, attempt} = run.task;
    const key = keyOf(run.task);
    running.delete(key);
    over.add(key);
    finished.set(key, {taskId, attempt, end});
    if (cause === 'checkpointed') options.checkpoints.set(taskId, progressMs);
    const used = run.used();
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
  const findRunning = (attempt: string): workerTask.WorkerTask | undefined =>
    [...running.values()].find((run) => run.task.attempt === attempt);

  const recordEnd = (
    type: 'end_told' | 'end_acknowledged',
    {taskId, attempt}: Attempt,
  ): void => {
    recorded.record({type, workerId: id, taskId, attempt});
  };
  const tellEnds = (): platform.worker.FinishedTask[] => {
    const ends = [...finished.values()];
    for (const end of ends) recordEnd('end_told', end);
    return ends;
  };
  const runningTasks = (): platform.worker.RunningTask[] =>
    [...running.values()].map((run) => {
      const {taskId, attempt, size} = run.task;
      return {taskId, attempt, size, leaseUntil: toWorkerMs(run.leaseUntil())};
    });
  const usage = (): platform.worker.TaskUsage[] => {
    const before = machineClock.machineNow() - options.usageLagMs;
    return [...running.values()]
      .filter((run) => run.startedAt <= before)
      .map((run) => {
        const {taskId, attempt} = run.task;
        return {taskId, attempt, used: run.used()};
      });
  };

  beginStay();
  return {
    attach: (epoch) => {
      fence(epoch);
      settleAll();
      return {
        incarnation,
        now: now(),
        capacity: options.capacity,
        running: runningTasks(),
        finished: tellEnds(),
      };
    },
    start: (call, startBy, tasks) => {
      check(call);
      if (now() > startBy) refuse('too_late', `now ${now()}, by ${startBy}`);
      return tasks.map((task) => startOne(call.epoch, task));
    },
    heartbeat: (call, leaseUntil, acknowledged) => {
      check(call);
      const known = new Set(acknowledged);
      for (const [key, task] of finished) {
        if (!known.has(task.attempt)) continue;
        finished.delete(key);
        recordEnd('end_acknowledged', task);
      }
      for (const run of running.values()) run.renew(toMachineMs(leaseUntil));
      return {
        now: now(),
        running: runningTasks(),
        finished: tellEnds(),
        usage: usage(),
      };
    },
    stop: (call, attempts) => {
      check(call);
      for (const attempt of attempts) {
        over.add(keyOf(attempt));
        running.get(keyOf(attempt))?.stop('stop_call');
      }
    },
    throttle: (call, attempt, cpuMillis) => {
      check(call);
      findRunning(attempt)?.throttle(cpuMillis);
    },
    checkpoint: (call, attempt) => {
      check(call);
      findRunning(attempt)?.stop('checkpointed');
    },
    restart: () => {
      for (const run of [...running.values()]) run.stop('worker_restarted');
      finished.clear();
      over.clear();
      highestEpoch = -1;
      beginStay();
    },
    setFailsAll: (wanted) => {
      failsAll = wanted;
    },
  };
}

function keyOf({taskId, attempt}: Attempt): string {
  return `${taskId} ${attempt}`;
}
