/** What workers recorded: capacity held and tasks in one place. */
import * as types from '@gypsumwall/types';
import type * as historyEvent from '../history_event.js';
import * as finding from './finding.js';

type Started = finding.EventOf<'task_started'>;

/** No worker ever holds more than its capacity, on any dimension. */
export function checkCapacity(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const findings: finding.Finding[] = [];
  const capacities = new Map<string, types.resources.Resources>();
  const held = new Map<string, Map<string, Started>>();
  for (const event of events) {
    if (event.type === 'worker_up') {
      capacities.set(event.workerId, event.capacity);
      held.set(event.workerId, new Map());
    }
    if (event.type === 'task_ended') {
      held.get(event.workerId)?.delete(attemptKey(event));
    }
    if (event.type !== 'task_started') continue;
    const there = held.get(event.workerId) ?? new Map<string, Started>();
    held.set(event.workerId, there);
    there.set(attemptKey(event), event);
    const starts = [...there.values()];
    const capacity =
      capacities.get(event.workerId) ?? types.resources.NO_RESOURCES;
    const sum = starts
      .map((start) => start.size)
      .reduce(types.resources.add, types.resources.NO_RESOURCES);
    if (types.resources.fits(sum, capacity)) continue;
    findings.push({
      promise: 'capacity',
      message: `${event.workerId} holds ${JSON.stringify(sum)} of ${JSON.stringify(capacity)}`,
      evidence: starts,
    });
  }
  return findings;
}

/** No task runs in two places, or twice in one, at the same time. */
export function checkOnePlace(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const findings: finding.Finding[] = [];
  const running = new Map<string, Map<string, Started>>();
  for (const event of events) {
    if (event.type === 'task_ended') {
      running.get(event.taskId)?.delete(placeKey(event));
    }
    if (event.type !== 'task_started') continue;
    const places = running.get(event.taskId) ?? new Map<string, Started>();
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
 * A task that a worker ended as done is not started again: a letter checked
 * twice makes two advisers call one lender. The worker repeats the end until
 * it is acknowledged, so only its restart may lose it. Replicas of a service
 * start again by their nature.
 */
export function checkDoneOnce(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const findings: finding.Finding[] = [];
  const services = new Set(
    finding
      .eventsOf(events, 'job_seen')
      .filter(({view}) => view.kind === 'service')
      .map(({view}) => view.jobId as string),
  );
  const done = new Map<string, finding.EventOf<'task_ended'>>();
  for (const event of events) {
    if (event.type === 'worker_up') {
      for (const [taskId, end] of done) {
        if (end.workerId === event.workerId) done.delete(taskId);
      }
    }
    if (event.type === 'task_ended' && event.cause === 'done') {
      done.set(event.taskId, event);
    }
    if (event.type !== 'task_started') continue;
    const end = done.get(event.taskId);
    const {jobId} = types.ids.splitTaskId(types.ids.brand(event.taskId));
    if (end === undefined || services.has(jobId)) continue;
    findings.push({
      promise: 'done_once',
      message: `task ${event.taskId} was done and was started again`,
      evidence: [end, event],
    });
  }
  return findings;
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
