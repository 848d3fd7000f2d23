/**
 * Hands a caller's call to another entry and brings its answer back: to the
 * holder of this domain, or to an entry of a job's home domain.
 */
import * as crypto from 'node:crypto';
import type * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';

/** A call as it came from its caller. */
export interface ForwardedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Entries that have had it. */
  readonly via: readonly string[];
}

/** The other entry's answer. */
export interface ForwardedAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Sends a call to one peer. */
export type SendToPeer = (
  address: string,
  call: ForwardedCall,
  deadline: types.clock.MonotonicMs,
) => Promise<result.Result<ForwardedAnswer, types.stepError.StepError>>;

/** Hops after which a call is answered where it is. */
export const MAX_HOPS = 2;

/** Headers of a caller that travel with the call. */
const FORWARDED_HEADERS = [
  'authorization',
  'content-type',
  'idempotency-key',
  'gypsumwall-timeout-ms',
  'gypsumwall-request-id',
  'if-match',
  'traceparent',
];

/** Headers of an answer that travel back. */
export const RETURNED_HEADERS = [
  'content-type',
  'retry-after',
  'gypsumwall-outcome',
  'gypsumwall-request-id',
];

/**
 * Marks calls that came through a peer. The name of the mark is random for
 * each process, so that no caller can pass its call off as a peer's.
 */
export interface ForwardMark {
  readonly header: string;
  read(headers: Readonly<Record<string, unknown>>): readonly string[];
}

/** Makes the mark of this process. */
export function createForwardMark(): ForwardMark {
  const header = `gypsumwall-via-${crypto.randomBytes(12).toString('hex')}`;
  return {
    header,
    read: (headers) => {
      const value = headers[header];
      return typeof value === 'string' && value !== '' ? value.split(',') : [];
    },
  };
}

/** The headers of a call that another entry needs. */
export function forwardedHeaders(
  headers: Readonly<Record<string, unknown>>,
): Record<string, string> {
  return pickHeaders(headers, FORWARDED_HEADERS);
}

/** The headers of an answer that its caller needs. */
export function returnedHeaders(
  headers: Readonly<Record<string, unknown>>,
): Record<string, string> {
  return pickHeaders(headers, RETURNED_HEADERS);
}

function pickHeaders(
  headers: Readonly<Record<string, unknown>>,
  names: readonly string[],
): Record<string, string> {
  const picked: Record<string, string> = {};
  for (const name of names) {
    const value = headers[name];
    if (typeof value === 'string') picked[name] = value;
  }
  return picked;
}
