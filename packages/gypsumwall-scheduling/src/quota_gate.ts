/**
 * Decides, within one scheduling cycle, which steps the quotas of their
 * organisations allow to start. Steps are passed by rank.
 */
import type * as organisations from '@gypsumwall/organisations';
import type * as types from '@gypsumwall/types';
import type * as activeJob from './active_job.js';
import * as stepNeeds from './step_needs.js';

/** Whether a step may start under the quota of its organisation. */
export type QuotaVerdict =
  | 'open'
  /** The quota is used up. */
  | 'closed'
  /**
   * The gang comes next in its organisation. The steps after it are closed, as
   * they would otherwise use each part of the quota that becomes free.
   */
  | 'next';

/** The quotas in one cycle. */
export interface QuotaGate {
  /** Checks a step that ranks behind all steps checked before. */
  check(stepRun: activeJob.StepRun): QuotaVerdict;
}

/** Creates the gate of a cycle. */
export function createQuotaGate(
  quotas: organisations.quotaLedger.QuotaLedger,
): QuotaGate {
  const closedTo = new Set<types.ids.OrganisationId>();

  return {
    check(stepRun) {
      const {organisation} = stepRun.job;
      if (organisation === undefined) return 'open';
      if (closedTo.has(organisation)) return 'closed';
      const {request, waitingIndexes} = stepRun;
      const size = stepNeeds.reservedSize(stepRun);
      const needed = request.gang ? waitingIndexes.length : 1;
      if (quotas.startableTasks(organisation, size) >= needed) return 'open';
      if (!request.gang) return 'closed';
      if (!quotas.couldEverFit(organisation, size, needed)) return 'closed';
      closedTo.add(organisation);
      return 'next';
    },
  };
}

/** How many queued tasks of a step may start now under its quota. */
export function startableTasks(
  stepRun: activeJob.StepRun,
  quotas: organisations.quotaLedger.QuotaLedger,
): number {
  return quotas.startableTasks(
    stepRun.job.organisation,
    stepNeeds.reservedSize(stepRun),
  );
}
