/**
 * The protocol by which a holder has its calls to workers made by a peer. Calls
 * and answers are collected for some milliseconds and sent together, as lines
 * of JSON on one stream. A call through a peer means what the call itself
 * means: one that gets no answer may have been executed, or may be later.
 */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import type * as ports from './ports.js';

/** Path of the stream. */
export const WORKER_CHANNEL_PATH = '/worker-channel';

/**
 * Longest silence of a peer that makes calls; a peer without answers writes an
 * empty line as often; milliseconds.
 */
export const ANSWER_HEARTBEAT_MS = 200;

/** A call to a worker. */
export type WorkerCall =
  | {readonly type: 'start'; readonly call: ports.StartCall}
  | {readonly type: 'stop'; readonly call: ports.StopCall}
  | {readonly type: 'poll'; readonly call: ports.PollCall};

/** The answer to such a call. */
export type WorkerAnswer = ports.OrderAnswer | ports.PollAnswer;

/** A call as it is sent; the payload of a start is sent apart. */
export type SentCall = {
  readonly nth: number;
  readonly worker: types.ids.WorkerId;
} & (
  | {
      readonly type: 'start';
      readonly call: Omit<ports.StartCall, 'payload'>;
      /** Position in the payloads of the line, which tasks of a job share. */
      readonly payload: number;
    }
  | Extract<WorkerCall, {readonly type: 'stop' | 'poll'}>
);

/** A line of the holder. */
export interface CallsLine {
  /** Workers that are called for the first time on this stream. */
  readonly workers: readonly scheduling.workerRegistry.WorkerInfo[];
  readonly payloads: readonly string[];
  readonly calls: readonly SentCall[];
  /** How long the peer collects answers before it sends them; milliseconds. */
  readonly answerDelayMs: number;
}

const ANSWER_TYPES: ReadonlySet<unknown> = new Set<WorkerAnswer['type']>([
  'accepted',
  'refused',
  'fenced',
  'gone',
  'report',
]);

/** Parses a line; throws if it is malformed or of an unknown form. */
export function parseCalls(text: string): CallsLine {
  const line = JSON.parse(text) as Partial<CallsLine>;
  const {workers, payloads, calls, answerDelayMs} = line;
  if (
    typeof answerDelayMs === 'number' &&
    Array.isArray(workers) &&
    Array.isArray(payloads) &&
    Array.isArray(calls)
  ) {
    return line as CallsLine;
  }
  throw new Error(`fields = ${Object.keys(line).join(',')}: no line of calls`);
}

/** Parses a line; throws if it is malformed or of an unknown form. */
export function parseAnswers(text: string): AnswersLine {
  const {answers, isLeaving} = JSON.parse(text) as Partial<AnswersLine>;
  for (const sent of answers ?? []) {
    if ('err' in sent || ANSWER_TYPES.has(sent.answer.type)) continue;
    throw new Error(`type = ${sent.answer.type}: this version doesn't know it`);
  }
  if (answers !== undefined && isLeaving !== undefined)
    return {answers, isLeaving};
  throw new Error('fields are absent: no line of answers');
}

/** The outcome of one call. */
export type SentAnswer =
  | {readonly nth: number; readonly answer: WorkerAnswer}
  | {readonly nth: number; readonly err: types.stepError.StepError};

/** A line of the peer. */
export interface AnswersLine {
  readonly answers: readonly SentAnswer[];
  /** Whether the peer is shutting down and should get no more calls. */
  readonly isLeaving: boolean;
}
