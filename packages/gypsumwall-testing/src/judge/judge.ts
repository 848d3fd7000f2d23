/**
 * Checks a recorded history against the product's guarantees. The judge shares
 * no code with the product besides its types and doesn't rely on the product's
 * reports about itself: it reads only what the stand-ins recorded and what
 * callers received.
 */
import type * as historyEvent from '../history_event.js';
import * as entryRules from './entry_rules.js';
import type * as finding from './finding.js';
import * as jobRules from './job_rules.js';
import * as requestRules from './request_rules.js';
import * as workerRules from './worker_rules.js';

/** Time limits for guarantees that don't state one ("a few seconds"). */
export interface JudgeBounds {
  /**
   * Time after an upstream is listed as leaving in which it may still get new
   * executions.
   */
  readonly leavingBoundMs: number;
  /** Time from the acceptance of a setting until every entry must return it. */
  readonly configBoundMs: number;
}

/** The bounds for scenarios that set none. */
export const DEFAULT_BOUNDS: JudgeBounds = {
  leavingBoundMs: 5_000,
  configBoundMs: 5_000,
};

/** Returns all violations in a history whose events are sorted by time. */
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
