/**
 * Ids of tasks, `<job>.<occurrence>.<step>.<index>`, and of step runs, which
 * have the same form without the index.
 */
import * as types from '@gypsumwall/types';

/** The parts of a task id. */
export interface TaskIdParts {
  readonly jobId: types.ids.JobId;
  /** Number of the occurrence; 0 for a job without a schedule. */
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** Returns the id of one step of one occurrence. */
export function stepRunId(
  jobId: types.ids.JobId,
  occurrence: number,
  step: number,
): string {
  return `${jobId}.${occurrence}.${step}`;
}

/** Returns the id of one task of a step run. */
export function taskId(stepRun: string, index: number): types.ids.TaskId {
  return types.ids.brand<types.ids.TaskId>(`${stepRun}.${index}`);
}

/** Parses a task id; undefined if it has another form. */
export function parseTaskId(id: string): TaskIdParts | undefined {
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
