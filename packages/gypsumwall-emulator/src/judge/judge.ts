/** Decides from a history which promises were broken. */
import type * as history from '../model/history.js';
import type * as finding from './finding.js';
import * as crashRules from './crash_rules.js';
import * as failureRules from './failure_rules.js';
import * as gangRules from './gang_rules.js';
import * as jobRules from './job_rules.js';
import * as keyRules from './key_rules.js';
import * as longRunningRules from './long_running_rules.js';
import * as orderRules from './order_rules.js';
import * as quotaRules from './quota_rules.js';
import * as attemptRules from './attempt_rules.js';
import * as taskAttempts from './task_attempts.js';

/** Finds all violations; the history must end with `history_closed`. */
export function judge(
  events: readonly history.HistoryEvent[],
): readonly finding.Finding[] {
  const attempts = taskAttempts.collectTaskAttempts(events);
  return [
    ...attemptRules.findOverlappingAttempts(attempts),
    ...gangRules.findIncompleteGangs(events),
    ...orderRules.findEarlyStarts(events, attempts),
    ...jobRules.findLostJobs(events, attempts),
    ...failureRules.findBaselessFailures(events, attempts),
    ...longRunningRules.findLongDowntimes(events, attempts),
    ...attemptRules.findUnaskedStarts(events),
    ...crashRules.findCrashLoops(events, attempts),
    ...quotaRules.findExceededQuotas(events),
    ...keyRules.findMisjudgedKeys(events),
  ];
}
