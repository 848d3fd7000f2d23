/** The machines, jobs and sightings of a world of crashes. */
import * as types from '@gypsumwall/types';
import type * as jobRequest from '../job_request.js';
import type * as schedulerTypes from '../scheduler_types.js';
import type * as workerRegistry from '../worker_registry.js';
import * as schedulerWorlds from './scheduler_world.js';

/** What the tasks of a job do. */
export interface Behaviour {
  readonly workMs: number;
  /** The task of this index crashes its worker after so long. */
  readonly crash?: {readonly index: number; readonly afterMs: number};
}

/** A start that a worker carried out. */
export interface ObservedStart {
  readonly taskId: types.ids.TaskId;
  readonly worker: types.ids.WorkerId;
  readonly at: types.clock.MonotonicMs;
  /** Whether the worker's runs took more than its capacity from then on. */
  readonly exceedsCapacity: boolean;
}

/** A worker's crash and what ran there. */
export interface ObservedCrash {
  readonly at: types.clock.MonotonicMs;
  readonly worker: types.ids.WorkerId;
  /** The task that crashed it; absent where it crashed by itself. */
  readonly culprit?: types.ids.TaskId;
  readonly tasks: readonly types.ids.TaskId[];
}

/** A run, as it is on its worker. */
export interface RealAttempt {
  readonly taskId: types.ids.TaskId;
  readonly number: number;
  readonly startedAt: types.clock.MonotonicMs;
  readonly size: types.resources.Resources;
  stopsAt?: types.clock.MonotonicMs;
}

/** A machine and the life of its worker. */
export interface Machine {
  readonly name: string;
  incarnation: number;
  info: workerRegistry.WorkerInfo;
  /** Down until then, if it isn't up. */
  backAt?: types.clock.MonotonicMs;
  crashedAt?: types.clock.MonotonicMs;
  attempts: RealAttempt[];
  ends: schedulerTypes.AttemptEnd[];
  sequence: number;
  receivedSequence: number;
}

/** A job as it was handed in. */
export interface Job {
  readonly id: types.ids.JobId;
  readonly request: jobRequest.JobRequest;
  readonly policy: jobRequest.QueuePolicy;
  readonly behaviour: Behaviour;
  readonly acceptedAt: types.clock.MonotonicMs;
}

/** An append that the store has not confirmed. */
export interface Write {
  readonly dirty: readonly schedulerTypes.DirtyJob[];
  readonly dueAt: types.clock.MonotonicMs;
  readonly receivedSequences: ReadonlyMap<Machine, number>;
  /** Lives that are off the record with it. */
  readonly removedWorkers: readonly types.ids.WorkerId[];
}

/** Creates a machine with a worker that has run nothing. */
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
    attempts: [],
    ends: [],
    sequence: 0,
    receivedSequence: 0,
  };
}

/** What the runs on a machine take together. */
export function usedResources(machine: Machine): types.resources.Resources {
  return machine.attempts
    .map((attempt) => attempt.size)
    .reduce(types.resources.add, types.resources.NO_RESOURCES);
}
