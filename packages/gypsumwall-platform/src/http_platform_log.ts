/** The platform's log over HTTP. */
import * as undici from 'undici';
import * as httpCall from './http_call.js';
import type * as platformLog from './platform_log.js';

/** Where the log is and how long a call may take. */
export interface HttpPlatformLogOptions {
  readonly url: string;
  readonly timeoutMs: number;
}

/** Makes a client of the log. */
export function createHttpPlatformLog(
  options: HttpPlatformLogOptions,
): platformLog.PlatformLog {
  const dispatcher = new undici.Agent({connections: 16});
  const recordsUrl = (stream: string) =>
    `${options.url}/v1/streams/${encodeURIComponent(stream)}/records`;
  return {
    append: ({stream, producer, sequence, bodies}) =>
      httpCall.callJson<platformLog.AppendAnswer>({
        step: 'log.append',
        peer: options.url,
        method: 'POST',
        url: recordsUrl(stream),
        body: {producer, sequence, bodies},
        timeoutMs: options.timeoutMs,
        dispatcher,
      }),
    read: ({stream, from, limit, waitMs, signal}) =>
      httpCall.callJson<platformLog.LogPage>({
        step: 'log.read',
        peer: options.url,
        method: 'GET',
        url: `${recordsUrl(stream)}?from=${from}&limit=${limit}&waitMs=${waitMs}`,
        timeoutMs: options.timeoutMs + waitMs,
        dispatcher,
        signal,
      }),
  };
}
