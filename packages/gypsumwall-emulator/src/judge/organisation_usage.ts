/** What the tasks of each organisation hold in the course of a history. */
import * as types from '@gypsumwall/types';
import type * as history from '../model/history.js';
import type * as jobCatalog from '../model/job_catalog.js';

/** What an organisation holds after a start. */
export interface UsageAtStart {
  readonly at: types.clock.MonotonicMs;
  readonly taskId: string;
  readonly organisation: string;
  /** Size of the started task. */
  readonly size: types.resources.Resources;
  readonly used: types.resources.Resources;
}

interface RunningAttempt {
  readonly workerId: string;
  readonly organisation: string;
  readonly size: types.resources.Resources;
}

/** Returns the usage after each start of an organisation's task. */
export function listUsage(
  events: readonly history.HistoryEvent[],
): UsageAtStart[] {
  const jobs = new Map<string, jobCatalog.JobSpec>();
  const running = new Map<string, RunningAttempt>();
  const usage: UsageAtStart[] = [];

  function start(event: history.HistoryEvent & {type: 'run_started'}): void {
    const {taskId, workerId, at} = event;
    const [jobId = '', , step = ''] = taskId.split('.');
    const job = jobs.get(jobId);
    const size = job?.steps[Number(step)]?.size;
    const organisation = job?.organisation;
    if (size === undefined || organisation === undefined) return;
    running.set(keyOf(event), {workerId, organisation, size});
    const used = [...running.values()]
      .filter((one) => one.organisation === organisation)
      .reduce(
        (sum, one) => types.resources.add(sum, one.size),
        types.resources.NO_RESOURCES,
      );
    usage.push({at, taskId, organisation, size, used});
  }

  for (const event of events) {
    if (event.type === 'job_sent') {
      jobs.set(event.job.jobId, event.job);
    } else if (event.type === 'run_started') {
      start(event);
    } else if (event.type === 'run_ended') {
      running.delete(keyOf(event));
    } else if (
      event.type === 'worker_left' ||
      event.type === 'worker_crashed'
    ) {
      for (const [key, {workerId}] of running) {
        if (workerId === event.workerId) running.delete(key);
      }
    }
  }
  return usage;
}

function keyOf(run: history.AttemptId & {readonly workerId: string}): string {
  return `${run.taskId}#${run.attempt}@${run.workerId}`;
}
