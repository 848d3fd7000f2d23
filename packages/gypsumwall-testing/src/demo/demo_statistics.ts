/** Statistics of the demo, computed from recorded histories alone. */
import * as hdr from 'hdr-histogram-js';
import type * as historyEvent from '../history_event.js';
import * as finding from '../judge/finding.js';
import type * as demoLoad from './demo_load.js';

/** Statistics of one class: a row of the table. */
export interface ClassStatistics {
  readonly name: string;
  readonly sent: number;
  /**
   * Requests with a complete answer, jobs that are done, and services with all
   * replicas running.
   */
  readonly done: number;
  readonly refused: number;
  readonly unknown: number;
  /**
   * Milliseconds from the sending of a request to its answer, or of a job to
   * the first start of each task on a worker.
   */
  readonly waitP50Ms: number | undefined;
  readonly waitP99Ms: number | undefined;
}

/** How well the workers were used, as shares from 0 to 1. */
export interface Packing {
  /**
   * Allocated share of the processors of workers that ran anything, over time.
   */
  readonly allocatedOfBusy: number;
  /** Used share of the allocated processors, over all tasks that have ended. */
  readonly usedOfAllocated: number;
}

const MICROS_PER_MS = 1_000;

/** Computes the statistics of one class. */
export function classStatistics(
  sent: demoLoad.SentClass,
  events: readonly historyEvent.HistoryEvent[],
): ClassStatistics {
  const callIds = new Set(sent.callIds);
  const isOwn = (event: {readonly callId: string}) => callIds.has(event.callId);
  return sent.kind === 'request'
    ? requestStatistics(sent.name, events, isOwn)
    : jobStatistics(sent.name, events, isOwn);
}

type IsOwn = (event: {readonly callId: string}) => boolean;

function requestStatistics(
  name: string,
  events: readonly historyEvent.HistoryEvent[],
  isOwn: IsOwn,
): ClassStatistics {
  const sent = finding.eventsOf(events, 'request_sent').filter(isOwn);
  const sentAt = new Map(sent.map((event) => [event.callId, event.at]));
  const told = finding.eventsOf(events, 'request_told').filter(isOwn);
  const done = told.filter((event) => event.told.type === 'done');
  const waitsMs = done.map((event) => {
    return event.at - (sentAt.get(event.callId) ?? event.at);
  });
  const refused = told.filter((event) => event.told.type === 'not_run').length;
  return {
    name,
    sent: sent.length,
    done: done.length,
    refused,
    unknown: sent.length - done.length - refused,
    ...percentiles(waitsMs),
  };
}

function jobStatistics(
  name: string,
  events: readonly historyEvent.HistoryEvent[],
  isOwn: IsOwn,
): ClassStatistics {
  const sent = finding.eventsOf(events, 'job_sent').filter(isOwn);
  const sentAt = new Map(sent.map((event) => [event.label, event.at]));
  const told = finding.eventsOf(events, 'job_told').filter(isOwn);
  const accepted = new Set(
    told.flatMap(({told: one}) => (one.type === 'accepted' ? [one.jobId] : [])),
  );
  const done = new Set<string>();
  for (const {view} of finding.eventsOf(events, 'job_seen')) {
    const isUp = view.kind === 'service' && view.running === view.tasks;
    if (!accepted.has(view.jobId)) continue;
    if (view.state === 'done' || isUp) done.add(view.jobId);
  }
  const firstStarts = new Map<string, number>();
  for (const event of finding.eventsOf(events, 'task_started')) {
    const from = sentAt.get(event.label);
    if (from === undefined || firstStarts.has(event.taskId)) continue;
    firstStarts.set(event.taskId, event.at - from);
  }
  const refused = told.filter((event) => event.told.type === 'not_run').length;
  return {
    name,
    sent: sent.length,
    done: done.size,
    refused,
    unknown: sent.length - accepted.size - refused,
    ...percentiles([...firstStarts.values()]),
  };
}

function percentiles(
  waits: readonly number[],
): Pick<ClassStatistics, 'waitP50Ms' | 'waitP99Ms'> {
  if (waits.length === 0) return {waitP50Ms: undefined, waitP99Ms: undefined};
  const histogram = hdr.build({numberOfSignificantValueDigits: 3});
  for (const wait of waits) {
    histogram.recordValue(Math.max(1, Math.round(wait * MICROS_PER_MS)));
  }
  const at = (percent: number) =>
    histogram.getValueAtPercentile(percent) / MICROS_PER_MS;
  return {waitP50Ms: at(50), waitP99Ms: at(99)};
}

/** Computes the packing over the whole history. */
export function packingStatistics(
  events: readonly historyEvent.HistoryEvent[],
): Packing {
  const capacity = new Map<string, number>();
  const allocated = new Map<string, Map<string, number>>();
  let allocatedTime = 0;
  let busyTime = 0;
  let usedTime = 0;
  let endedTime = 0;
  let last = events[0]?.at ?? 0;
  const accumulateUntil = (until: number): void => {
    const spanMs = until - last;
    last = until;
    for (const [workerId, tasks] of allocated) {
      if (tasks.size === 0) continue;
      busyTime += (capacity.get(workerId) ?? 0) * spanMs;
      for (const size of tasks.values()) allocatedTime += size * spanMs;
    }
  };
  for (const event of events) {
    if (event.type === 'worker_up') {
      capacity.set(event.workerId, event.capacity.cpuMillis);
      allocated.set(event.workerId, new Map());
    }
    if (event.type !== 'task_started' && event.type !== 'task_ended') continue;
    accumulateUntil(event.at);
    const tasks = allocated.get(event.workerId);
    const key = `${event.taskId} ${event.attempt}`;
    if (event.type === 'task_started') {
      tasks?.set(key, event.size.cpuMillis);
      continue;
    }
    usedTime += event.used.cpuMillis * event.ranMs;
    endedTime += (tasks?.get(key) ?? 0) * event.ranMs;
    tasks?.delete(key);
  }
  return {
    allocatedOfBusy: busyTime === 0 ? 0 : allocatedTime / busyTime,
    usedOfAllocated: endedTime === 0 ? 0 : usedTime / endedTime,
  };
}
