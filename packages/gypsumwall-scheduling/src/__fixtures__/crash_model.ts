/**
 * The machines, jobs and observations of a simulated cell with crashing
 * workers.
 */
import * as types from '@gypsumwall/types';
import type * as jobRequest from '../job_request.js';
import type * as schedulerTypes from '../scheduler_types.js';
import type * as workerRegistry from '../worker_registry.js';
import * as schedulerWorlds from './scheduler_world.js';

/** Behaviour of the tasks of a job. */
export interface Behaviour {
  readonly workMs: number;
  /**
   * The task of the first step with this index crashes its worker after this
   * time.
   */
  readonly crash?: {readonly index: number; readonly afterMs: number};
  /**
   * This many attempts of the task of the first step with this index end
   * `failed` after this time.
   */
  readonly fail?: {
    readonly index: number;
    readonly afterMs: number;
    readonly attempts: number;
  };
}

/** A start that a worker has carried out. */
export interface ObservedStart {
  readonly taskId: types.ids.TaskId;
  readonly worker: types.ids.WorkerId;
  readonly at: types.clock.MonotonicMs;
  /** Whether the attempts on the worker exceeded its capacity from then on. */
  readonly exceedsCapacity: boolean;
}

/** A crash of a worker and the tasks that ran there. */
export interface ObservedCrash {
  readonly at: types.clock.MonotonicMs;
  readonly worker: types.ids.WorkerId;
  /** The task that crashed the worker; absent if it crashed without one. */
  readonly culprit?: types.ids.TaskId;
  readonly tasks: readonly types.ids.TaskId[];
  /**
   * Whether the worker had announced its departure, or its machine was cut off
   * before the next worker answered there: the crash is not known as one.
   */
  isHidden: boolean;
}

/** An attempt that ended `failed` at its worker. */
export interface ObservedFailure {
  readonly at: types.clock.MonotonicMs;
  readonly taskId: types.ids.TaskId;
  readonly attempt: number;
}

/** A job that is shown as failed, and since when. */
export interface FailedJob {
  readonly at: types.clock.MonotonicMs;
  readonly job: Job;
}

/** An attempt as it actually exists on its worker. */
export interface RealAttempt {
  readonly taskId: types.ids.TaskId;
  readonly number: number;
  readonly startedAt: types.clock.MonotonicMs;
  readonly size: types.resources.Resources;
  stopsAt?: types.clock.MonotonicMs;
}

/** A machine and the current incarnation of its worker. */
export interface Machine {
  readonly name: string;
  incarnation: number;
  info: workerRegistry.WorkerInfo;
  /** When the worker is restarted; absent while it is up. */
  backAt?: types.clock.MonotonicMs;
  /** When a worker that has announced its departure leaves. */
  leavesAt?: types.clock.MonotonicMs;
  /** Whether calls to and from the machine fail. */
  isCutOff: boolean;
  /** Since when the machine does not answer; absent while it does. */
  silentSince?: types.clock.MonotonicMs;
  attempts: RealAttempt[];
  ends: schedulerTypes.AttemptEnd[];
  sequence: number;
  receivedSequence: number;
}

/** A job as it was submitted. */
export interface Job {
  readonly id: types.ids.JobId;
  readonly request: jobRequest.JobRequest;
  readonly policy: jobRequest.QueuePolicy;
  readonly behaviour: Behaviour;
  readonly acceptedAt: types.clock.MonotonicMs;
}

/** An append that the store has not committed. */
export interface Write {
  readonly dirty: readonly schedulerTypes.DirtyJob[];
  readonly dueAt: types.clock.MonotonicMs;
  /** Last received sequence numbers by incarnation. */
  readonly receivedSequences: ReadonlyMap<types.ids.WorkerId, number>;
  /** Incarnations that the append removes from the recorded workers. */
  readonly removedWorkers: readonly types.ids.WorkerId[];
}

/** Creates a machine with a worker without attempts. */
export function createMachine(
  domain: string,
  name: string,
  cores: number,
): Machine {
  return {
    name,
    incarnation: 1,
    info: {
      id: types.ids.brand(`${name}.1`),
      address: `${name}:1`,
      domain: types.ids.brand(domain),
      pool: schedulerWorlds.POLICY.pool,
      capacity: {
        cpuMillis: cores * 1_000,
        memoryMb: 100_000,
        accelerators: 0,
      },
      labels: [],
      rack: types.ids.brand(domain),
      draining: false,
    },
    isCutOff: false,
    attempts: [],
    ends: [],
    sequence: 0,
    receivedSequence: 0,
  };
}

/** Resources used by all attempts on a machine. */
export function usedResources(machine: Machine): types.resources.Resources {
  return machine.attempts
    .map((attempt) => attempt.size)
    .reduce(types.resources.add, types.resources.NO_RESOURCES);
}
