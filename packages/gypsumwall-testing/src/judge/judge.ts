/**
 * Holds recorded histories against the promises. It shares no code with the
 * product and believes no word of it: only what the stand-ins recorded and
 * what callers were told.
 */
import type * as historyEvent from '../history_event.js';
import * as entryRules from './entry_rules.js';
import type * as finding from './finding.js';
import * as jobRules from './job_rules.js';
import * as requestRules from './request_rules.js';
import * as workerRules from './worker_rules.js';

/** Bounds that the promises leave open ("a few seconds"). */
export interface JudgeBounds {
  /** From an upstream's leaving to its last new execution. */
  readonly leavingBoundMs: number;
  /** From the acceptance of a setting until every entry shows it. */
  readonly configBoundMs: number;
}

/** Bounds where a scenario says nothing. */
export const DEFAULT_BOUNDS: JudgeBounds = {
  leavingBoundMs: 5_000,
  configBoundMs: 5_000,
};

/** All breaks in a history whose events stand in order of time. */
export function judge(
  events: readonly historyEvent.HistoryEvent[],
  bounds: JudgeBounds = DEFAULT_BOUNDS,
): finding.Finding[] {
  return [
    ...workerRules.checkCapacity(events),
    ...workerRules.checkOnePlace(events),
    ...workerRules.checkDoneOnce(events),
    ...requestRules.checkWholeAnswer(events),
    ...requestRules.checkRequestNotRun(events),
    ...requestRules.checkJobNotRun(events),
    ...requestRules.checkAtMostOnce(events),
    ...requestRules.checkLeavingUpstream(events, bounds.leavingBoundMs),
    ...entryRules.checkPlannedStop(events),
    ...entryRules.checkConfiguration(events, bounds.configBoundMs),
    ...jobRules.checkNothingLost(events),
  ];
}
