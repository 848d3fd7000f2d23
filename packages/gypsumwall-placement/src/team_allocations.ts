/** The limits of each team and the resources allocated to it. */
import * as types from '@gypsumwall/types';
import type * as allocationState from './allocation_state.js';
import * as mutableResources from './mutable_resources.js';
import type * as placer from './placer.js';

/** A team and the resources allocated to its tasks. */
export interface TeamState {
  readonly id: types.ids.TeamId;
  weight: number;
  packing: number;
  quota: types.resources.Resources;
  readonly allocated: mutableResources.MutableResources;
  /** The same, by urgency of the job. */
  readonly allocatedByUrgency: Readonly<
    Record<types.job.Urgency, mutableResources.MutableResources>
  >;
  waitingJobs: number;
}

/** The quota of a team whose settings haven't arrived. */
const UNLIMITED: types.resources.Resources = {
  cpuMillis: Infinity,
  memoryMb: Infinity,
  accelerators: Infinity,
};
const DEFAULT_PACKING = 0.5;

/** The teams of a failure domain. */
export interface TeamAllocations {
  /** Returns a team; one without settings has no quota limit and weight 1. */
  team(id: types.ids.TeamId): TeamState;
  setTeam(team: placer.PlacerTeam): void;
  /** Adds a task to its team's allocation; with -1, subtracts it. */
  adjust(task: allocationState.TaskAllocation, sign: 1 | -1): void;
  /**
   * The team's dominant share, which is the largest of its shares of the
   * domain's resources. Only tasks of the given urgencies count.
   */
  dominantShare(
    team: TeamState,
    urgencies: readonly types.job.Urgency[],
  ): number;
}

/**
 * Creates an empty set of teams. `totalCapacity` is the capacity of all
 * schedulable workers; it may change between calls.
 */
export function createTeamAllocations(
  totalCapacity: types.resources.Resources,
): TeamAllocations {
  const teams = new Map<types.ids.TeamId, TeamState>();

  function team(id: types.ids.TeamId): TeamState {
    const existing = teams.get(id);
    if (existing !== undefined) return existing;
    const created = {
      id,
      weight: 1,
      packing: DEFAULT_PACKING,
      quota: UNLIMITED,
      allocated: mutableResources.mutableCopy(types.resources.NO_RESOURCES),
      allocatedByUrgency: {
        urgent: mutableResources.mutableCopy(types.resources.NO_RESOURCES),
        normal: mutableResources.mutableCopy(types.resources.NO_RESOURCES),
        overnight: mutableResources.mutableCopy(types.resources.NO_RESOURCES),
      },
      waitingJobs: 0,
    };
    teams.set(id, created);
    return created;
  }

  return {
    team,
    setTeam(next) {
      const state = team(next.id);
      state.weight = next.weight;
      state.packing = next.packing;
      state.quota = next.quota;
    },
    adjust(task, sign) {
      const state = team(task.spec.team);
      mutableResources.adjust(state.allocated, task.size, sign);
      mutableResources.adjust(
        state.allocatedByUrgency[task.spec.urgency],
        task.size,
        sign,
      );
    },
    dominantShare(state, urgencies) {
      let cpu = 0;
      let memory = 0;
      let accelerators = 0;
      for (const urgency of urgencies) {
        const part = state.allocatedByUrgency[urgency];
        cpu += part.cpuMillis;
        memory += part.memoryMb;
        accelerators += part.accelerators;
      }
      return Math.max(
        ratio(cpu, totalCapacity.cpuMillis),
        ratio(memory, totalCapacity.memoryMb),
        ratio(accelerators, totalCapacity.accelerators),
      );
    },
  };
}

function ratio(part: number, whole: number): number {
  return whole > 0 ? part / whole : 0;
}
