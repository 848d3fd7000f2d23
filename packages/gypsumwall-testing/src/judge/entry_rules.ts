/**
 * Checks planned stops and the configuration, as callers and operators observed
 * them.
 */
import type * as historyEvent from '../history_event.js';
import * as finding from './finding.js';

/**
 * Checks that a planned stop breaks no call in flight at the entry and that the
 * process exits with 0.
 */
export function checkPlannedStop(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const outcomes = new Map(
    [
      ...finding.eventsOf(events, 'request_told'),
      ...finding.eventsOf(events, 'job_told'),
    ].map((event) => [event.callId, event] as const),
  );
  const sent = [
    ...finding.eventsOf(events, 'request_sent'),
    ...finding.eventsOf(events, 'job_sent'),
  ];
  const exits = finding.eventsOf(events, 'entry_exited');
  const findings: finding.Finding[] = [];
  for (const stopping of finding.eventsOf(events, 'entry_stopping')) {
    const {entryId} = stopping;
    const exit = exits.find(
      (event) => event.entryId === entryId && event.at > stopping.at,
    );
    for (const call of sent) {
      if (call.entryId !== entryId) continue;
      if (exit !== undefined && call.at > exit.at) continue;
      const outcome = outcomes.get(call.callId);
      if (outcome === undefined || outcome.at < stopping.at) continue;
      if (outcome.told.type !== 'broken' || outcome.told.neverSent) continue;
      findings.push({
        promise: 'planned_stop',
        message: `the planned stop of ${entryId} broke call ${call.callId}`,
        evidence: [
          call,
          stopping,
          outcome,
          ...(exit === undefined ? [] : [exit]),
        ],
      });
    }
    if (exit === undefined || exit.code === 0) continue;
    findings.push({
      promise: 'planned_stop',
      message: `the planned stop of ${entryId} exited with ${exit.code ?? exit.signal}`,
      evidence: [stopping, exit],
    });
  }
  return findings;
}

type SettingReading = finding.EventOf<'setting_seen'>;
type PublishOutcome = finding.EventOf<'publish_told'>;

interface AcceptedPublish {
  readonly event: PublishOutcome;
  readonly revision: number;
}

function acceptedPublishes(
  events: readonly historyEvent.HistoryEvent[],
): AcceptedPublish[] {
  return finding.eventsOf(events, 'publish_told').flatMap((event) => {
    if (event.told.type !== 'accepted') return [];
    return [{event, revision: event.told.revision}];
  });
}

/**
 * Checks that accepted settings take effect within the bound and never revert.
 */
export function checkConfiguration(
  events: readonly historyEvent.HistoryEvent[],
  boundMs: number,
): finding.Finding[] {
  const readings = finding.eventsOf(events, 'setting_seen');
  const accepted = acceptedPublishes(events);
  return [
    ...checkOneWinner(accepted),
    ...checkNoRevert(readings),
    ...checkInForce(events, readings, accepted, boundMs),
  ];
}

/**
 * Checks that of several publishes based on one revision at most one is
 * accepted.
 */
function checkOneWinner(
  accepted: readonly AcceptedPublish[],
): finding.Finding[] {
  const winnersByBase = finding.groupBy(
    accepted,
    ({event}) => `${event.path} on revision ${event.base}`,
  );
  return [...winnersByBase].flatMap(([description, winners]) => {
    if (winners.length < 2) return [];
    const message = `${winners.length} publishes of ${description} were accepted`;
    const evidence = winners.map(({event}) => event);
    return [{promise: 'configuration', message, evidence}];
  });
}

/** Checks that a later reading at an entry never shows an older revision. */
function checkNoRevert(
  allReadings: readonly SettingReading[],
): finding.Finding[] {
  const findings: finding.Finding[] = [];
  const groups = finding.groupBy(
    allReadings,
    (event) => `${event.entryId} ${event.path}`,
  );
  for (const readings of groups.values()) {
    let newest: SettingReading | undefined;
    for (const reading of readings) {
      if (
        newest !== undefined &&
        reading.askedAt > newest.at &&
        reading.revision < newest.revision
      ) {
        findings.push({
          promise: 'configuration',
          message: `${reading.path} reverted at ${reading.entryId}`,
          evidence: [newest, reading],
        });
      }
      if (newest === undefined || reading.revision > newest.revision) {
        newest = reading;
      }
    }
  }
  return findings;
}

/**
 * Checks that accepted revisions become visible within the bound, which counts
 * from the acceptance or from the last injected or repaired fault.
 */
function checkInForce(
  events: readonly historyEvent.HistoryEvent[],
  readings: readonly SettingReading[],
  accepted: readonly AcceptedPublish[],
  boundMs: number,
): finding.Finding[] {
  const faults = finding.eventsOf(events, 'fault');
  return readings.flatMap((reading) => {
    const fault = faults.filter((event) => event.at < reading.askedAt).at(-1);
    if (fault !== undefined && reading.askedAt < fault.at + boundMs) return [];
    const missed = accepted.find(
      ({event, revision}) =>
        event.path === reading.path &&
        revision > reading.revision &&
        event.at + boundMs < reading.askedAt,
    );
    if (missed === undefined) return [];
    const message = `${reading.path} at ${reading.entryId} still has revision ${reading.revision}, but ${missed.revision} was accepted`;
    const evidence = [missed.event, reading];
    return [{promise: 'configuration', message, evidence}];
  });
}
