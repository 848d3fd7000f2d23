/**
 * The protocol by which a holder has its calls to workers made by a peer. Calls
 * and answers are collected for some milliseconds and sent together, as lines
 * on one stream. A call through a peer means what the call itself means: one
 * that gets no answer may have been executed, or may be later.
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

/** A call that the holder sends on a channel. */
export interface ChannelCall {
  /** Number of the call on this stream. */
  readonly nth: number;
  readonly worker: scheduling.workerRegistry.WorkerInfo;
  readonly call: WorkerCall;
}

/** What a peer knows of a worker that was introduced to it. */
export type Endpoint = Pick<
  scheduling.workerRegistry.WorkerInfo,
  'address' | 'bornMs'
>;

/**
 * Whether the peer's connections to a worker serve calls to another one of the
 * same id: a worker that has started again may have another address.
 */
export function isSameEndpoint(
  known: Endpoint | undefined,
  {address, bornMs}: Endpoint,
): boolean {
  return known?.address === address && known.bornMs === bornMs;
}

/** A start whose payload the peer takes from the job's record. */
export interface StartByReference {
  readonly type: 'start_by_reference';
  readonly call: Omit<ports.StartCall, 'payload'>;
}

/** A call that the peer has received. */
export interface ReceivedCall {
  readonly nth: number;
  readonly worker: types.ids.WorkerId;
  readonly call: WorkerCall | StartByReference;
}

/** A line of the holder, as the peer has received it. */
export interface ReceivedCalls {
  /** Workers that are called for the first time on this stream. */
  readonly workers: readonly scheduling.workerRegistry.WorkerInfo[];
  readonly calls: readonly ReceivedCall[];
  /** How long the peer collects answers before it sends them; milliseconds. */
  readonly answerDelayMs: number;
}

/** The outcome of one call. */
export type CallOutcome =
  {readonly answer: WorkerAnswer} | {readonly err: types.stepError.StepError};

/** The outcome of the call with this number on the stream. */
export type SentAnswer = {readonly nth: number} & CallOutcome;

/** The outcome of a call, with the worker that was called. */
export type WorkerOutcome = SentAnswer & {readonly worker: types.ids.WorkerId};

/** A line of the peer. */
export interface AnswersLine {
  readonly answers: readonly SentAnswer[];
  /** Whether the peer is shutting down and should get no more calls. */
  readonly isLeaving: boolean;
}

/** The holder's end of a stream in one form. */
export interface HolderForm {
  encodeCalls(calls: readonly ChannelCall[], answerDelayMs: number): string;
  /** Throws for a line that is malformed or of an unknown version. */
  decodeAnswers(text: string): AnswersLine;
}

/** The peer's end of a stream in one form. */
export interface PeerForm {
  /** Throws for a line that is malformed or of an unknown version. */
  decodeCalls(text: string): ReceivedCalls;
  encodeAnswers(outcomes: readonly WorkerOutcome[], isLeaving: boolean): string;
}

/**
 * Whether the holder sends the payload of a start itself, rather than have the
 * peer take it from the job's record.
 */
export type SendsPayload = (payload: string) => boolean;
