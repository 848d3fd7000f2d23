/** The form of a worker channel in which each line is one object. */
import type * as scheduling from '@gypsumwall/scheduling';
import type * as types from '@gypsumwall/types';
import type * as ports from './ports.js';
import * as workerChannel from './worker_channel.js';

/** A call as it is sent; the payload of a start is sent apart. */
type SentCall = {
  readonly nth: number;
  readonly worker: types.ids.WorkerId;
} & (
  | {
      readonly type: 'start';
      readonly call: Omit<ports.StartCall, 'payload'>;
      /** Position in the payloads of the line, which tasks of a job share. */
      readonly payload: number;
    }
  | Extract<workerChannel.WorkerCall, {readonly type: 'stop' | 'poll'}>
);

interface CallsLine {
  /** Workers that are called for the first time on this stream. */
  readonly workers: readonly scheduling.workerRegistry.WorkerInfo[];
  readonly payloads: readonly string[];
  readonly calls: readonly SentCall[];
  readonly answerDelayMs: number;
}

const ANSWER_TYPES: ReadonlySet<unknown> = new Set<
  workerChannel.WorkerAnswer['type']
>(['accepted', 'refused', 'fenced', 'gone', 'report']);

/** Creates the holder's end of a stream. */
export function createHolderForm(): workerChannel.HolderForm {
  const knownWorkers = new Map<
    types.ids.WorkerId,
    scheduling.workerRegistry.WorkerInfo
  >();

  function encodeCall(
    {nth, worker, call}: workerChannel.ChannelCall,
    payloads: string[],
  ): SentCall {
    const sent = {nth, worker: worker.id};
    if (call.type !== 'start') return {...sent, ...call};
    const {payload, ...rest} = call.call;
    const known = payloads.lastIndexOf(payload);
    const position = known < 0 ? payloads.push(payload) - 1 : known;
    return {...sent, type: 'start', call: rest, payload: position};
  }

  return {
    encodeCalls(sent, answerDelayMs) {
      const workers: scheduling.workerRegistry.WorkerInfo[] = [];
      for (const {worker} of sent) {
        const known = knownWorkers.get(worker.id);
        if (workerChannel.isSameEndpoint(known, worker)) continue;
        knownWorkers.set(worker.id, worker);
        workers.push(worker);
      }
      const payloads: string[] = [];
      const calls = sent.map((call) => encodeCall(call, payloads));
      const line: CallsLine = {workers, payloads, calls, answerDelayMs};
      return JSON.stringify(line);
    },
    decodeAnswers: parseAnswers,
  };
}

/** Creates the peer's end of a stream. */
export function createPeerForm(): workerChannel.PeerForm {
  return {
    decodeCalls(text) {
      const {workers, payloads, calls, answerDelayMs} = parseCalls(text);
      const received = calls.map((sent): workerChannel.ReceivedCall => {
        const {nth, worker, ...call} = sent;
        if (call.type !== 'start') return {nth, worker, call};
        const payload = payloads[call.payload] ?? '';
        const start = {...call.call, payload};
        return {nth, worker, call: {type: 'start', call: start}};
      });
      return {workers, calls: received, answerDelayMs};
    },
    encodeAnswers(answers, isLeaving) {
      const line: workerChannel.AnswersLine = {
        answers: answers.map(({worker: _, ...sent}) => sent),
        isLeaving,
      };
      return JSON.stringify(line);
    },
  };
}

function parseCalls(text: string): CallsLine {
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

function parseAnswers(text: string): workerChannel.AnswersLine {
  const {answers, isLeaving} = JSON.parse(
    text,
  ) as Partial<workerChannel.AnswersLine>;
  for (const sent of answers ?? []) {
    if ('err' in sent || ANSWER_TYPES.has(sent.answer.type)) continue;
    throw new Error(`type = ${sent.answer.type}: this version doesn't know it`);
  }
  if (answers !== undefined && isLeaving !== undefined)
    return {answers, isLeaving};
  throw new Error('fields are absent: no line of answers');
}
