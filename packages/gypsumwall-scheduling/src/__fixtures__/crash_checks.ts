/** A small cell with crashing workers, and checks that several tests share. */
import * as assert from 'node:assert/strict';
import type * as types from '@gypsumwall/types';
import * as crashWorlds from './crash_world.js';
import * as failureCause from './failure_cause.js';

/** Maximum number of starts of a task after it has crashed three workers. */
const MAX_STARTS_AFTER_THIRD_CRASH = 2;
/** Three failure domains of three machines. */
export const CELL = {domains: 3, machinesPerDomain: 3, cores: 16};

type World = crashWorlds.CrashWorld;

/** Creates the cell with a holder. */
export function createWorld(
  options: Partial<crashWorlds.CrashWorldOptions> = {},
): World {
  const world = crashWorlds.createCrashWorld({...CELL, ...options});
  world.run(500);
  return world;
}

/** Submits a job of four long-running tasks. */
export function submitLongRunning(world: World, name: string): types.ids.JobId {
  const size = {cpuMillis: 2_000, memoryMb: 100, accelerators: 0};
  const fields = {taskCount: 4, longRunning: true, size};
  return world.submit(name, fields, {workMs: 0});
}

/**
 * Checks that a job with a crashing task has failed after few further starts.
 */
export function assertGivenUp(
  world: World,
  id: types.ids.JobId,
  index = 0,
): void {
  const after = world.startsAfterThirdCrash(`${id}.0.0.${index}`);
  assert.ok(
    after <= MAX_STARTS_AFTER_THIRD_CRASH,
    `${id}: ${after} starts more`,
  );
  assert.equal(world.stateOf(id), 'failed', id);
}

/** Checks that healthy jobs are completed. */
export function assertCompleted(
  world: World,
  ids: readonly types.ids.JobId[],
): void {
  for (const id of ids) assert.equal(world.stateOf(id), 'completed', id);
}

/**
 * Checks the state of jobs without a task at fault. A task may be given up once
 * two workers have crashed under it.
 */
export function assertHealthy(
  world: World,
  ids: readonly types.ids.JobId[],
  expected: 'completed' | 'running',
): void {
  for (const id of ids) {
    const state = world.stateOf(id);
    const mayBeGivenUp =
      maxCrashesUnder(world, id) >= failureCause.MIN_CRASHES_TO_GIVE_UP;
    if (state === 'failed' && mayBeGivenUp) continue;
    assert.equal(state, expected, id);
  }
}

/** Returns the largest number of crashes of one task of a job. */
export function maxCrashesUnder(world: World, id: types.ids.JobId): number {
  return failureCause.maxCrashesUnder(id, world);
}

/**
 * Checks that the world's own record holds the failures or crashes for which
 * each failed job may be shown as failed.
 */
export function assertFailedForCause(world: World): void {
  for (const {at: failedAt, job} of world.failedJobs) {
    const isEarlier = ({at}: {readonly at: number}) => at <= failedAt;
    failureCause.assertFailureCause(job, {
      failures: world.failures.filter(isEarlier),
      crashes: world.crashes.filter(isEarlier),
    });
  }
}
