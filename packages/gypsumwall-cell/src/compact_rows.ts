/** The rows and lines of the compact form of a worker channel. */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import type * as runningChanges from './running_changes.js';

/** Number, kind, and position of the worker in the order of introduction. */
type CallHead<Kind extends string> = readonly [number, Kind, number];

/** Task, attempt, end of the lease, timeout, payload, ticket, checkpoint. */
export type StartRow = readonly [
  ...CallHead<'start'>,
  types.ids.TaskId,
  number,
  number,
  number,
  /** Number of the payload; null if it is in the job's record. */
  number | null,
  (string | null)?,
  string?,
];
/** Task, attempt, timeout. */
export type StopRow = readonly [
  ...CallHead<'stop'>,
  types.ids.TaskId,
  number,
  number,
];
/** Acknowledged sequence number, wait, timeout, end of the lease. */
export type PollRow = readonly [
  ...CallHead<'poll'>,
  number,
  number,
  number,
  number?,
];

/** A line of the holder. */
export interface CallsLine {
  /** Workers that are called for the first time on this stream. */
  readonly workers?: readonly scheduling.workerRegistry.WorkerInfo[];
  /** Payloads that are sent for the first time, with their numbers. */
  readonly payloads?: readonly (readonly [number, string])[];
  readonly token: number;
  readonly delayMs: number;
  readonly calls: readonly (StartRow | StopRow | PollRow)[];
}

/** Sequence number, task, attempt, outcome, saved progress. */
export type EndRow = readonly [
  number,
  types.ids.TaskId,
  number,
  scheduling.schedulerTypes.AttemptEnd['how'],
  string,
];

/** Number of the call and its outcome. */
export type AnswerRow =
  /** Clock; the start of the incarnation, as in a report. */
  | readonly [number, 'accepted', number, number?]
  | readonly [
      number,
      'refused',
      scheduling.schedulerTypes.RefusalReason,
      number?,
    ]
  | readonly [number, 'fenced' | 'gone']
  | readonly [number, 'err', types.stepError.StepError]
  /**
   * Worker, its clock, changed attempts, ends, whether there are more, and the
   * start of its incarnation if that isn't the one that the holder has named.
   */
  | readonly [
      number,
      'report',
      number,
      number,
      runningChanges.RunningChanges,
      EndRow[],
      0 | 1,
      number?,
    ];

/** A line of the peer. */
export interface AnswersLine {
  readonly leaving?: 1;
  readonly answers: readonly AnswerRow[];
}

/** Kinds of calls that this version knows. */
export const CALL_KINDS: ReadonlySet<string> = new Set<
  CallsLine['calls'][number][1]
>(['start', 'stop', 'poll']);
/** Kinds of answers that this version knows. */
export const ANSWER_KINDS: ReadonlySet<string> = new Set<AnswerRow[1]>([
  'accepted',
  'refused',
  'fenced',
  'gone',
  'err',
  'report',
]);

/** Throws for a row of another version, which may mean anything. */
export function checkKind(kind: string, known: ReadonlySet<string>): void {
  if (known.has(kind)) return;
  throw new Error(`type = ${kind}: this version doesn't know it`);
}

/** Returns an end as a row. */
export function encodeEnd(end: scheduling.schedulerTypes.AttemptEnd): EndRow {
  const {sequence, taskId, attempt, how, checkpoint} = end;
  return [sequence, taskId, attempt, how, checkpoint];
}

/** Returns the end of a row. */
export function decodeEnd([
  sequence,
  taskId,
  attempt,
  how,
  checkpoint,
]: EndRow): scheduling.schedulerTypes.AttemptEnd {
  return {sequence, taskId, attempt, how, checkpoint};
}
