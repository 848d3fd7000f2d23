/** Deployments of two users and the classes of work that run on them. */
import type * as types from '@gypsumwall/types';
import type * as distributions from './distributions.js';

/** A class of work: who submits it and how its sizes are distributed. */
export interface WorkClass {
  readonly name: string;
  readonly team: string;
  readonly kind: types.job.JobShape['kind'];
  readonly urgency: types.job.Urgency;
  /** Share of the load. The shares of a profile add up to 1. */
  readonly loadShare: number;
  readonly tasks: distributions.HeavyTailedDistribution;
  readonly cores: distributions.HeavyTailedDistribution;
  readonly memoryPerCoreMb: number;
  readonly runMs: distributions.HeavyTailedDistribution;
  /**
   * Deadline as a multiple of the run time; absent if jobs have no deadline.
   */
  readonly deadlineFactor?: distributions.HeavyTailedDistribution;
}

/** A user's failure domain: its workers and the work that they run. */
export interface Profile {
  readonly name: string;
  readonly workers: number;
  readonly workersPerRack: number;
  readonly capacity: types.resources.Resources;
  /** Packing weight of the teams. */
  readonly packing: number;
  readonly classes: readonly WorkClass[];
}

const ALWAYS_ONE: distributions.HeavyTailedDistribution = {
  median: 1,
  sigma: 0,
  low: 1,
  high: 1,
};

function heavyTailed(
  median: number,
  sigma: number,
  low: number,
  high: number,
): distributions.HeavyTailedDistribution {
  return {median, sigma, low, high};
}

/**
 * Tesfaye runs overnight work on a fixed set of workers, so packing matters
 * most.
 */
export const ADDIS: Profile = {
  name: 'addis',
  workers: 30,
  workersPerRack: 8,
  capacity: {cpuMillis: 32_000, memoryMb: 131_072, accelerators: 0},
  packing: 0.9,
  classes: [
    {
      name: 'booking-service',
      team: 'booking',
      kind: 'service',
      urgency: 'urgent',
      loadShare: 0.1,
      tasks: heavyTailed(4, 0, 4, 4),
      cores: heavyTailed(2, 0.5, 0.5, 6),
      memoryPerCoreMb: 1024,
      runMs: ALWAYS_ONE,
    },
    {
      name: 'confirmation',
      team: 'booking',
      kind: 'batch',
      urgency: 'urgent',
      loadShare: 0.05,
      tasks: ALWAYS_ONE,
      cores: heavyTailed(0.5, 0.5, 0.1, 2),
      memoryPerCoreMb: 1024,
      runMs: heavyTailed(2000, 1, 200, 60_000),
    },
    {
      name: 'repayment-plan',
      team: 'plans',
      kind: 'batch',
      urgency: 'normal',
      loadShare: 0.25,
      tasks: heavyTailed(4, 1, 1, 60),
      cores: heavyTailed(1, 0.6, 0.2, 6),
      memoryPerCoreMb: 1024,
      runMs: heavyTailed(20_000, 0.8, 2000, 300_000),
      deadlineFactor: heavyTailed(20, 0.8, 4, 200),
    },
    {
      name: 'letter-check',
      team: 'letters',
      kind: 'batch',
      urgency: 'overnight',
      loadShare: 0.5,
      tasks: heavyTailed(20, 1.2, 1, 600),
      cores: heavyTailed(1, 0.8, 0.2, 8),
      memoryPerCoreMb: 1024,
      runMs: heavyTailed(30_000, 1, 2000, 600_000),
    },
    {
      name: 'model-fit',
      team: 'letters',
      kind: 'gang',
      urgency: 'overnight',
      loadShare: 0.1,
      tasks: heavyTailed(8, 0.6, 2, 24),
      cores: heavyTailed(4, 0.4, 2, 7),
      memoryPerCoreMb: 1024,
      runMs: heavyTailed(60_000, 0.6, 10_000, 300_000),
    },
  ],
};

/**
 * At Skyroute, pilots wait at the counter for results, so waiting time matters
 * most.
 */
export const THAILAND: Profile = {
  name: 'thailand',
  workers: 30,
  workersPerRack: 8,
  capacity: {cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0},
  packing: 0.4,
  classes: [
    {
      name: 'filing-service',
      team: 'filing',
      kind: 'service',
      urgency: 'urgent',
      loadShare: 0.1,
      tasks: heavyTailed(4, 0, 4, 4),
      cores: heavyTailed(1, 0.5, 0.5, 3),
      memoryPerCoreMb: 512,
      runMs: ALWAYS_ONE,
    },
    {
      name: 'airspace-check',
      team: 'counter',
      kind: 'batch',
      urgency: 'urgent',
      loadShare: 0.1,
      tasks: ALWAYS_ONE,
      cores: heavyTailed(0.5, 0.5, 0.1, 2),
      memoryPerCoreMb: 512,
      runMs: heavyTailed(800, 0.8, 100, 20_000),
    },
    {
      name: 'route-optimisation',
      team: 'routes',
      kind: 'batch',
      urgency: 'normal',
      loadShare: 0.4,
      tasks: heavyTailed(2, 0.8, 1, 16),
      cores: heavyTailed(1.5, 0.5, 0.5, 3.5),
      memoryPerCoreMb: 512,
      runMs: heavyTailed(30_000, 0.8, 5000, 300_000),
      deadlineFactor: heavyTailed(12, 1, 4, 200),
    },
    {
      name: 'weather-pack',
      team: 'weather',
      kind: 'batch',
      urgency: 'overnight',
      loadShare: 0.3,
      tasks: heavyTailed(10, 1, 1, 200),
      cores: heavyTailed(0.8, 0.7, 0.2, 3.5),
      memoryPerCoreMb: 512,
      runMs: heavyTailed(20_000, 1, 2000, 300_000),
    },
    {
      name: 'wind-model',
      team: 'weather',
      kind: 'gang',
      urgency: 'normal',
      loadShare: 0.1,
      tasks: heavyTailed(6, 0.5, 2, 16),
      cores: heavyTailed(2, 0.4, 1, 3.5),
      memoryPerCoreMb: 512,
      runMs: heavyTailed(40_000, 0.6, 10_000, 300_000),
    },
  ],
};
