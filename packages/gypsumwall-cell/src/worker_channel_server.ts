/** Makes the calls to workers that a holder sends to this entry. */
import type * as stream from 'node:stream';
import * as result from 'true-myth/result';
import type * as scheduling from '@gypsumwall/scheduling';
import type * as telemetry from '@gypsumwall/telemetry';
import * as types from '@gypsumwall/types';
import * as lineStream from './line_stream.js';
import type * as ports from './ports.js';
import * as workerChannel from './worker_channel.js';

/**
 * A stream without a line for this long is closed: its holder polls each worker
 * every 2 s at least, and a lost one may leave the connection open;
 * milliseconds.
 */
const MAX_SILENCE_MS = 10_000;

/** Opens the connections to a worker. */
export type Connect = (
  worker: scheduling.workerRegistry.WorkerInfo,
) => ports.WorkerLink;

/** Options of the server's end of a stream. */
export interface WorkerChannelServerOptions {
  readonly connect: Connect;
  /** Whether this process is shutting down. */
  readonly isLeaving: () => boolean;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
}

/** Serves one stream until the holder closes it. */
export function serveWorkerChannel(
  calls: stream.Readable,
  answers: stream.Writable,
  {connect, isLeaving, clock, logger}: WorkerChannelServerOptions,
): void {
  const links = new Map<types.ids.WorkerId, ports.WorkerLink>();
  let collected: workerChannel.SentAnswer[] = [];
  let timer: NodeJS.Timeout | undefined;
  let answerDelayMs = 0;
  let heardAt = clock.monotonic();

  function sendAnswers(): void {
    timer = undefined;
    const line: workerChannel.AnswersLine = {
      answers: collected,
      isLeaving: isLeaving(),
    };
    collected = [];
    if (answers.writable) answers.write(`${JSON.stringify(line)}\n`);
  }

  function addAnswer(answer: workerChannel.SentAnswer): void {
    collected.push(answer);
    timer ??= setTimeout(sendAnswers, answerDelayMs);
  }

  async function carryOut(
    sent: workerChannel.SentCall,
    payloads: readonly string[],
  ): Promise<void> {
    const link = links.get(sent.worker);
    if (link === undefined) return;
    const answer = await callWorker(link, sent, payloads);
    addAnswer(
      result.isOk(answer)
        ? {nth: sent.nth, answer: answer.value}
        : {nth: sent.nth, err: answer.error},
    );
  }

  function onLine(text: string): void {
    heardAt = clock.monotonic();
    let line: workerChannel.CallsLine;
    try {
      line = workerChannel.parseCalls(text);
    } catch (thrown) {
      logger.warn('worker_channel_unreadable', {
        error: types.stepError.messageOf(thrown),
      });
      calls.destroy();
      return;
    }
    answerDelayMs = line.answerDelayMs;
    for (const worker of line.workers) {
      links.get(worker.id)?.close();
      links.set(worker.id, connect(worker));
    }
    for (const sent of line.calls) void carryOut(sent, line.payloads);
  }

  const heartbeat = setInterval(() => {
    if (clock.monotonic() - heardAt > MAX_SILENCE_MS) calls.destroy();
    else if (timer === undefined) sendAnswers();
  }, workerChannel.ANSWER_HEARTBEAT_MS);
  answers.once('error', (err) =>
    logger.info('worker_channel_failed', {error: err.message}),
  );
  lineStream.readLines(calls, onLine);
  calls.once('close', () => {
    clearInterval(heartbeat);
    clearTimeout(timer);
    answers.end();
    for (const link of links.values()) link.close();
  });
}

function callWorker(
  link: ports.WorkerLink,
  sent: workerChannel.SentCall,
  payloads: readonly string[],
): ports.Answer<workerChannel.WorkerAnswer> {
  switch (sent.type) {
    case 'start':
      return link.start({...sent.call, payload: payloads[sent.payload] ?? ''});
    case 'stop':
      return link.stop(sent.call);
    case 'poll':
      return link.poll(sent.call);
  }
}
