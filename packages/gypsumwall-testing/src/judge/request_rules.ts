/** Compares what upstreams executed with the outcomes that callers received. */
import type * as historyEvent from '../history_event.js';
import * as finding from './finding.js';

type Execution = finding.EventOf<'execution_started'>;
type SentEvent = finding.EventOf<'request_sent'>;
type OutcomeEvent = finding.EventOf<'request_told'>;

/**
 * A call and its outcome; the outcome is absent if the caller received none.
 */
interface Call {
  readonly sent: SentEvent;
  readonly outcomeEvent?: OutcomeEvent;
}

/** Groups calls by the hash of their body. */
function callsByBody(
  events: readonly historyEvent.HistoryEvent[],
): Map<string, Call[]> {
  const outcomeEvents = new Map(
    finding.eventsOf(events, 'request_told').map((event) => {
      return [event.callId, event] as const;
    }),
  );
  const calls = finding
    .eventsOf(events, 'request_sent')
    .map((sent) => ({sent, outcomeEvent: outcomeEvents.get(sent.callId)}));
  return finding.groupBy(calls, (call) => call.sent.bodyHash);
}

function executionsByBody(
  events: readonly historyEvent.HistoryEvent[],
): Map<string, Execution[]> {
  const started = finding.eventsOf(events, 'execution_started');
  return finding.groupBy(started, (execution) => execution.bodyHash);
}

/**
 * Checks that every `done` answer came from an execution of the same request.
 */
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
    const ownExecutions = executions.get(bodyHash) ?? [];
    for (const {sent, outcomeEvent} of calls) {
      if (outcomeEvent?.told.type !== 'done') continue;
      const {answerHash} = outcomeEvent.told;
      const isOwnAnswer = ownExecutions.some(
        (execution) =>
          execution.team === sent.team &&
          ends.get(execution.executionId)?.answerHash === answerHash,
      );
      if (isOwnAnswer) continue;
      const others = [...ends.values()].filter(
        (end) => end.answerHash === answerHash,
      );
      const description =
        others.length > 0
          ? "another request's answer"
          : 'an answer that no execution produced';
      findings.push({
        promise: 'whole_answer',
        message: `call ${sent.callId} received ${description} as done`,
        evidence: [sent, ...ownExecutions, ...others, outcomeEvent],
      });
    }
  }
  return findings;
}

/**
 * Checks that no request ran whose caller received `not_run`, unless another
 * call with the same body can account for the execution.
 */
export function checkRequestNotRun(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const executions = executionsByBody(events);
  const findings: finding.Finding[] = [];
  for (const [bodyHash, calls] of callsByBody(events)) {
    const ownExecutions = executions.get(bodyHash) ?? [];
    for (const call of calls) {
      if (call.outcomeEvent?.told.type !== 'not_run') continue;
      const {outcomeEvent} = call;
      const others = calls.filter(
        (other) =>
          other !== call && other.outcomeEvent?.told.type !== 'not_run',
      );
      const unexplained = ownExecutions.filter(
        (execution) => !isExplained(execution, others),
      );
      // `not_run` is also false if the same request had already run for an
      // earlier call, unless the reason is that its key is in use.
      const earlier =
        call.outcomeEvent.told.reason === 'key_in_use'
          ? []
          : ownExecutions.filter((execution) => execution.at < outcomeEvent.at);
      const evidence = [...new Set([...unexplained, ...earlier])];
      if (evidence.length === 0) continue;
      findings.push({
        promise: 'not_run_is_true',
        message: `call ${call.sent.callId} received not_run but ran`,
        evidence: [call.sent, ...evidence, call.outcomeEvent],
      });
    }
  }
  return findings;
}

/**
 * Whether another call with the same body was sent before the execution began.
 */
function isExplained(execution: Execution, others: readonly Call[]): boolean {
  return others.some((other) => other.sent.at <= execution.at);
}

/**
 * Checks that no task ran of a job whose submissions were all answered
 * `not_run`.
 */
export function checkJobNotRun(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const answers = finding.eventsOf(events, 'job_told');
  const starts = finding.groupBy(
    finding.eventsOf(events, 'task_started'),
    (start) => start.label,
  );
  const findings: finding.Finding[] = [];
  for (const [label, group] of finding.groupBy(answers, (one) => one.label)) {
    if (group.some((one) => one.told.type !== 'not_run')) continue;
    const ownStarts = starts.get(label) ?? [];
    if (ownStarts.length === 0) continue;
    findings.push({
      promise: 'not_run_is_true',
      message: `job ${label} received not_run but ${ownStarts.length} tasks ran`,
      evidence: [...group, ...ownStarts],
    });
  }
  return findings;
}

/**
 * Checks that a keyed request, and a request with an irrevocable effect, runs
 * at most once.
 */
export function checkAtMostOnce(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const started = finding.eventsOf(events, 'execution_started');
  const keyed = finding.groupBy(
    started.filter((execution) => execution.key !== ''),
    (execution) => `key ${execution.key} of ${execution.team}`,
  );
  const irrevocable = finding.groupBy(
    started.filter((execution) => execution.authority),
    (execution) => `${execution.operation} with body ${execution.bodyHash}`,
  );
  const findings: finding.Finding[] = [];
  for (const [description, executions] of [...keyed, ...irrevocable]) {
    if (executions.length < 2) continue;
    findings.push({
      promise: 'at_most_once',
      message: `${description} ran ${executions.length} times`,
      evidence: executions,
    });
  }
  return findings;
}

/**
 * Checks that an upstream gets no new executions once it has been leaving for
 * longer than the bound.
 */
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
    const message = `${leaving.upstreamId} got ${late.length} new executions more than ${boundMs} ms after it was listed as leaving`;
    return [
      {promise: 'leaving_upstream', message, evidence: [leaving, ...late]},
    ];
  });
}
