/**
 * Checks that no accepted job is lost: compares what callers received with how
 * the job ended.
 */
import * as types from '@gypsumwall/types';
import type * as historyEvent from '../history_event.js';
import * as finding from './finding.js';

type JobReading = finding.EventOf<'job_seen'>;

/**
 * Checks that every accepted job that was not cancelled has ended, or is
 * running if it is a service, when the history is settled.
 */
export function checkNothingLost(
  events: readonly historyEvent.HistoryEvent[],
): finding.Finding[] {
  const settled = finding.eventsOf(events, 'settled').at(-1);
  if (settled === undefined) return [];
  const cancelled = new Set(
    finding.eventsOf(events, 'job_cancel_accepted').map((event) => event.jobId),
  );
  const readings = finding.groupBy(
    finding.eventsOf(events, 'job_seen'),
    (event) => event.view.jobId,
  );
  const missing = finding.groupBy(
    finding.eventsOf(events, 'job_missing'),
    (event) => event.jobId,
  );
  const ends = finding.groupBy(
    finding.eventsOf(events, 'task_ended'),
    (event) => types.ids.splitTaskId(types.ids.brand(event.taskId)).jobId,
  );
  const findings: finding.Finding[] = [];
  for (const event of finding.eventsOf(events, 'job_told')) {
    if (event.told.type !== 'accepted') continue;
    const {jobId} = event.told;
    if (cancelled.has(jobId)) continue;
    const lastReading = readings.get(jobId)?.at(-1);
    const missingReply = missing.get(jobId)?.at(-1);
    const message =
      missingReply !== undefined && missingReply.at > (lastReading?.at ?? 0)
        ? `accepted, but ${missingReply.entryId} has no such job`
        : findLoss(lastReading, ends.get(jobId) ?? []);
    if (message === undefined) continue;
    const evidence = [event, lastReading, missingReply].filter(
      (one) => one !== undefined,
    );
    findings.push({
      promise: 'nothing_lost',
      message: `job ${jobId}: ${message}`,
      evidence: [...evidence, settled],
    });
  }
  return findings;
}

/**
 * Returns why the job counts as lost, by its last view and the ends that
 * workers recorded; undefined if it isn't lost.
 */
function findLoss(
  lastReading: JobReading | undefined,
  ends: ReadonlyArray<finding.EventOf<'task_ended'>>,
): string | undefined {
  if (lastReading === undefined) return 'accepted, but never found by its id';
  const {view} = lastReading;
  switch (view.state) {
    case 'queued':
    case 'cancelled':
      return `accepted, but ${view.state}: ${view.message}`;
    case 'running':
      return view.kind === 'service' && view.running > 0
        ? undefined
        : `accepted, but not finished: ${view.message}`;
    case 'failed':
      return ends.some((end) => end.cause === 'failed')
        ? undefined
        : `failed, but no worker recorded a failure: ${view.message}`;
    case 'done': {
      const done = ends.filter((end) => end.cause === 'done');
      const tasks = new Set(done.map((end) => end.taskId));
      return tasks.size >= view.tasks
        ? undefined
        : `done, but workers finished ${tasks.size} of ${view.tasks} tasks`;
    }
  }
}
