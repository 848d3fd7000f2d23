/**
 * Ids of tasks of step jobs: `<job>.<occurrence>.<step>.<index>`, and of one
 * step of one occurrence: the same without the index.
 */
import * as types from '@gypsumwall/types';

/** A task id taken apart. */
export interface TaskPlace {
  readonly jobId: types.ids.JobId;
  /** 0 for a job that runs once. */
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** The id of a step of one occurrence. */
export function stepRunId(
  jobId: types.ids.JobId,
  occurrence: number,
  step: number,
): string {
  return `${jobId}.${occurrence}.${step}`;
}

/** The id of one task of a step. */
export function taskId(stepRun: string, index: number): types.ids.TaskId {
  return types.ids.brand<types.ids.TaskId>(`${stepRun}.${index}`);
}

/** Takes an id apart; undefined if it has another form. */
export function placeOf(id: string): TaskPlace | undefined {
  const parts = id.split('.');
  if (parts.length !== 4) return undefined;
  const [occurrence, step, index] = parts.slice(1).map(Number);
  const numbers = [occurrence, step, index];
  if (!numbers.every((part) => Number.isInteger(part) && part! >= 0)) {
    return undefined;
  }
  return {
    jobId: types.ids.brand<types.ids.JobId>(parts[0]!),
    occurrence: occurrence!,
    step: step!,
    index: index!,
  };
}
