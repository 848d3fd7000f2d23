/**
 * Types, headers and hop tracking for calls that one entry forwards to another,
 * for example to the holder of its domain or to an entry of a job's home.
 */
import * as crypto from 'node:crypto';
import type * as result from 'true-myth/result';
import * as types from '@gypsumwall/types';

/** A call as received from its caller. */
export interface ForwardedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Entries that the call has already passed through. */
  readonly via: readonly string[];
}

/** The answer of the entry that served the call. */
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

/** After this number of hops, an entry answers the call itself. */
export const MAX_HOPS = 2;

/** Headers of a call that are forwarded with it. */
const FORWARDED_HEADERS = [
  'authorization',
  'content-type',
  'idempotency-key',
  'gypsumwall-timeout-ms',
  'gypsumwall-request-id',
  'if-match',
  'traceparent',
];

/** Headers of an answer that are returned to the caller. */
export const RETURNED_HEADERS = [
  'content-type',
  'retry-after',
  'gypsumwall-outcome',
  'gypsumwall-request-id',
];

/**
 * Header that marks calls forwarded by a peer. Its name is random for each
 * process, so that no caller can forge it.
 */
export interface ForwardMark {
  readonly header: string;
  read(headers: Readonly<Record<string, unknown>>): readonly string[];
}

/** Creates the mark of this process. */
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

/** Selects the headers of a call to forward. */
export function forwardedHeaders(
  headers: Readonly<Record<string, unknown>>,
): Record<string, string> {
  return pickHeaders(headers, FORWARDED_HEADERS);
}

/** Selects the headers of an answer to return to the caller. */
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
