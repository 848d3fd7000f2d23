/** What an entry says of itself and of what it would decide. */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as cellEntryTypes from './cell_entry_types.js';
import type * as cellHolderTypes from './cell_holder_types.js';
import type * as cellState from './cell_state.js';
import type * as configKeeper from './config_keeper.js';
import type * as entryAdmission from './entry_admission.js';
import type * as entryReadiness from './entry_readiness.js';
import type * as logFollower from './log_follower.js';
import type * as loopMonitor from './loop_monitor.js';

/** Parts of an entry that are asked. */
export interface EntryViewParts {
  readonly admission: entryAdmission.EntryAdmission;
  readonly configs: Pick<configKeeper.ConfigKeeper, 'config'>;
  readonly jobsFollower: Pick<logFollower.LogFollower, 'reachableSince'>;
  readonly monitor: Pick<loopMonitor.LoopMonitor, 'utilization'>;
  readonly readiness: Pick<entryReadiness.EntryReadiness, 'replicaAgeMs'>;
  readonly state: Pick<cellState.CellState, 'claim'>;
}

/** Reads an entry; changes nothing. */
export interface EntryView {
  explain(
    question: scheduling.explainJob.JobQuestion,
    holder: cellHolderTypes.CellHolder | undefined,
  ): cellEntryTypes.EntryExplanation;
  status(
    holder: cellHolderTypes.CellHolder | undefined,
  ): cellEntryTypes.EntryStatus;
}

/** Creates the view of an entry. */
export function createEntryView({
  admission,
  configs,
  jobsFollower,
  monitor,
  readiness,
  state,
}: EntryViewParts): EntryView {
  return {
    explain(question, holder) {
      const ageMs = readiness.replicaAgeMs();
      return {
        admission: admission.preview(question),
        holder: state.claim()?.instance,
        placement: holder?.explain(question),
        replicaAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
      };
    },
    status: (holder) => ({
      holdsCell: holder !== undefined,
      configVersion: configs.config()?.version,
      storeReachable: jobsFollower.reachableSince() !== undefined,
      replicaAgeMs: readiness.replicaAgeMs(),
      loopUtilization: monitor.utilization(),
      scheduler: holder?.counts(),
      unusableListEntries: holder?.unusableListEntries() ?? 0,
      admission: admission.status(),
      forecast: holder?.forecastAccuracy(),
      speeds: holder?.speedSummary() ?? [],
    }),
  };
}
