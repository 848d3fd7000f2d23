/**
 * Checks what workers recorded: which tasks they ran at the same time, and
 * where each task ran.
 */
import * as types from '@gypsumwall/types';
import type * as historyEvent from '../history_event.js';
import * as finding from './finding.js';

type StartEvent = finding.EventOf<'task_started'>;

/**
 * Checks that the running tasks of a worker never exceed its capacity in any
 * dimension.
 */
export function checkCapacity(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const findings: finding.Finding[] = [];
  const capacities = new Map<string, types.resources.Resources>();
  const runningByWorker = new Map<string, Map<string, StartEvent>>();
  for (const event of events) {
    if (event.type === 'worker_up') {
      capacities.set(event.workerId, event.capacity);
      runningByWorker.set(event.workerId, new Map());
    }
    if (event.type === 'task_ended') {
      runningByWorker.get(event.workerId)?.delete(attemptKey(event));
    }
    if (event.type !== 'task_started') continue;
    const runningHere =
      runningByWorker.get(event.workerId) ?? new Map<string, StartEvent>();
    runningByWorker.set(event.workerId, runningHere);
    runningHere.set(attemptKey(event), event);
    const running = [...runningHere.values()];
    const capacity =
      capacities.get(event.workerId) ?? types.resources.NO_RESOURCES;
    const totalSize = running
      .map((start) => start.size)
      .reduce(types.resources.add, types.resources.NO_RESOURCES);
    if (types.resources.fits(totalSize, capacity)) continue;
    findings.push({
      promise: 'capacity',
      message: `${event.workerId} runs tasks of ${JSON.stringify(totalSize)} with a capacity of ${JSON.stringify(capacity)}`,
      evidence: running,
    });
  }
  return findings;
}

/**
 * Checks that no task has two attempts running at the same time, on two workers
 * or on one.
 */
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
      message: `task ${event.taskId} runs at the same time on ${where.join(' and ')}`,
      evidence: [...places.values()],
    });
  }
  return findings;
}

/**
 * Checks that a task is not started again after a holder learned that it is
 * done; a letter that is checked twice, for example, makes two advisers call
 * the same lender. At the latest the holder learned it from the last answer
 * that reported the end before the end was acknowledged. A task whose end no
 * answer carried may run again once its lease has expired. Replicas of a
 * service are exempt, since they are restarted by design.
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

/**
 * Returns the last report of each successful end before its acknowledgement;
 * ends that were never acknowledged are left out.
 */
function acknowledgedEnds(
  events: readonly historyEvent.HistoryEvent[],
): Array<finding.EventOf<'end_told'>> {
  const done = new Set<string>();
  const lastReports = new Map<string, finding.EventOf<'end_told'>>();
  const ends: Array<finding.EventOf<'end_told'>> = [];
  for (const event of events) {
    if (event.type === 'task_ended' && event.cause === 'done') {
      done.add(attemptKey(event));
    }
    if (event.type === 'end_told') lastReports.set(attemptKey(event), event);
    if (event.type !== 'end_acknowledged') continue;
    const report = lastReports.get(attemptKey(event));
    if (report !== undefined && done.has(attemptKey(event))) ends.push(report);
  }
  return ends;
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
