/**
 * Interface of an upstream, which the platform calls an executor. The wire
 * format is in docs/PLATFORM.md.
 */
import type * as stream from 'node:stream';
import type * as result from 'true-myth/result';
import type * as types from '@gypsumwall/types';

/** One request to an upstream. */
export interface UpstreamRequest {
  readonly requestId: string;
  readonly team: types.ids.TeamId;
  /** Kind of request, such as `airspace-check`. */
  readonly operation: string;
  /** Absent for an idempotent request, which may be sent again. */
  readonly key?: types.ids.IdempotencyKey;
  readonly body: Uint8Array;
  readonly deadline: types.clock.MonotonicMs;
  readonly signal?: AbortSignal;
  /** W3C trace context of this call. */
  readonly traceparent?: string;
}

/**
 * An answer whose body is still being received. `body` fails with an error if
 * the answer ends before its declared length, so that a truncated answer is
 * never taken for a complete one.
 */
export interface UpstreamAnswer {
  readonly contentType: string;
  readonly contentLength?: number;
  readonly body: stream.Readable;
}

/** Client of one upstream; this entry's share bounds its connections. */
export interface Upstream {
  /** The effect of an error says whether the request may have run. */
  execute(
    req: UpstreamRequest,
  ): Promise<result.Result<UpstreamAnswer, types.stepError.StepError>>;
  /** Sets the maximum number of connections, idle and in use. */
  setMaxConnections(connections: number): void;
  /** Resolves when the requests in progress have ended. */
  close(): Promise<void>;
}
