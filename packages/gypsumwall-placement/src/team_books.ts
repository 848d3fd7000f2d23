/** What each team may do and what it holds. */
import * as types from '@gypsumwall/types';
import type * as bookRecords from './book_records.js';
import * as mutableResources from './mutable_resources.js';
import type * as placer from './placer.js';

/** A team and what it holds. */
export interface TeamRecord {
  readonly id: types.ids.TeamId;
  weight: number;
  packing: number;
  quota: types.resources.Resources;
  readonly held: mutableResources.MutableResources;
  /** The same, apart for each urgency. */
  readonly heldBy: Readonly<
    Record<types.job.Urgency, mutableResources.MutableResources>
  >;
  waitingJobs: number;
}

/** What a team gets before its settings arrive. */
const UNLIMITED: types.resources.Resources = {
  cpuMillis: Infinity,
  memoryMb: Infinity,
  accelerators: Infinity,
};
const DEFAULT_PACKING = 0.5;

/** The teams of a domain. */
export interface TeamBooks {
  /** A team that is not known yet has no quota and weight 1. */
  team(id: types.ids.TeamId): TeamRecord;
  setTeam(team: placer.PlacerTeam): void;
  /** Books a task for its team, or with -1 takes it out again. */
  move(task: bookRecords.HeldRecord, sign: 1 | -1): void;
  /**
   * The largest share of the domain that a team holds of any resource, for
   * work of the given urgencies.
   */
  dominantShare(
    team: TeamRecord,
    urgencies: readonly types.job.Urgency[],
  ): number;
}

/** Creates empty books; `total` is the capacity of all open workers. */
export function createTeamBooks(total: types.resources.Resources): TeamBooks {
  const teams = new Map<types.ids.TeamId, TeamRecord>();

  function team(id: types.ids.TeamId): TeamRecord {
    const known = teams.get(id);
    if (known !== undefined) return known;
    const made = {
      id,
      weight: 1,
      packing: DEFAULT_PACKING,
      quota: UNLIMITED,
      held: mutableResources.mutable(types.resources.NO_RESOURCES),
      heldBy: {
        urgent: mutableResources.mutable(types.resources.NO_RESOURCES),
        normal: mutableResources.mutable(types.resources.NO_RESOURCES),
        overnight: mutableResources.mutable(types.resources.NO_RESOURCES),
      },
      waitingJobs: 0,
    };
    teams.set(id, made);
    return made;
  }

  return {
    team,
    setTeam(next) {
      const record = team(next.id);
      record.weight = next.weight;
      record.packing = next.packing;
      record.quota = next.quota;
    },
    move(task, sign) {
      const record = team(task.spec.team);
      mutableResources.moveBy(record.held, task.size, sign);
      mutableResources.moveBy(
        record.heldBy[task.spec.urgency],
        task.size,
        sign,
      );
    },
    dominantShare(record, urgencies) {
      let cpu = 0;
      let memory = 0;
      let accelerators = 0;
      for (const urgency of urgencies) {
        const part = record.heldBy[urgency];
        cpu += part.cpuMillis;
        memory += part.memoryMb;
        accelerators += part.accelerators;
      }
      return Math.max(
        share(cpu, total.cpuMillis),
        share(memory, total.memoryMb),
        share(accelerators, total.accelerators),
      );
    },
  };
}

function share(part: number, whole: number): number {
  return whole > 0 ? part / whole : 0;
}
