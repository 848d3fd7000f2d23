/** The holder's end of a stream of calls that a peer makes to workers. */
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import * as types from '@gypsumwall/types';
import * as batchDelay from './batch_delay.js';
import * as channelForms from './channel_forms.js';
import * as lineStream from './line_stream.js';
import type * as ports from './ports.js';
import * as workerChannel from './worker_channel.js';

/**
 * How long calls are collected before they are sent, and answers at the peer;
 * milliseconds.
 */
const CALL_DELAY_MS = 15;
const ANSWER_DELAY_MS = 10;
/**
 * Added to the timeout of a call, for the collection at both ends and the way
 * to the peer; milliseconds.
 */
const RELAY_ALLOWANCE_MS = 250;
/** A peer that is silent for this long is considered lost; milliseconds. */
const MAX_SILENCE_MS = 1_000;
/**
 * Interval at which overdue calls are looked for. All channels do it at the same
 * moments, which wakes a holder with many peers up once; milliseconds.
 */
const CHECK_INTERVAL_MS = 50;

/** Options of a channel. */
export interface WorkerChannelOptions {
  readonly address: string;
  /** Busy share of this process's event loop, from 0 to 1. */
  readonly loopUtilization: () => number;
  readonly sendsPayload: workerChannel.SendsPayload;
  readonly clock: types.clock.Clock;
  /** Called when the peer is shutting down; open calls are still answered. */
  readonly onLeaving: () => void;
  /** Called once when the channel can't be used any more. */
  readonly onLost: (err: types.stepError.StepError) => void;
  readonly open?: typeof lineStream.openLineStream;
}

/** A channel to one peer. */
export interface WorkerChannel {
  call(
    worker: scheduling.workerRegistry.WorkerInfo,
    call: workerChannel.WorkerCall,
  ): ports.Answer<workerChannel.WorkerAnswer>;
  close(): void;
}

interface OpenCall {
  readonly deadline: types.clock.MonotonicMs;
  readonly resolve: (
    answer: Awaited<ports.Answer<workerChannel.WorkerAnswer>>,
  ) => void;
}

/** Opens a channel; calls wait until the peer has accepted it. */
export function openWorkerChannel(
  options: WorkerChannelOptions,
): WorkerChannel {
  const {address, clock, open = lineStream.openLineStream} = options;
  const openCalls = new Map<number, OpenCall>();
  let waiting: workerChannel.ChannelCall[] = [];
  let timer: NodeJS.Timeout | undefined;
  let checkTimer: NodeJS.Timeout | undefined;
  /** Undefined until the peer has accepted the stream. */
  let form: workerChannel.HolderForm | undefined;
  let isLost = false;
  let lastNth = 0;
  let heardAt = clock.monotonic();

  const delayMs = (minMs: number) =>
    batchDelay.batchDelayMs(minMs, options.loopUtilization());

  function sendWaiting(): void {
    timer = undefined;
    if (form === undefined) return;
    // Calls that timed out before the peer accepted the stream are not sent.
    const due = waiting.filter(({nth}) => openCalls.has(nth));
    waiting = [];
    if (due.length === 0) return;
    stream.write(form.encodeCalls(due, delayMs(ANSWER_DELAY_MS)));
  }

  function fail(
    nth: number,
    {resolve}: OpenCall,
    err: types.stepError.StepError,
  ): void {
    openCalls.delete(nth);
    resolve(result.err(err));
  }

  function onLine(text: string): void {
    heardAt = clock.monotonic();
    if (form === undefined) return;
    let line: workerChannel.AnswersLine;
    try {
      line = form.decodeAnswers(text);
    } catch (thrown) {
      stream.close(types.stepError.messageOf(thrown));
      return;
    }
    if (line.isLeaving) options.onLeaving();
    for (const sent of line.answers) {
      const call = openCalls.get(sent.nth);
      if (call === undefined) continue;
      openCalls.delete(sent.nth);
      call.resolve(
        'answer' in sent ? result.ok(sent.answer) : result.err(sent.err),
      );
    }
    if (line.isLeaving && openCalls.size === 0) {
      stream.close('the peer is leaving');
    }
  }

  function onClosed(err: types.stepError.StepError): void {
    if (isLost) return;
    isLost = true;
    clearTimeout(checkTimer);
    clearTimeout(timer);
    const unsent = new Set(waiting.map(({nth}) => nth));
    for (const [nth, call] of openCalls) {
      const effect = unsent.has(nth) ? 'not_run' : 'unknown';
      fail(nth, call, {...err, effect});
    }
    options.onLost(err);
  }

  function scheduleCheck(): void {
    const sinceLastMs = clock.monotonic() % CHECK_INTERVAL_MS;
    const delayMs = Math.ceil(CHECK_INTERVAL_MS - sinceLastMs);
    // Lines that arrived while this process was busy are read first.
    checkTimer = setTimeout(() => setImmediate(check), delayMs);
  }

  function check(): void {
    if (isLost) return;
    scheduleCheck();
    const now = clock.monotonic();
    if (now - heardAt > MAX_SILENCE_MS) {
      stream.close(`silent for ${MAX_SILENCE_MS} ms`);
      return;
    }
    for (const [nth, call] of openCalls) {
      if (now > call.deadline) fail(nth, call, overdue(address));
    }
  }

  const path = workerChannel.WORKER_CHANNEL_PATH;
  const stream = open(address, path, channelForms.COMPACT_TYPE, {
    onOpen(mediaType) {
      form = channelForms.createHolderForm(mediaType, options.sendsPayload);
      heardAt = clock.monotonic();
      sendWaiting();
    },
    onLine,
    onClosed,
  });
  scheduleCheck();

  return {
    call(worker, call) {
      if (isLost) return Promise.resolve(result.err(closedError(address)));
      return new Promise((resolve) => {
        const nth = ++lastNth;
        const timeoutMs = call.call.timeoutMs + RELAY_ALLOWANCE_MS;
        const deadline = types.clock.after(clock.monotonic(), timeoutMs);
        openCalls.set(nth, {deadline, resolve});
        waiting.push({nth, worker, call});
        timer ??= setTimeout(sendWaiting, delayMs(CALL_DELAY_MS));
      });
    },
    close: () => stream.close('the holder has ended'),
  };
}

function overdue(peer: string): types.stepError.StepError {
  return types.stepError.createStepError({
    kind: 'timeout',
    step: 'peer.worker_call',
    peer,
    effect: 'unknown',
    message: 'no answer in time',
  });
}

function closedError(peer: string): types.stepError.StepError {
  return types.stepError.createStepError({
    kind: 'unreachable',
    step: 'peer.worker_call',
    peer,
    effect: 'not_run',
    message: 'the channel is closed',
  });
}
