/** What workers recorded: capacity held and tasks in one place. */
import * as types from '@gypsumwall/types';
import type * as historyEvent from '../history_event.js';
import * as finding from './finding.js';

type StartEvent = finding.EventOf<'task_started'>;

/** No worker ever holds more than its capacity, on any dimension. */
export function checkCapacity(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const findings: finding.Finding[] = [];
  const capacities = new Map<string, types.resources.Resources>();
  const held = new Map<string, Map<string, StartEvent>>();
  for (const event of events) {
    if (event.type === 'worker_up') {
      capacities.set(event.workerId, event.capacity);
      held.set(event.workerId, new Map());
    }
    if (event.type === 'task_ended') {
      held.get(event.workerId)?.delete(attemptKey(event));
    }
    if (event.type !== 'task_started') continue;
    const heldHere = held.get(event.workerId) ?? new Map<string, StartEvent>();
    held.set(event.workerId, heldHere);
    heldHere.set(attemptKey(event), event);
    const running = [...heldHere.values()];
    const capacity =
      capacities.get(event.workerId) ?? types.resources.NO_RESOURCES;
    const totalSize = running
      .map((start) => start.size)
      .reduce(types.resources.add, types.resources.NO_RESOURCES);
    if (types.resources.fits(totalSize, capacity)) continue;
    findings.push({
      promise: 'capacity',
      message: `${event.workerId} holds ${JSON.stringify(totalSize)} of ${JSON.stringify(capacity)}`,
      evidence: running,
    });
  }
  return findings;
}

/** No task runs in two places, or twice in one, at the same time. */
export function checkOnePlace(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const findings: finding.Finding[] = [];
  const running = new Map<string, Map<string, StartEvent>>();
  for (const event of events) {
    if (event.type === 'task_ended') {
      running.get(event.taskId)?.delete(placeKey(event));
    }
    if (event.type !== 'task_started') continue;
    const places = running.get(event.taskId) ?? new Map<string, StartEvent>();
    running.set(event.taskId, places);
    places.set(placeKey(event), event);
    if (places.size < 2) continue;
    const where = [...places.values()].map((start) => start.workerId);
    findings.push({
      promise: 'one_place',
      message: `task ${event.taskId} runs at once on ${where.join(' and ')}`,
      evidence: [...places.values()],
    });
  }
  return findings;
}

/**
 * A task whose done end a holder has heard of is not started again: a letter
 * checked twice makes two advisers call one lender. An end counts as heard
 * from the last answer that told it before it was acknowledged; one that no
 * answer carried may be run again once its lease is over. Replicas of a
 * service start again by their nature.
 */
export function checkDoneOnce(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const services = new Set(
    finding
      .eventsOf(events, 'job_seen')
      .filter(({view}) => view.kind === 'service')
      .map(({view}) => view.jobId as string),
  );
  const starts = finding.groupBy(
    finding.eventsOf(events, 'task_started'),
    (start) => start.taskId,
  );
  return acknowledgedEnds(events).flatMap((reportedEnd) => {
    const {taskId} = reportedEnd;
    const {jobId} = types.ids.splitTaskId(types.ids.brand(taskId));
    const again = starts
      .get(taskId)
      ?.filter((start) => start.at > reportedEnd.at);
    if (services.has(jobId) || again === undefined || again.length === 0) {
      return [];
    }
    const message = `task ${taskId} was known to be done and was started again`;
    return [{promise: 'done_once', message, evidence: [reportedEnd, ...again]}];
  });
}

/** The last telling of each done end that was acknowledged. */
function acknowledgedEnds(
  events: readonly historyEvent.HistoryEvent[],
): Array<finding.EventOf<'end_told'>> {
  const done = new Set<string>();
  const lastReports = new Map<string, finding.EventOf<'end_told'>>();
  const acknowledged: Array<finding.EventOf<'end_told'>> = [];
  for (const event of events) {
    if (event.type === 'task_ended' && event.cause === 'done') {
      done.add(attemptKey(event));
    }
    if (event.type === 'end_told') lastReports.set(attemptKey(event), event);
    if (event.type !== 'end_acknowledged') continue;
    const lastReport = lastReports.get(attemptKey(event));
    if (lastReport !== undefined && done.has(attemptKey(event)))
      acknowledged.push(lastReport);
  }
  return acknowledged;
}

interface Attempt {
  readonly taskId: string;
  readonly attempt: string;
}

function attemptKey({taskId, attempt}: Attempt): string {
  return `${taskId} ${attempt}`;
}

function placeKey(event: Attempt & {readonly workerId: string}): string {
  return `${event.workerId} ${event.attempt}`;
}
