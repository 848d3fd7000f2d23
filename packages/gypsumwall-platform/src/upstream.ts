/** An upstream (executor) that answers requests. Wire form: docs/PLATFORM.md. */
import type * as stream from 'node:stream';
import type * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';

/** One request to an upstream. */
export interface UpstreamRequest {
  readonly requestId: string;
  readonly team: types.ids.TeamId;
  /** Kind of request, such as `airspace-check`. */
  readonly operation: string;
  /** Absent for a request that may be repeated. */
  readonly key?: types.ids.IdempotencyKey;
  readonly body: Uint8Array;
  readonly deadline: types.clock.MonotonicMs;
  readonly signal?: AbortSignal;
  /** W3C trace context of the hop. */
  readonly traceparent?: string;
}

/**
 * An answer on its way. `body` fails with an error when the answer ends
 * before its declared length, so that a half is never taken for the whole.
 */
export interface UpstreamAnswer {
  readonly contentType: string;
  readonly contentLength?: number;
  readonly body: stream.Readable;
}

/** Calls to one upstream; its connections are bounded by the share. */
export interface Upstream {
  /** Errors tell by their effect whether the request may have run. */
  execute(
    req: UpstreamRequest,
  ): Promise<result.Result<UpstreamAnswer, types.stepError.StepError>>;
  /** At most this many connections from now on. */
  setMaxConnections(connections: number): void;
  close(): Promise<void>;
}
