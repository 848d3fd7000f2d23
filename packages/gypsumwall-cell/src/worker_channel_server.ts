/** Makes the calls to workers that a holder sends to this entry. */
import type * as stream from 'node:stream';
import * as result from 'true-myth/result';
import * as scheduling from '@gypsumwall/scheduling';
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
  readonly form: workerChannel.PeerForm;
  readonly connect: Connect;
  /** Payload of a job according to its record; undefined if it isn't found. */
  readonly findPayload: (job: types.ids.JobId) => Promise<string | undefined>;
  /** Whether this process is shutting down. */
  readonly isLeaving: () => boolean;
  readonly clock: types.clock.Clock;
  readonly logger: telemetry.logger.Logger;
}

/** Serves one stream until the holder closes it. */
export function serveWorkerChannel(
  calls: stream.Readable,
  answers: stream.Writable,
  options: WorkerChannelServerOptions,
): void {
  const {form, connect, clock, logger} = options;
  const links = new Map<types.ids.WorkerId, ports.WorkerLink>();
  let collected: workerChannel.WorkerOutcome[] = [];
  let timer: NodeJS.Timeout | undefined;
  let answerDelayMs = 0;
  let heardAt = clock.monotonic();

  function sendAnswers(): void {
    timer = undefined;
    const line = form.encodeAnswers(collected, options.isLeaving());
    collected = [];
    if (answers.writable) answers.write(`${line}\n`);
  }

  async function carryOut({
    nth,
    worker,
    call,
  }: workerChannel.ReceivedCall): Promise<void> {
    const link = links.get(worker);
    if (link === undefined) return;
    const answer = await callWorker(link, call);
    collected.push(
      result.isOk(answer)
        ? {nth, worker, answer: answer.value}
        : {nth, worker, err: answer.error},
    );
    timer ??= setTimeout(sendAnswers, answerDelayMs);
  }

  async function startByReference(
    link: ports.WorkerLink,
    call: workerChannel.StartByReference['call'],
  ): Promise<Awaited<ports.Answer<ports.OrderAnswer>>> {
    const jobId = scheduling.taskId.parseTaskId(call.taskId)?.jobId;
    const payload = jobId && (await options.findPayload(jobId));
    if (payload === undefined) return result.err(unknownPayload(call.taskId));
    return link.start({...call, payload});
  }

  function callWorker(
    link: ports.WorkerLink,
    received: workerChannel.ReceivedCall['call'],
  ): ports.Answer<workerChannel.WorkerAnswer> {
    switch (received.type) {
      case 'start':
        return link.start(received.call);
      case 'start_by_reference':
        return startByReference(link, received.call);
      case 'stop':
        return link.stop(received.call);
      case 'poll':
        return link.poll(received.call);
    }
  }

  function onLine(text: string): void {
    heardAt = clock.monotonic();
    let line: workerChannel.ReceivedCalls;
    try {
      line = form.decodeCalls(text);
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
    for (const call of line.calls) void carryOut(call);
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

function unknownPayload(task: types.ids.TaskId): types.stepError.StepError {
  return types.stepError.createStepError({
    kind: 'refused',
    step: 'peer.worker_call',
    peer: '',
    effect: 'not_run',
    message: `task = ${task}: the record of its job is not known here`,
  });
}
