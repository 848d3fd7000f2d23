/** Formats a scenario's verdict for a person to read. */
import * as history from '../history.js';
import type * as historyEvent from '../history_event.js';
import type * as finding from '../judge/finding.js';
import * as runScenario from './run_scenario.js';

const MAX_FINDINGS_SHOWN = 5;
const MAX_EVIDENCE_SHOWN = 20;

/**
 * Formats a verdict: one line, then the failed step and the violations, if any.
 */
export function formatVerdict(
  name: string,
  seed: number,
  verdict: runScenario.ScenarioVerdict,
): string {
  const seconds = (verdict.durationMs / 1_000).toFixed(1);
  const status = runScenario.hasPassed(verdict) ? 'pass' : 'FAIL';
  const lines = [`${status}  ${name}  (seed ${seed}, ${seconds} s)`];
  if (verdict.failure !== '') lines.push(`  FAILED ${verdict.failure}`);
  const {findings} = verdict;
  lines.push(...findings.slice(0, MAX_FINDINGS_SHOWN).map(formatFinding));
  const more = findings.length - MAX_FINDINGS_SHOWN;
  if (more > 0) lines.push(`  and ${more} more broken promises`);
  return lines.join('\n');
}

/** Formats a violation with its events, in order of time. */
export function formatFinding(found: finding.Finding): string {
  const {promise, message, evidence} = found;
  const from = evidence[0]?.at;
  const shown = evidence.slice(0, MAX_EVIDENCE_SHOWN);
  const events =
    from === undefined
      ? []
      : shown.map((event) => `    ${history.formatEvent(event, from)}`);
  return [`  BROKEN ${promise}: ${message}`, ...events].join('\n');
}

/** Formats all events, one on each line. */
export function formatHistory(
  events: readonly historyEvent.HistoryEvent[],
): string {
  const from = events[0]?.at;
  if (from === undefined) return '';
  return events.map((event) => history.formatEvent(event, from)).join('\n');
}
