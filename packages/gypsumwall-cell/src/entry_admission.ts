/** Which jobs an entry accepts, given the load and the limits of the cell. */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import type * as cellState from './cell_state.js';
import type * as configKeeper from './config_keeper.js';
import type * as entryRoles from './entry_roles.js';
import * as jobLimits from './job_limits.js';
import type * as jobTable from './job_table.js';
import * as loadShedder from './load_shedder.js';
import type * as peerDirectory from './peer_directory.js';
import * as refusalCounts from './refusal_counts.js';
import * as roomAdmission from './room_admission.js';
import type * as roomReading from './room_reading.js';

/** Dependencies of the admission. */
export interface EntryAdmissionParts {
  readonly state: cellState.CellState;
  readonly configs: configKeeper.ConfigKeeper;
  readonly roles: Pick<entryRoles.EntryRoles, 'holderCores'>;
  readonly peers: Pick<peerDirectory.PeerDirectory, 'standbyCandidates'>;
  readonly clock: types.clock.Clock;
  readonly random: types.random.Random;
}

/** Admits the jobs that callers offer to one entry. */
export interface EntryAdmission extends loadShedder.LoadShedder {
  /** The verdict on a job that nobody offers; isn't counted. */
  preview(question: scheduling.explainJob.JobQuestion): loadShedder.Verdict;
  /** This entry has read a job that the cell has accepted. */
  onAccepted(job: jobTable.JobEntry): void;
  /** Limits that no load changes. */
  readonly limits: jobLimits.JobLimits;
  status(): AdmissionStatus;
}

/** What an entry refuses, and why. */
export interface AdmissionStatus {
  readonly refusals: readonly refusalCounts.RefusalCount[];
  /** The pools that are nearly full. */
  readonly rooms: readonly roomReading.RoomReading[];
}

/** Creates an admission that knows no jobs. */
export function createEntryAdmission({
  state,
  configs,
  roles,
  peers,
  clock,
  random,
}: EntryAdmissionParts): EntryAdmission {
  const room = roomAdmission.createRoomAdmission({
    rooms: () => state.rooms(),
    organisations: () => configs.organisations(),
    clock,
    random,
  });
  const shedder = loadShedder.createLoadShedder({
    holderCores: () => roles.holderCores(),
    capacity: () => state.capacity(),
    entries: () => 1 + [...peers.standbyCandidates()].length,
    room,
    clock,
    random,
  });
  const refusals = refusalCounts.createRefusalCounts();
  return {
    onUpdated: (job, isLive) => shedder.onUpdated(job, isLive),
    check(stage, policy, request, organisation) {
      const verdict = shedder.check(stage, policy, request, organisation);
      if (verdict.type === 'refused')
        refusals.add(verdict.reason, organisation);
      return verdict;
    },
    preview: ({policy, request, organisation}) =>
      shedder.check('append', policy, request, organisation),
    onAccepted: (job) => room.onAccepted(job),
    limits: jobLimits.createJobLimits({state, configs}),
    status: () => ({
      refusals: refusals.all(),
      rooms: state.rooms()?.readings ?? [],
    }),
  };
}
