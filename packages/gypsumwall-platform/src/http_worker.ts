/** Client of one worker over HTTP. */
import type * as result from 'true-myth/result';
import * as undici from 'undici';
import type * as types from '@gypsumwall/types';
import * as httpCall from './http_call.js';
import type * as worker from './worker.js';

/** Identity and address of one worker, and the timeout of a call. */
export interface HttpWorkerOptions {
  readonly id: types.ids.WorkerId;
  readonly address: string;
  readonly timeoutMs: number;
  readonly dispatcher: undici.Dispatcher;
}

/** Creates a client of one worker. */
export function createHttpWorker(options: HttpWorkerOptions): worker.Worker {
  const call = <Value>(
    name: string,
    body: object,
  ): Promise<result.Result<Value, types.stepError.StepError>> =>
    httpCall.callJson<Value>({
      step: `worker.${name}`,
      peer: options.id,
      method: 'POST',
      url: `${options.address}/v1/${name}`,
      body,
      timeoutMs: options.timeoutMs,
      dispatcher: options.dispatcher,
    });
  return {
    attach: (epoch, holder) => call('attach', {epoch, holder}),
    start: async (holder, startBy, tasks) => {
      const answer = await call<{answers: worker.StartAnswer[]}>('start', {
        ...holder,
        startBy,
        tasks,
      });
      return answer.map((body) => body.answers);
    },
    heartbeat: (holder, leaseUntil, acknowledged) =>
      call('heartbeat', {...holder, leaseUntil, acknowledged}),
    stop: (holder, attempts) => call('stop', {...holder, attempts}),
    throttle: (holder, attempt, cpuMillis) =>
      call('throttle', {...holder, attempt, cpuMillis}),
    checkpoint: (holder, attempt) => call('checkpoint', {...holder, attempt}),
  };
}
