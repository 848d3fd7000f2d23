/** A scenario's verdict as text for a person. */
import * as history from '../history.js';
import type * as historyEvent from '../history_event.js';
import type * as finding from '../judge/finding.js';
import * as runScenario from './run_scenario.js';

const FINDINGS_SHOWN = 5;
const EVIDENCE_SHOWN = 20;

/** One line, and what broke where something did. */
export function formatVerdict(
  name: string,
  seed: number,
  verdict: runScenario.ScenarioVerdict,
): string {
  const seconds = (verdict.spanMs / 1_000).toFixed(1);
  const word = runScenario.hasPassed(verdict) ? 'pass' : 'FAIL';
  const lines = [`${word}  ${name}  (seed ${seed}, ${seconds} s)`];
  if (verdict.failure !== '') lines.push(`  FAILED ${verdict.failure}`);
  const {findings} = verdict;
  lines.push(...findings.slice(0, FINDINGS_SHOWN).map(formatFinding));
  const more = findings.length - FINDINGS_SHOWN;
  if (more > 0) lines.push(`  and ${more} more broken promises`);
  return lines.join('\n');
}

/** The promise and the ordered events that break it. */
export function formatFinding(found: finding.Finding): string {
  const {promise, message, evidence} = found;
  const from = evidence[0]?.at;
  const shown = evidence.slice(0, EVIDENCE_SHOWN);
  const events =
    from === undefined
      ? []
      : shown.map((event) => `    ${history.describe(event, from)}`);
  return [`  BROKEN ${promise}: ${message}`, ...events].join('\n');
}

/** All events, one a line. */
export function formatHistory(
  events: readonly historyEvent.HistoryEvent[],
): string {
  const from = events[0]?.at;
  if (from === undefined) return '';
  return events.map((event) => history.describe(event, from)).join('\n');
}
