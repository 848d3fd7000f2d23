/** What upstreams recorded, held against what callers were told. */
import type * as historyEvent from '../history_event.js';
import * as finding from './finding.js';

type Execution = finding.EventOf<'execution_started'>;
type Sent = finding.EventOf<'request_sent'>;
type Told = finding.EventOf<'request_told'>;

/** A call from its sending to what the caller was told, if it was. */
interface Call {
  readonly sent: Sent;
  readonly told?: Told;
}

/** All calls by the hash of what they carried. */
function callsByBody(
  events: readonly historyEvent.HistoryEvent[],
): Map<string, Call[]> {
  const told = new Map(
    finding.eventsOf(events, 'request_told').map((event) => {
      return [event.callId, event] as const;
    }),
  );
  const calls = finding
    .eventsOf(events, 'request_sent')
    .map((sent) => ({sent, told: told.get(sent.callId)}));
  return finding.groupBy(calls, (call) => call.sent.bodyHash);
}

function executionsByBody(
  events: readonly historyEvent.HistoryEvent[],
): Map<string, Execution[]> {
  const started = finding.eventsOf(events, 'execution_started');
  return finding.groupBy(started, (execution) => execution.bodyHash);
}

/** A `done` answer is one that an execution of this very request gave. */
export function checkWholeAnswer(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const executions = executionsByBody(events);
  const ends = new Map(
    finding.eventsOf(events, 'execution_ended').map((event) => {
      return [event.executionId, event] as const;
    }),
  );
  const findings: finding.Finding[] = [];
  for (const [bodyHash, calls] of callsByBody(events)) {
    const own = executions.get(bodyHash) ?? [];
    for (const {sent, told} of calls) {
      if (told?.told.type !== 'done') continue;
      const {answerHash} = told.told;
      const fits = own.some(
        (execution) =>
          execution.team === sent.team &&
          ends.get(execution.executionId)?.answerHash === answerHash,
      );
      if (fits) continue;
      const others = [...ends.values()].filter(
        (end) => end.answerHash === answerHash,
      );
      const what =
        others.length > 0 ? "another request's answer" : 'no whole answer';
      findings.push({
        promise: 'whole_answer',
        message: `call ${sent.callId} was given ${what} as done`,
        evidence: [sent, ...own, ...others, told],
      });
    }
  }
  return findings;
}

/** What was told `not_run` has no execution that only it could explain. */
export function checkRequestNotRun(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const executions = executionsByBody(events);
  const findings: finding.Finding[] = [];
  for (const [bodyHash, calls] of callsByBody(events)) {
    const own = executions.get(bodyHash) ?? [];
    for (const call of calls) {
      if (call.told?.told.type !== 'not_run') continue;
      const {told} = call;
      const others = calls.filter(
        (other) => other !== call && other.told?.told.type !== 'not_run',
      );
      const ran = own.filter((execution) => !isExplained(execution, others));
      // Told of a key that another call of it already ran: a lie as well,
      // unless the reason says that just this is the case.
      const before =
        call.told.told.reason === 'key_in_use'
          ? []
          : own.filter((execution) => execution.at < told.at);
      const evidence = [...new Set([...ran, ...before])];
      if (evidence.length === 0) continue;
      findings.push({
        promise: 'not_run_is_true',
        message: `call ${call.sent.callId} was told not_run but ran`,
        evidence: [call.sent, ...evidence, call.told],
      });
    }
  }
  return findings;
}

/** Whether another call of the same work was out when it started. */
function isExplained(execution: Execution, others: readonly Call[]): boolean {
  return others.some((other) => other.sent.at <= execution.at);
}

/** A job told `not_run` has no task anywhere. */
export function checkJobNotRun(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const told = finding.eventsOf(events, 'job_told');
  const starts = finding.groupBy(
    finding.eventsOf(events, 'task_started'),
    (start) => start.label,
  );
  const findings: finding.Finding[] = [];
  for (const [label, tellings] of finding.groupBy(told, (one) => one.label)) {
    if (tellings.some((one) => one.told.type !== 'not_run')) continue;
    const own = starts.get(label) ?? [];
    if (own.length === 0) continue;
    findings.push({
      promise: 'not_run_is_true',
      message: `job ${label} was told not_run but ${own.length} tasks ran`,
      evidence: [...tellings, ...own],
    });
  }
  return findings;
}

/** Work with a key, or with the authority, runs at most once. */
export function checkAtMostOnce(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const started = finding.eventsOf(events, 'execution_started');
  const keyed = finding.groupBy(
    started.filter((execution) => execution.key !== ''),
    (execution) => `key ${execution.key} of ${execution.team}`,
  );
  const filed = finding.groupBy(
    started.filter((execution) => execution.authority),
    (execution) => `${execution.operation} with body ${execution.bodyHash}`,
  );
  const findings: finding.Finding[] = [];
  for (const [what, executions] of [...keyed, ...filed]) {
    if (executions.length < 2) continue;
    findings.push({
      promise: 'at_most_once',
      message: `${what} ran ${executions.length} times`,
      evidence: executions,
    });
  }
  return findings;
}

/** A leaving upstream gets nothing new after the bound. */
export function checkLeavingUpstream(
  events: readonly historyEvent.HistoryEvent[],
  boundMs: number,
): finding.Finding[] {
  const started = finding.eventsOf(events, 'execution_started');
  return finding.eventsOf(events, 'upstream_leaving').flatMap((leaving) => {
    const late = started.filter(
      (execution) =>
        execution.upstreamId === leaving.upstreamId &&
        execution.at > leaving.at + boundMs,
    );
    if (late.length === 0) return [];
    const message = `${leaving.upstreamId} got ${late.length} new executions over ${boundMs} ms after it was leaving`;
    return [
      {promise: 'leaving_upstream', message, evidence: [leaving, ...late]},
    ];
  });
}
